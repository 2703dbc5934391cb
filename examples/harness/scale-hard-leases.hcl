# The hard cases that CI plays with limits on what gateways send, first part: the coordinator's process stopped, then killed and
# started again, then a rack of five. Paces are four times as fast as the defaults.
#   laurelhitch-harness scale --hollow 40 --real 4 --regions 2 --zones 4 --seconds 16 --budgets 3 --faults examples/harness/scale-hard-leases.hcl
seconds = 46
block   = "bounded = true\n  period_ms = 250\n  answer_ms = 110\n  hold_ms = 500"

fault {
  at_s    = 0
  what    = "coordinator_stop"
  seconds = 5
}
fault {
  at_s    = 16
  what    = "coordinator_kill"
  seconds = 3
}
fault {
  at_s     = 30
  what     = "rack"
  gateways = 5
}
