# The hard cases that CI plays with limits on what gateways send, second part: a third of all datagrams lost, two regions apart,
# all started again within a second, a zone. Paces are four times as fast as the defaults.
#   laurelhitch-harness scale --hollow 40 --real 4 --regions 2 --zones 4 --seconds 16 --faults examples/harness/scale-hard-network.hcl
seconds = 68
block   = "bounded = true\n  period_ms = 250\n  answer_ms = 110\n  hold_ms = 500"

fault {
  at_s    = 0
  what    = "loss"
  seconds = 6
  lost    = 0.3333
}
fault {
  at_s    = 12
  what    = "regions"
  seconds = 10
}
fault {
  at_s = 36
  what = "all_at_once"
}
fault {
  at_s = 52
  what = "zone"
}
