# Three hundred gateways before forty engines: each sees four statements a second. Other days stand on this one.
seconds      = 20
gateways     = 300
client_tries = 3

engines {
  count          = 40
  cores          = 8
  memory_mb      = 16384
  zones          = 4
  cold_s         = 10
  cold_share     = 0.35
  tip_multiple   = 2
  tip_s          = 1
  threads_a_core = 4
  crowd_loss     = 0.1
  note_ms        = 1000
  idle_s         = 8
}

product "lookup" {
  cpu_ms          = 60
  cpu_spread      = 0.5
  estimate_times  = 1.6
  estimate_spread = 0.3
  memory_mb       = 40
  quoted_ms       = 800
  quoted_stretch  = 2
  hard_limit_ms   = 3000
  gain            = 1
}

product "report" {
  cpu_ms          = 700
  cpu_spread      = 0.7
  estimate_times  = 0.7
  estimate_spread = 0.4
  memory_mb       = 300
  threads         = 2
  quoted_ms       = 2000
  quoted_stretch  = 2.5
  hard_limit_ms   = 8000
  gain            = 10
  late_gain       = 0.3
}

traffic "valley-water" {
  counter  { per_s = { lookup = 350 } }
  accounts { per_s = { report = 70 } }
}
traffic "south-power" {
  counter { per_s = { lookup = 300, report = 60 } }
}
traffic "harbour-gas" {
  kiosk { per_s = { lookup = 200, report = 40 } }
}
