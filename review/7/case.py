import os
import signal
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))

from standins import Board, CannotRun, Client, Engine, Gateway, ask, grade, main, settings, statement, target

MEMORY_MB = 48  # the pages: 32 to 192 MB
SOCKETS = 1024  # the pages: 256 to 1,024 descriptors
BAD_CLIENTS = 330  # "hundreds"; with the usual one within a third of the descriptors (341)
AT_ONCE = 3
TEXT_BYTES = 60_000  # packets of up to 64 KB are taken
BUDGET_MS = 2000


class Platform:
    """Ends a gateway that goes over its memory, as the platform does."""

    def __init__(self, run, gateway):
        self.run, self.gateway = run, gateway
        self.highest_mb, self.killed = 0.0, False
        threading.Thread(target=self.watch, daemon=True).start()

    def resident_mb(self):
        with open(f"/proc/{self.gateway.process.pid}/status") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def watch(self):
        while self.gateway.process.poll() is None:
            try:
                now = self.resident_mb()
            except OSError:
                return
            self.highest_mb = max(self.highest_mb, now)
            if now > MEMORY_MB and not self.killed:
                self.killed = True
                self.run.note(f"platform: {now:.1f} MB of {MEMORY_MB} MB: the gateway is killed")
                os.kill(self.gateway.process.pid, signal.SIGKILL)
            time.sleep(0.005)


def case(run):
    engines = [Engine(run, f"e-{number}") for number in (1, 2, 3)]
    board = Board(run, [target(engine.name, engine.port) for engine in engines])
    gateway = Gateway(
        run, "g0", board.port, board.known(), settings([grade("point"), grade("scan", give_up_s=10.0)]),
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
    )
    gateway.ready()
    platform = Platform(run, gateway)
    usual = Client(gateway.address, timeout_s=BUDGET_MS / 1000 + 0.5)
    _, text = statement("point", "SELECT a, b, c FROM ledger_3.bills", BUDGET_MS)
    if not isinstance(ask(run, usual, "usual", text), list):
        raise CannotRun("the first statement was not served")

    bad = [Client(gateway.address) for _ in range(BAD_CLIENTS)]
    run.note(f"{len(bad)} further clients logged in; {platform.resident_mb():.1f} MB resident")
    note, run.note = run.note, lambda text: note(text[:200])  # no statement of 60 KB in the record
    filler = "x" * TEXT_BYTES
    for client in bad:
        burst = b""
        for _ in range(AT_ONCE):
            text = f"SELECT a, b, c FROM ledger_3.bills WHERE note = '{filler}'" if run.trouble else "SELECT a FROM ledger_3.bills"
            body = b"\x03" + statement("scan", text, 5000)[1].encode()
            burst += struct.pack("<I", len(body))[:3] + b"\0" + body
        try:
            client.socket.sendall(burst)
        except OSError:
            break
    run.note = note
    run.note(f"each of them has sent {AT_ONCE} statements at once; {platform.highest_mb:.1f} MB at most so far")
    violations = []
    for _ in range(10):
        rid, text = statement("point", "SELECT a, b, c FROM ledger_3.bills", BUDGET_MS)
        outcome = ask(run, usual, "usual", text)
        if outcome is None:
            violations.append(f"statement {rid} of the usual client had no answer")
            break
        time.sleep(0.1)
    run.note(f"{platform.highest_mb:.1f} MB at most, of {MEMORY_MB} MB; a tenth is for unread input")
    if platform.killed:
        violations.insert(0, f"the gateway went over its memory, {platform.highest_mb:.1f} MB of {MEMORY_MB} MB, and was killed")
    return violations


main(case)
