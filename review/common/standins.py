"""Stand-ins for clients, engines and the discovery service, and the start of gateway processes.

Standard library only. Every address is on 127.0.0.1; every process started here is ended by its id.
"""

import json
import os
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the Unix time of each line."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()

    def line(self, text):
        with self.lock:
            self.file.write("%.3f %s\n" % (time.time(), text))
            self.file.flush()

    def say(self, text):
        print(text, flush=True)
        self.line(text)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def run_command():
    """The line `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(r'^run\s*=\s*"([^"]+)"', file.read(), re.M)
    if not found:
        raise CannotRun("deploy/balancer.toml has no line run")
    return found.group(1)


# ---------------------------------------------------------------- engine


def three_columns(text, rows):
    """Pages of whole rows, 6,000 bytes at most each."""
    pages, page = [], ""
    for number in range(rows):
        row = "%d\t%s\t%s\n" % (number, text[:200].replace("\t", " ").replace("\n", " "), "x" * 40)
        if len(page) + len(row) > 6000:
            pages.append(page)
            page = ""
        page += row
    pages.append(page)
    return pages


class Engine:
    """Speaks the line protocol between gateways and engines. `on_do(engine, connection, request)`
    decides what becomes of a request; without it each is answered well after `work_s`."""

    def __init__(self, uid, record, work_s=0.02, rows=3, on_do=None):
        self.uid, self.record, self.work_s, self.rows, self.on_do = uid, record, work_s, rows, on_do
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(512)
        self.port = self.listener.getsockname()[1]
        self.started = []
        threading.Thread(target=self._accept, daemon=True).start()

    def target(self, state="in_service"):
        return {"uid": self.uid, "endpoint": "127.0.0.1:%d" % self.port, "az": "hall-1",
                "model": "plain-8", "pod_group": 0, "state": state, "capacity_hint": 8.0, "boot_ms": 0}

    def _accept(self):
        while True:
            stream, _ = self.listener.accept()
            stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=EngineConnection(self, stream).serve, daemon=True).start()


class EngineConnection:
    def __init__(self, engine, stream):
        self.engine, self.stream, self.lock, self.results = engine, stream, threading.Lock(), {}

    def send(self, data):
        with self.lock:
            try:
                self.stream.sendall(data)
            except OSError:
                pass

    def answer(self, rid, word, fields="-", body=b""):
        self.send(b"%s %s %s %d\r\n%s\r\n" % (rid.encode(), word.encode(), fields.encode(), len(body), body))

    def well(self, rid, pages):
        self.results[rid] = pages
        self.answer(rid, "DONE", "total=%d,elapsed=12.5,rss=8" % len(pages), pages[0].encode())

    def serve(self):
        reader = self.stream.makefile("rb")
        try:
            while True:
                line = reader.readline()
                if not line:
                    return
                words = line.decode("latin-1").rstrip("\r\n").split(" ")
                if words[0] == "do":
                    body = reader.read(int(words[3]) + 2)[:-2].decode("utf-8", "replace")
                    request = {"rid": words[1], "fields": words[2], "text": body, "at": time.time()}
                    self.engine.started.append(request)
                    self.engine.record.line("engine %s got do %s %s | %s" % (self.engine.uid, words[1], words[2], body[:120]))
                    threading.Thread(target=self.do, args=(request,), daemon=True).start()
                elif words[0] == "page":
                    pages = self.results.get(words[1])
                    number = int(words[2])
                    if pages and number < len(pages):
                        self.answer(words[1], "MORE", "index=%d" % number, pages[number].encode())
                    else:
                        self.answer(words[1], "BROKE")
                elif words[0] == "ping":
                    self.answer(words[1], "FIT")
                else:
                    self.engine.record.line("engine %s got %s" % (self.engine.uid, " ".join(words[:2])))
        except OSError:
            pass
        finally:
            self.stream.close()

    def do(self, request):
        if self.engine.on_do and self.engine.on_do(self.engine, self, request):
            return
        time.sleep(self.engine.work_s)
        self.well(request["rid"], three_columns(request["text"], self.engine.rows))


# ---------------------------------------------------------------- discovery


class Board:
    """Long polls over HTTP, with numbered events."""

    def __init__(self):
        self.events, self.changed = [], threading.Condition()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def tell(self, targets, whole=False):
        with self.changed:
            number = len(self.events) + 1
            self.events.append({"rev": number, "pool": {"rev": number, "all": whole, "targets": targets}})
            self.changed.notify_all()

    def known(self):
        with self.changed:
            return {"rev": len(self.events), "notices": list(self.events)}

    def _accept(self):
        while True:
            stream, _ = self.listener.accept()
            threading.Thread(target=self._serve, args=(stream,), daemon=True).start()

    def _serve(self, stream):
        reader = stream.makefile("rb")
        try:
            while True:
                first = reader.readline().decode("latin-1")
                if not first:
                    return
                while reader.readline().strip():
                    pass
                watch = int(re.search(r"watch=(\d+)", first).group(1))
                linger = min(int(re.search(r"linger=(\d+)", first).group(1)), 5000) / 1000
                with self.changed:
                    self.changed.wait_for(lambda: len(self.events) > watch, timeout=linger)
                    body = json.dumps({"rev": len(self.events), "notices": self.events[watch:]}).encode()
                stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (OSError, AttributeError):
            pass
        finally:
            stream.close()


# ---------------------------------------------------------------- clients


def packet(sequence, body):
    return struct.pack("<I", len(body))[:3] + bytes([sequence]) + body


def login_packet(sequence=1, user=b"app", flags=0, plugin=b""):
    capabilities = 0x1 | 0x8 | 0x200 | 0x8000 | flags
    body = struct.pack("<IIB", capabilities, 1 << 24, 33) + bytes(23) + user + b"\0" + b"\0" + b"warehouse\0" + plugin
    return packet(sequence, body)


def query_packet(text):
    return packet(0, b"\x03" + text.encode())


class Client:
    """One MySQL session."""

    def __init__(self, port, timeout=10.0):
        self.stream = socket.create_connection(("127.0.0.1", port), timeout=timeout)
        self.stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.greeting = self.read_packet()
        end = self.greeting.index(b"\0", 1)
        self.connection = struct.unpack("<I", self.greeting[end + 1:end + 5])[0]

    def login(self):
        self.stream.sendall(login_packet())
        body = self.read_packet()
        if body[0] != 0:
            raise OSError("login refused: %r" % body)
        return self

    def _read(self, count):
        while len(self.buffer) < count:
            data = self.stream.recv(65536)
            if not data:
                raise EOFError("the gateway closed the connection")
            self.buffer += data
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def read_packet(self):
        head = self._read(4)
        return self._read(head[0] | head[1] << 8 | head[2] << 16)

    def read_answer(self):
        """('ok',), ('error', code, text) or ('rows', [[text, ...], ...])."""
        first = self.read_packet()
        if first[0] == 0:
            return ("ok",)
        if first[0] == 0xFF:
            return ("error", struct.unpack("<H", first[1:3])[0], first[9:].decode("utf-8", "replace"))
        for _ in range(first[0] + 1):
            self.read_packet()
        rows = []
        while True:
            body = self.read_packet()
            if body[0] == 0xFE and len(body) < 9:
                return ("rows", rows)
            row, at = [], 0
            while at < len(body):
                length = body[at]
                at += 1
                if length == 0xFC:
                    length = struct.unpack("<H", body[at:at + 2])[0]
                    at += 2
                row.append(body[at:at + length].decode("utf-8", "replace"))
                at += length
            rows.append(row)

    def ask(self, text):
        self.stream.sendall(query_packet(text))
        return self.read_answer()

    def close(self):
        try:
            self.stream.close()
        except OSError:
            pass


# ---------------------------------------------------------------- gateways


def settings(**changes):
    base = {
        "Discovery": "pushed",
        "Extra": {"Bills": True, "KindCores": [8], "MemoryByKindMb": [8192.0], "Parallelism": [1, 2],
                  "ProgressPaceS": 2.0, "RanksHeeded": True},
        "Grades": [
            {"Name": "point", "Effect": "safe", "GoalTimeS": 0.5, "AimStretch": 2.0, "GiveUpS": 2.0, "Credit": 1.0, "LateWorth": 0.0},
            {"Name": "scan", "Effect": "safe", "GoalTimeS": 2.0, "AimStretch": 3.0, "GiveUpS": 10.0, "Credit": 8.0, "LateWorth": 0.25},
        ],
        "Limits": {"Cancel": False, "ConnIdleS": 20.0, "ConnectTimeoutS": 0.3, "MaxAttempts": 3, "MaxOpen": 2000,
                   "MaxRetryAfterS": 0.4, "Multiplex": 100, "RetryAfter": True},
        "MachineTypes": ["plain-8"], "OverShareWorth": 0.2, "PeersTotal": 1,
        "Rules": {"ColdS": 20.0, "DrainGraceS": 0.5, "StartCapacity": 0.4, "TipAfterS": 2.0, "TipMultiple": 2.5},
        "Tenants": [{"Name": "water", "AllowancePerS": 200.0}, {"Name": "power", "AllowancePerS": 100.0}],
        "Zones": ["hall-1"],
    }
    base.update(changes)
    return base


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, folder, name, board, gateway_settings, operator=None, sockets=1024, extra_env=None):
        self.name, self.port, self.folder = name, free_port(), folder
        self.config = os.path.join(folder, name + ".json")
        self.board, self.settings, self.sockets = board, gateway_settings, sockets
        self.operator, self.extra_env = operator, extra_env or {}
        self.write_config()
        self.start()

    def write_config(self):
        content = {"name": self.name, "listen": "127.0.0.1:%d" % self.port, "seed": os.urandom(8).hex(),
                   "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                   "board": "127.0.0.1:%d" % self.board.port, "known": self.board.known(), "settings": self.settings}
        with open(self.config + ".new", "w", encoding="utf-8") as file:
            json.dump(content, file)
        os.replace(self.config + ".new", self.config)

    def start(self):
        environment = dict(os.environ, RELAY_NAME=self.name, RELAY_LISTEN="127.0.0.1:%d" % self.port,
                           RELAY_CONFIG=self.config, TMPDIR=self.folder, **self.extra_env)
        if self.operator:
            environment["LAURELHITCH_OPERATOR"] = self.operator
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)

    def wait_listening(self, seconds=20.0):
        end = time.time() + seconds
        while time.time() < end:
            if self.process.poll() is not None:
                raise CannotRun("gateway %s ended with %s" % (self.name, self.process.returncode))
            try:
                socket.create_connection(("127.0.0.1", self.port), timeout=1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise CannotRun("gateway %s does not listen" % self.name)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()

    def log_text(self):
        with open(os.path.join(self.folder, self.name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()


def comment(rid, budget, method="point", text="SELECT a FROM ledger_17.bills", **fields):
    more = "".join(",%s=%s" % pair for pair in fields.items())
    return "/* method=%s,rid=%s,budget=%d%s */ %s" % (method, rid, budget, more, text)


def new_rid():
    return os.urandom(8).hex()


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="laurelhitch-review-")
