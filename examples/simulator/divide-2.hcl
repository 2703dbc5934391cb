# One member floods, and each member's clients mostly come to a few of 2 gateways: see `laurelhitch-simulator divide`.
base     = "flood.hcl"
gateways = 2
uneven   = 0.8
