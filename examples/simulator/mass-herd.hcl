# Seven in ten gateways are killed at once and come back a second and a half later; one engine of eight fails all.
base = "mass.hcl"

script "kill" {
  at_s          = 6
  for_s         = 1.5
  gateway_range = [0, 210]
}
script "fail" {
  at_s         = 4
  for_s        = 10
  engine_range = [0, 5]
}
