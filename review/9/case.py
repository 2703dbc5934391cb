import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))

from identity_site import Site
from standins import CannotRun, ask, main, statement

# How much later than the index the new key's file arrives. The pages allow a key 30 s to arrive (grace_ms), and a start
# tries a file that cannot be read for 25 s.
KEY_ARRIVES_AFTER_S = 4.0
READY_WITHIN_S = 30.0


def served(run, site, token, name):
    client = site.login(name, token)
    if isinstance(client, int):
        return False
    _, text = statement("point", "SELECT a, b, c FROM ledger_3.bills")
    return isinstance(ask(run, client, name, text), list)


def case(run):
    site = Site(run)
    site.start()
    token = site.token("k1", "counter-7")
    if not served(run, site, token, "before the restart"):
        raise CannotRun("the caller was not served before the restart")

    # The operator announces a second key, and the folder is copied to the gateway, in both runs.
    site.add_key("k2")
    if not run.trouble:
        site.copy_file("k2.pub")
    site.copy_file("index.json")
    copied_at = time.monotonic()
    time.sleep(0.5)

    # A planned restart, in both runs.
    gateway = site.gateway
    gateway.signal(signal.SIGTERM)
    status = gateway.process.wait(timeout=20)
    run.note(f"gateway g0: ended with status {status}")
    if run.trouble:
        left_s = max(0.0, KEY_ARRIVES_AFTER_S - (time.monotonic() - copied_at))
        threading.Timer(left_s, site.copy_file, ["k2.pub"]).start()
    gateway.start()
    started = time.monotonic()
    violations = []
    while time.monotonic() - started < READY_WITHIN_S:
        status = gateway.process.poll()
        if status is not None:
            took_s = time.monotonic() - started
            violations.append(f"the gateway refused to start: it ended with status {status} after {took_s:.2f} s")
            break
        try:
            if served(run, site, token, "after the restart"):
                return []
        except OSError:
            time.sleep(0.2)
    for line in gateway.log().splitlines()[-2:]:
        run.note(f"gateway g0 log: {line}")
    if not violations:
        violations.append(f"the caller with the old key was not served within {READY_WITHIN_S} s of the start")
    time.sleep(max(0.0, KEY_ARRIVES_AFTER_S + 0.5 - (time.monotonic() - copied_at)))
    return violations


main(case)
