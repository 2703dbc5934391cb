# A third of all datagrams lost, then two regions that do not reach each other for 2 minutes while both reach the others.
#   laurelhitch-harness scale --hollow 1898 --real 2 --regions 4 --zones 8 --seconds 60 --faults examples/harness/scale-network.hcl
seconds = 250

fault {
  at_s    = 0
  what    = "loss"
  seconds = 30
  lost    = 0.3333
}
fault {
  at_s    = 70
  what    = "regions"
  seconds = 120
}
