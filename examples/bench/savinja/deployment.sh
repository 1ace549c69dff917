# Savinja at the brief's size: twelve workers with eight slots, three to a rack, as scripts/cluster.sh reads it.
# shellcheck disable=SC1091
source examples/savinja/deployment.sh
WORKER_IN=(celje-a celje-a celje-a celje-b celje-b celje-b zalec zalec zalec velenje velenje velenje)
