# The process of the coordinator of the leases is stopped for 20 s, later killed and started again after 5 s; then all end
# and start within one second.
#   laurelhitch-harness scale --hollow 1898 --real 2 --regions 4 --zones 8 --seconds 60 --faults examples/harness/scale-coordinator.hcl
seconds = 130

fault {
  at_s    = 0
  what    = "coordinator_stop"
  seconds = 20
}
fault {
  at_s    = 50
  what    = "coordinator_kill"
  seconds = 5
}
fault {
  at_s = 80
  what = "all_at_once"
}
