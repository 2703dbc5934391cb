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

# identity {
#   keys_folder      = "/etc/laurelhitch/keys"       # kept by `laurelhitch keys` and `laurelhitch token`
#   certificate      = "/etc/laurelhitch/tls.pem"    # the chain, PEM
#   private_key      = "/etc/laurelhitch/tls.key"
#   skew_ms          = 5000     # how far clocks may differ
#   grace_ms         = 30000    # so long a key may still be arriving
#   back_ms          = 500      # when such a caller is told to come back
#   longest_token_ms = 86400000
#   remembered       = 10000    # verdicts
#   checks_per_s     = 500      # signatures checked a second beyond those that hold
# }

# fleet {                                            # not where gateways may not talk to each other
#   fleet       = "hengchun"
#   bind        = "10.0.0.4:7946"                    # UDP
#   advertise   = "10.0.0.4:7946"                    # where others reach it; bind without it
#   seeds       = ["10.0.0.5:7946", "10.0.0.6:7946"]
#   keys_folder = "/etc/laurelhitch/fleet-keys"      # kept by `laurelhitch fleet-keys`
#   zone        = "room-a"
#   period_ms   = 1000
#   answer_ms   = 300
#   liars       = 1        # hearsay counts from one more host
#   bounded     = true     # limits on what a large fleet sends; off without it. Its settings:
#   confirmations = 10     # failed probes in a row, after the first, before a gateway is suspected
#   verifiers   = 8        # of those that hear one witness, so many verify at once
#   direct_probes = 8      # begun a period
#   gossip_bytes_per_s   = 800
#   exchange_bytes_per_s = 900
#   cut_off_below = 0.5
#   accept_ms   = 120000
# }

# shares {                                           # budgets of all gateways, divided by leases; needs the fleet block
#   voters        = ["g00", "g01", "g02"]            # an odd few, by their names in the fleet
#   most_gateways = 20                               # that may run at once
#   floor_part    = 0.2                              # given out without a word
#   members       = true                             # members' cpu_s_per_s of the queues block
#   relays_per_s  = { scan = 30 }                    # further relays, by product
#   trials_per_s  = 4                                # of benched engines
#   cold          = true                             # what cold engines bear, by traffic
#   lease_ms      = 6000
#   term_ms       = 2000
#   renew_ms      = 500
#   drift         = 0.01
#   burst_ms      = 2000
# }
