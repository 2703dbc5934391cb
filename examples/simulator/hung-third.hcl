# A third of the engines hang for fifteen seconds before 222 gateways that see a statement in two to three seconds each.
base = "mass.hcl"

gateways = 222
seconds  = 30
fleet    = true

engines {
  count = 36
}
traffic "valley-water" {
  counter  { per_s = { lookup = 30 } }
  accounts { per_s = { report = 10 } }
}
traffic "south-power" {
  counter { per_s = { lookup = 20, report = 8 } }
}
traffic "harbour-gas" {
  kiosk { per_s = { lookup = 15, report = 5 } }
}
script "silent" {
  at_s         = 8
  for_s        = 15
  engine_range = [0, 12]
}
