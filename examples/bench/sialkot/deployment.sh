# Sialkot at the brief's size: twelve workers with eight slots, three to a rack, as scripts/cluster.sh reads it.
# shellcheck disable=SC1091
source examples/sialkot/deployment.sh
WORKER_IN=(sialkot sialkot sialkot sialkot sialkot sialkot gujrat gujrat gujrat jhelum jhelum jhelum)
