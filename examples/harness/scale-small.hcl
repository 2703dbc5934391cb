# The faults of the small scale run that CI plays: one rack of five. Paces are four times as fast as the defaults.
#   laurelhitch-harness scale --hollow 60 --real 2 --regions 2 --zones 4 --seconds 8 --faults examples/harness/scale-small.hcl
seconds = 10
block   = "period_ms = 250\n  answer_ms = 110\n  hold_ms = 500"

fault {
  at_s     = 0
  what     = "rack"
  gateways = 5
}
