# The start of a due date: four times the reports for twenty seconds.
seconds  = 60
gateways = 2
client_tries = 2

engines {
  count          = 5
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
  counter  { per_s = { lookup = 48 } }
  accounts { per_s = { report = 9 } }
}
traffic "south-power" {
  counter { per_s = { lookup = 40, report = 7 } }
}
traffic "harbour-gas" {
  kiosk { per_s = { lookup = 26, report = 4 } }
}

queues {
  default_member  = "valley-water"
  ageing_ms       = 1000
  burst_ms        = 2000
  desk_statements = 400
  desk_cpu_s      = 60

  member "valley-water" {
    cpu_s_per_s = 13
    desk "counter"  { cpu_s_per_s = 4 }
    desk "accounts" { cpu_s_per_s = 9 }
  }
  member "south-power" {
    cpu_s_per_s = 11
    desk "counter" {}
  }
  member "harbour-gas" {
    cpu_s_per_s = 7
    desk "kiosk" {}
  }
}

script "flood" {
  at_s    = 20
  for_s   = 20
  product = "report"
  times   = 4
}
