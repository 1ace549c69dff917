# Sialkot at full size: twelve workers with eight slots, three in a rack. Sourced by scripts/cluster.sh.
# shellcheck disable=SC1091
source examples/sialkot/deployment.sh
WORKER_IN=(sialkot sialkot sialkot sialkot sialkot sialkot gujrat gujrat gujrat jhelum jhelum jhelum)
