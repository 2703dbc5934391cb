# All gateways are restarted, a tenth at a time, while half of the engines are replaced in steps.
base = "mass.hcl"

script "renew" {
  at_s          = 2
  for_s         = 3
  gateway_range = [0, 60]
}
script "renew" {
  at_s          = 5
  for_s         = 3
  gateway_range = [60, 120]
}
script "renew" {
  at_s          = 8
  for_s         = 3
  gateway_range = [120, 180]
}
script "renew" {
  at_s          = 11
  for_s         = 3
  gateway_range = [180, 240]
}
script "renew" {
  at_s          = 14
  for_s         = 3
  gateway_range = [240, 300]
}
script "drain" {
  at_s         = 3
  for_s        = 3
  engine_range = [0, 5]
}
script "drain" {
  at_s         = 6
  for_s        = 3
  engine_range = [5, 10]
}
script "drain" {
  at_s         = 9
  for_s        = 3
  engine_range = [10, 15]
}
script "drain" {
  at_s         = 12
  for_s        = 3
  engine_range = [15, 20]
}
