# One member floods, and each member's clients mostly come to a few of 200 gateways: see `laurelhitch-simulator divide`.
base     = "large.hcl"
gateways = 200
uneven   = 0.8
