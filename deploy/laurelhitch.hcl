# The operator's file: what this project adds to the platform's configuration. Name it with --operator FILE or
# LAURELHITCH_OPERATOR; check it with `laurelhitch check`; SIGHUP reads it again. Without it all here is off.
# Each subsystem has a page under docs/operating/.

# queues {
#   default_member     = "valley-water"  # takes whoever names no known member
#   ageing_ms          = 1000            # a desk's first statement is passed over no longer than about this
#   burst_ms           = 2000            # budgets save up over this
#   waiting_statements = 20000           # bounds of all that waits at one gateway, and of one desk
#   waiting_cpu_s      = 1000
#   desk_statements    = 5000
#   desk_cpu_s         = 300
#
#   member "valley-water" {
#     cpu_s_per_s  = 17.0                # of all gateways together, in predicted CPU seconds a second
#     weight       = 17.0                # part of what others leave
#     default_desk = "counter"
#     desk "counter" {
#       cpu_s_per_s = 8.0
#       networks    = ["10.1.0.0/16"]
#     }
#     desk "accounts" { cpu_s_per_s = 9.0 }
#   }
#   member "south-power" { cpu_s_per_s = 14.0 }
#   member "harbour-gas" { cpu_s_per_s = 9.0 }
# }
