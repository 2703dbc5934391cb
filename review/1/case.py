"""Usual clients are to be answered while bad clients send unusable statements, hundreds at once."""

import os
import subprocess
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

from standins import Board, CannotRun, Client, Engine, Gateway, Record, comment, new_rid, query_packet, settings, temporary_folder  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BAD_CLIENTS = 3
AT_ONCE = 900               # "hundreds of requests at once"
MOST_BYTES = 55_000_000     # each bad client; the page's largest body is 60 MB
BAD_SECONDS = 6.0
BUDGET_MS = 1500
GRACE_S = 0.5 + 0.05        # "up to half a second after its time it only earns nothing", and the slack of each limit
USUAL_SESSIONS = 8
USUAL_SECONDS = 12.0
USUAL_PACE_S = 0.4          # each usual session, so 20 statements a second


def bad_client(port):
    """Keeps AT_ONCE statements of a class that does not exist open on one session: sends the same again as soon as
    one is turned away, at full speed, and reads all that it gets."""
    client = Client(port).login()
    stream = client.stream
    one = query_packet("/* method=nosuch,rid=%s,budget=1000 */ SELECT a FROM ledger_17.bills" % new_rid())
    stream.sendall(one)
    answer_bytes = 4 + len(client.read_packet())
    stream.settimeout(20)
    end, sent, read = time.time() + BAD_SECONDS, 0, 0
    batch = one * AT_ONCE
    stream.sendall(batch)
    sent += AT_ONCE
    while time.time() < end and sent * len(one) < MOST_BYTES:
        data = stream.recv(1 << 18)
        if not data:
            break
        read += len(data)
        again = read // answer_bytes - (sent - AT_ONCE)
        if again > 0:
            stream.sendall(batch[:again * len(one)])
            sent += again
    print("bad client: %d statements sent (%d bytes), %d answered" % (sent + 1, (sent + 1) * len(one), read // answer_bytes + 1))
    client.close()


def usual_client(number, port, record, results, until):
    client = Client(port, timeout=30).login()
    while time.time() < until:
        rid = new_rid()
        sent = time.time()
        try:
            answer = client.ask(comment(rid, BUDGET_MS, acct="water"))
            took = time.time() - sent
        except (OSError, EOFError) as error:
            answer, took = ("none", repr(error)), None
        record.line("usual %d %s sent %.3f answered after %s: %s" % (
            number, rid, sent, "never" if took is None else "%.3f" % took, answer[0] if answer[0] == "rows" else answer))
        results.append((sent, took, answer[0]))
        if took is None:
            return
        time.sleep(max(0.0, USUAL_PACE_S - took))
    client.close()


def main():
    if len(sys.argv) > 1:
        return bad_client(int(sys.argv[1]))
    record = Record(HERE)
    gateway, bad = None, []
    with temporary_folder() as folder:
        try:
            board = Board()
            engines = [Engine("e-%d" % number, record) for number in (1, 2)]
            board.tell([engine.target() for engine in engines], whole=True)
            gateway = Gateway(folder, "g0", board, settings())
            gateway.wait_listening()
            results, until = [], time.time() + USUAL_SECONDS
            usual = [threading.Thread(target=usual_client, args=(number, gateway.port, record, results, until))
                     for number in range(USUAL_SESSIONS)]
            for thread in usual:
                thread.start()
                time.sleep(USUAL_PACE_S / USUAL_SESSIONS)
            time.sleep(2)
            if TROUBLE:
                record.say("%d bad clients begin" % BAD_CLIENTS)
                bad = [subprocess.Popen([sys.executable, os.path.abspath(__file__), str(gateway.port)],
                                        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True) for _ in range(BAD_CLIENTS)]
                for process in bad:
                    record.say(process.communicate(timeout=40)[0].strip())
                record.say("all bad clients have ended")
            for thread in usual:
                thread.join(40)
            if gateway.process.poll() is not None:
                record.say("the gateway has ended by itself")
                return 1
            limit = BUDGET_MS / 1000 + GRACE_S
            lost = [result for result in results if result[1] is None or result[1] > limit]
            slowest = max((result[1] or 99.0) for result in results)
            record.say("%d statements of usual clients, %d not answered within %.2f s (budget and half a second); slowest %.3f s" % (
                len(results), len(lost), limit, slowest))
            if len(results) < USUAL_SESSIONS * 4:
                raise CannotRun("too few statements of usual clients")
            return 1 if lost else 0
        finally:
            for process in bad:
                if process.poll() is None:
                    process.kill()
                process.wait()
            if gateway:
                gateway.end()


if __name__ == "__main__":
    try:
        status = main() or 0
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    os._exit(status)
