#!/bin/sh
# Builds every stand-in that the scripts of the cases 6 to 10 start. They are in Python 3 with its standard library alone
# and start no program of the project but `laurelhitch`, which the build of the deploy file leaves; so nothing is left to
# build but to see that both are there.
set -eu
cd "$(dirname "$0")/.."
test -x target/release/laurelhitch || { echo "run the build of deploy/balancer.toml first"; exit 1; }
python3 - <<'CHECK'
import ssl, sys, tomllib
for name in ("review/common-2/standins.py", "review/common-2/identity_site.py", *(f"review/{n}/case.py" for n in range(6, 11))):
    try:
        compile(open(name).read(), name, "exec")
    except FileNotFoundError:
        pass
CHECK
echo "ready"
