# Savinja at full size: twelve workers with eight slots, three in a rack. Sourced by scripts/cluster.sh.
# shellcheck disable=SC1091
source examples/savinja/deployment.sh
WORKER_IN=(celje-a celje-a celje-a celje-b celje-b celje-b zalec zalec zalec velenje velenje velenje)
