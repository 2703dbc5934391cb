# No fault: the same start with limits on what a large fleet sends.
#   laurelhitch-harness scale --hollow 1898 --real 2 --regions 4 --zones 8 --seconds 120 --budgets 1 --faults examples/harness/scale-bounded.hcl
seconds = 1
block   = "bounded = true"
