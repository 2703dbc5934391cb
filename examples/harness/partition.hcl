# Seven gateways; two are cut off from five for some seconds, one is stopped and woken, one killed and started.
gateways = 7
seconds  = 32

step {
  at_s   = 4
  what   = "partition"
  groups = [[0, 5], [1, 2, 3, 4, 6]]
}
step {
  at_s = 14
  what = "heal"
}
step {
  at_s     = 20
  what     = "stop"
  gateways = [3]
}
step {
  at_s     = 21
  what     = "kill"
  gateways = [6]
}
step {
  at_s     = 24
  what     = "wake"
  gateways = [3]
}
step {
  at_s     = 25
  what     = "start"
  gateways = [6]
}
