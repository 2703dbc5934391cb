# Six in ten engines are replaced within seven seconds.
base = "mass.hcl"

script "drain" {
  at_s         = 5.0
  for_s        = 1.5
  engine_range = [0, 4]
}
script "drain" {
  at_s         = 6.1
  for_s        = 1.5
  engine_range = [4, 8]
}
script "drain" {
  at_s         = 7.2
  for_s        = 1.5
  engine_range = [8, 12]
}
script "drain" {
  at_s         = 8.3
  for_s        = 1.5
  engine_range = [12, 16]
}
script "drain" {
  at_s         = 9.4
  for_s        = 1.5
  engine_range = [16, 20]
}
script "drain" {
  at_s         = 10.5
  for_s        = 1.5
  engine_range = [20, 24]
}
