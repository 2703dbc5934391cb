# For six seconds a fifth of the engines are silent, and a twentieth of all other answers is lost.
base = "mass.hcl"

script "silent" {
  at_s         = 6
  for_s        = 6
  engine_range = [0, 8]
}
script "lose" {
  at_s         = 6
  for_s        = 6
  engine_range = [8, 40]
  share        = 0.05
}
