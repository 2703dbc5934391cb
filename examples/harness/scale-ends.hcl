# What ends at the users' size: one gateway, a rack of 40 at one instant, a day's failures and restarts in 144 s (600 times
# the daily rate), a zone.
#   laurelhitch-harness scale --hollow 1898 --real 2 --regions 4 --zones 8 --seconds 60 --faults examples/harness/scale-ends.hcl
seconds = 190

fault {
  at_s = 0
  what = "single"
}
fault {
  at_s     = 40
  what     = "rack"
  gateways = 40
}
fault {
  at_s       = 80
  what       = "daily"
  seconds    = 30
  compressed = 600
}
fault {
  at_s = 140
  what = "zone"
}
