# A zone is gone for six seconds and returns cold; its engines are every fourth.
base = "mass.hcl"

script "restart" {
  at_s    = 6
  for_s   = 6
  engines = [1, 5, 9, 13, 17, 21, 25, 29, 33, 37]
}
