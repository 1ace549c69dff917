# Sialkot on one machine. Sourced by scripts/cluster.sh.
POOL=desk
DATA_CENTRES=(sialkot gujrat jhelum)
CONTROL_IN=(sialkot gujrat jhelum)
ENTRY_IN=(sialkot gujrat)
WORKER_IN=(sialkot sialkot gujrat gujrat jhelum)
WORKER_SLOTS=8
WORKER_CORES=60
WORKER_MEMORY_MB=250000
CLIENT_DELAY_US=3000
