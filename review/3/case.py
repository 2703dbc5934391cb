"""What a client reads as served is to be the whole result, also while engines spoil some of their answers with noise."""

import os
import random
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))

from standins import Board, CannotRun, Client, Engine, Gateway, Record, comment, new_rid, settings, temporary_folder, three_columns  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SPOILT_PART = 0.2        # "some good answers"
ROWS = 300               # four pages of at most 6,000 bytes, 48,000 bytes at most in all
SECONDS = 10.0
SESSIONS = 4
BUDGET_MS = 2000
SEED = 50
NOISE = b"~^!?\x07\x80\xff"


def main():
    record, dice, spoilt = Record(HERE), random.Random(SEED), []

    def on_do(engine, connection, request):
        """Runs the request, and puts one byte of noise into the line of some answers, anywhere behind the id."""
        pages = three_columns(request["text"], ROWS)
        if not TROUBLE or dice.random() >= SPOILT_PART:
            return False
        time.sleep(engine.work_s)
        connection.results[request["rid"]] = pages
        body, rid = pages[0].encode(), request["rid"].encode()
        rest = bytearray(b"DONE total=%d,elapsed=12.5,rss=8 %d" % (len(pages), len(body)))
        rest[dice.randrange(len(rest))] = dice.choice(NOISE)
        spoilt.append(request["rid"])
        record.line("engine %s answers %s with noise: %r" % (engine.uid, request["rid"], bytes(rest)))
        connection.send(rid + b" " + bytes(rest) + b"\r\n" + body + b"\r\n")
        return True

    gateway = None
    with temporary_folder() as folder:
        try:
            board = Board()
            engines = [Engine("e-%d" % number, record, rows=ROWS, on_do=on_do) for number in (1, 2, 3)]
            board.tell([engine.target() for engine in engines], whole=True)
            gateway = Gateway(folder, "g0", board, settings())
            gateway.wait_listening()
            results, until = [], time.time() + SECONDS

            def client():
                session = Client(gateway.port).login()
                while time.time() < until:
                    rid = new_rid()
                    text = "SELECT a, b, c FROM ledger_17.bills WHERE tag = '%s'" % rid
                    try:
                        answer = session.ask(comment(rid, BUDGET_MS, text=text, acct="water"))
                    except (OSError, EOFError) as error:
                        record.line("%s got no answer: %r" % (rid, error))
                        session = Client(gateway.port).login()
                        continue
                    whole = [row.split("\t") for page in three_columns(text, ROWS) for row in page.splitlines()]
                    kind = answer[0]
                    if kind == "rows":
                        kind = "whole" if answer[1] == whole else "not whole"
                    record.line("%s answered: %s%s" % (rid, kind, " with %d of %d rows" % (len(answer[1]), ROWS) if answer[0] == "rows" else " %s" % (answer[1:],)))
                    results.append(kind)
                    time.sleep(0.1)
                session.close()

            threads = [threading.Thread(target=client) for _ in range(SESSIONS)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(40)
            record.say("%d answers spoilt; clients read: %s" % (
                len(spoilt), ", ".join("%s %d" % (kind, results.count(kind)) for kind in sorted(set(results)))))
            if results.count("whole") < 20 or (TROUBLE and not spoilt):
                raise CannotRun("too few answers")
            return 1 if "not whole" in results else 0
        finally:
            if gateway:
                gateway.end()


if __name__ == "__main__":
    try:
        status = main()
    except Exception:  # noqa: BLE001
        traceback.print_exc()
        status = 2
    sys.stdout.flush()
    os._exit(status)
