# With limits on what a large fleet sends: the hard cases at the users' size, one after another on one fleet: a rack of 40, a third of all datagrams lost for 30 s, two
# regions that do not reach each other for 2 minutes, the coordinator's process killed and started again, a zone.
#   laurelhitch-harness scale --hollow 1898 --real 2 --regions 4 --zones 8 --seconds 200 --budgets 1 --faults examples/harness/scale-size-bounded.hcl
seconds = 410
block   = "bounded = true"

fault {
  at_s     = 0
  what     = "rack"
  gateways = 40
}
fault {
  at_s    = 50
  what    = "loss"
  seconds = 30
  lost    = 0.3333
}
fault {
  at_s    = 95
  what    = "regions"
  seconds = 120
}
fault {
  at_s    = 290
  what    = "coordinator_kill"
  seconds = 5
}
fault {
  at_s = 330
  what = "zone"
}
