# One member floods, and each member's clients mostly come to a few of 20 gateways: see `laurelhitch-simulator divide`.
base     = "flood.hcl"
gateways = 20
uneven   = 0.8
