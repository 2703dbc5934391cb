import os
import socket
import ssl
import struct
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))

from identity_site import Site
from standins import CannotRun, ask, main, statement

BUDGET_MS = 2000
LATE_S = 0.5  # up to half a second after its time an answer only earns nothing; later it is lost
STATEMENTS = 10
MORE_BYTES = 12_000


def bad_client(run, address, more_bytes):
    """A client without a token: TLS handshake, the end of TLS, `more_bytes` behind it, and away."""
    plain = socket.create_connection(address, timeout=5)
    head = plain.recv(4096)
    if len(head) < 5:
        raise CannotRun("no greeting")
    request = struct.pack("<IIB", 0x1 | 0x8 | 0x200 | 0x800 | 0x8000, 1 << 24, 33) + bytes(23)
    plain.sendall(struct.pack("<I", len(request))[:3] + b"\x01" + request)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    tls = context.wrap_bio(incoming, outgoing)
    while True:
        try:
            tls.do_handshake()
            break
        except ssl.SSLWantReadError:
            plain.sendall(outgoing.read())
            incoming.write(plain.recv(16384))
    plain.sendall(outgoing.read())
    time.sleep(0.2)
    try:
        tls.unwrap()
    except ssl.SSLError:
        pass
    end = outgoing.read()
    run.note(f"bad client: handshake done; sends the end of TLS ({len(end)} bytes) and {more_bytes} bytes more, and goes")
    plain.sendall(end + b"x" * more_bytes)
    time.sleep(0.2)
    plain.close()


def case(run):
    site = Site(run)
    site.start()
    client = site.login("counter-7", site.token("k1", "counter-7"))
    if isinstance(client, int):
        raise CannotRun("the caller could not log in")
    client.socket.settimeout(BUDGET_MS / 1000 + LATE_S)
    violations = []
    for number in range(STATEMENTS):
        if number == 3:
            bad_client(run, site.gateway.address, MORE_BYTES if run.trouble else 0)
        rid, text = statement("point", f"SELECT a, b, c FROM ledger_{number}.bills", BUDGET_MS)
        sent = time.monotonic()
        outcome = ask(run, client, "counter-7", text)
        took_s = time.monotonic() - sent
        if outcome is None:
            violations.append(f"statement {rid} had no answer {took_s:.1f} s after it was sent, with a budget of 2 s")
            break
        if not isinstance(outcome, list):
            raise CannotRun(f"a statement was answered with {outcome}")
    if violations:
        # The process takes nothing any more: a new client gets no greeting, and SIGTERM does not end it.
        try:
            with socket.create_connection(site.gateway.address, timeout=5) as other:
                other.settimeout(5)
                greeting = other.recv(100)
        except OSError as error:
            greeting = b""
            run.note(f"a new client: {error}")
        if not greeting:
            violations.append("a new client got no greeting within 5 s")

        def cpu_s():
            with open(f"/proc/{site.gateway.process.pid}/stat") as stat:
                fields = stat.read().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

        before = cpu_s()
        time.sleep(20)
        used = cpu_s() - before
        if used > 18:
            violations.append(f"the thread neither waits nor ends: {used:.1f} s of CPU in 20 s")
    return violations


main(case)
