queues {
  default_member = "water"
  ageing_ms      = 500
  burst_ms       = 2000
  member "water" {
    cpu_s_per_s = 0.5
    desk "counter" { cpu_s_per_s = 0.25 }
    desk "kiosk" {
      cpu_s_per_s = 0.25
      networks    = ["127.3.0.0/16"]
    }
  }
  member "power" { cpu_s_per_s = 0.25 }
}

fleet {
  fleet       = "golden"
  bind        = "BIND"
  seeds       = ["127.0.0.1:9"]
  keys_folder = "FOLDER"
  zone        = "room-a"
  region      = "north"
  bounded     = true
}

shares {
  voters        = ["g0"]
  most_gateways = 4
  lease_ms      = 2500
  term_ms       = 1200
  renew_ms      = 250
  drift         = 0.01
  burst_ms      = 1000
  members       = false
  relays_per_s  = { point = 6.0 }
}
