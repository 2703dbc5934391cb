# Budgets divided among seven: the steward's side is cut off from the majority of voters, then one voter is stopped.
gateways = 7
seconds  = 40
further  = <<END
shares {
  voters        = ["g00", "g01", "g02"]
  most_gateways = 7
  members       = false
  relays_per_s  = { point = 20 }
  trials_per_s  = 2
}
END

step {
  at_s   = 12
  what   = "partition"
  groups = [[0, 5], [1, 2, 3, 4, 6]]
}
step {
  at_s = 24
  what = "heal"
}
step {
  at_s     = 28
  what     = "stop"
  gateways = [2]
}
step {
  at_s     = 32
  what     = "wake"
  gateways = [2]
}
