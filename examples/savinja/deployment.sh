# Savinja on one machine, with a worker in each data centre. Sourced by scripts/cluster.sh.
POOL=levy
DATA_CENTRES=(celje-a celje-b zalec velenje)
CONTROL_IN=(celje-a celje-b zalec)
ENTRY_IN=(celje-a zalec)
WORKER_IN=(celje-a celje-b zalec velenje)
WORKER_SLOTS=8
WORKER_CORES=30
WORKER_MEMORY_MB=60000
CLIENT_DELAY_US=1000
