# Two hundred gateways before sixty engines, 1,200 statements a second: sizes that sockets here do not reach.
seconds      = 30
gateways     = 200
client_tries = 2

engines {
  count          = 60
  cores          = 8
  memory_mb      = 16384
  cold_s         = 15
  cold_share     = 0.35
  tip_multiple   = 2
  tip_s          = 1
  threads_a_core = 4
  crowd_loss     = 0.1
  note_ms        = 2000
}

product "lookup" {
  cpu_ms          = 60
  cpu_spread      = 0.5
  estimate_times  = 1.6
  estimate_spread = 0.3
  memory_mb       = 40
  quoted_ms       = 800
  quoted_stretch  = 2
  hard_limit_ms   = 4000
  gain            = 1
}

product "report" {
  cpu_ms          = 900
  cpu_spread      = 0.7
  estimate_times  = 0.7
  estimate_spread = 0.4
  memory_mb       = 400
  threads         = 2
  quoted_ms       = 2000
  quoted_stretch  = 2.5
  hard_limit_ms   = 15000
  gain            = 10
  late_gain       = 0.3
}

traffic "valley-water" {
  counter  { per_s = { lookup = 420 } }
  accounts { per_s = { report = 100 } }
}
traffic "south-power" {
  counter { per_s = { lookup = 350, report = 80 } }
}
traffic "harbour-gas" {
  kiosk { per_s = { lookup = 200, report = 50 } }
}

queues {
  default_member = "valley-water"
  member "valley-water" {
    cpu_s_per_s = 150
    desk "counter"  { cpu_s_per_s = 40 }
    desk "accounts" { cpu_s_per_s = 110 }
  }
  member "south-power" { cpu_s_per_s = 120 }
  member "harbour-gas" { cpu_s_per_s = 80 }
}

script "flood" {
  at_s   = 10
  for_s  = 10
  member = "south-power"
  times  = 3
}
script "drain" {
  at_s    = 15
  for_s   = 10
  engines = [0, 1, 2, 3, 4, 5]
}
