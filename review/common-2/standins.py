"""Shared parts of the cases 6 to 10: it starts gateways with the commands of the deploy file, and has
small stand-ins for engines, the notice board and MySQL clients, all on loopback addresses.

A case is a function `case(run)` passed to `main`. It returns the list of violations of its rule.
"""

import json
import os
import random
import shutil
import signal
import socket
import ssl
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
LIMIT_S = 110


class CannotRun(Exception):
    """The case could not be brought about, so nothing can be said about the rule."""


class Run:
    """One run of a case: its record, its folder and its processes."""

    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []
        self.processes = []
        self.tmp = tempfile.mkdtemp(prefix="laurelhitch-case-")

    def note(self, text):
        with self.lock:
            self.lines.append(f"{time.monotonic() - self.started:8.3f} {text}")

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        os.killpg(process.pid, number)
                    except ProcessLookupError:
                        pass
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)
        with self.lock, open(os.path.join(self.folder, "record.txt"), "w") as record:
            record.write("\n".join(self.lines) + "\n")


def main(case):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    run = Run(folder)
    status = 2

    def on_alarm(*_):
        raise CannotRun("the time limit of the case passed")

    signal.signal(signal.SIGALRM, on_alarm)
    signal.signal(signal.SIGTERM, on_alarm)
    signal.alarm(LIMIT_S)
    try:
        run.note(f"disruption: {'on' if run.trouble else 'off (TROUBLE=0)'}")
        violations = case(run)
        for violation in violations:
            run.note(f"RULE BROKEN: {violation}")
            print(f"rule broken: {violation}")
        if not violations:
            run.note("the rule held")
            print("the rule held")
        status = 1 if violations else 0
    except CannotRun as error:
        run.note(f"COULD NOT RUN: {error}")
        print(f"could not run: {error}")
    except Exception as error:  # a fault of the case itself says nothing about the rule
        run.note(f"COULD NOT RUN: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
    finally:
        signal.alarm(0)
        run.close()
    sys.stdout.flush()
    os._exit(status)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def until(what, limit_s, condition, pause_s=0.02):
    """Waits for a condition that the case needs; the case can't run without it."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(pause_s)
    raise CannotRun(f"{what}: not within {limit_s} s")


def new_rid():
    return f"{random.getrandbits(64):016x}"


# Processes


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        return tomllib.load(file)["run"]


def program(name="laurelhitch"):
    path = os.path.join(ROOT, "target", "release", name)
    if not os.path.exists(path):
        raise CannotRun(f"{path} is missing: run the build of the deploy file")
    return path


def command(run, *arguments):
    """Runs a command of the program and returns its standard output."""
    done = subprocess.run([program(), *arguments], capture_output=True, text=True, timeout=20)
    run.note(f"command: laurelhitch {' '.join(arguments[:3])} ... -> {done.returncode}")
    if done.returncode != 0:
        raise CannotRun(f"laurelhitch {arguments[0]}: {done.stderr.strip()}")
    return done.stdout.strip()


class Gateway:
    """A gateway process, started by the `run` line of the deploy file."""

    def __init__(self, run, name, board, known, settings, operator=None, limits=None, listen=None):
        self.run = run
        self.name = name
        self.port = listen or free_port()
        self.address = ("127.0.0.1", self.port)
        self.config_path = os.path.join(run.tmp, f"{name}-{self.port}.json")
        self.operator_path = None
        self.config = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": limits or {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": f"127.0.0.1:{board}",
            "known": known,
            "settings": settings,
        }
        self.write_config()
        if operator is not None:
            self.operator_path = os.path.join(run.tmp, f"{name}-{self.port}.hcl")
            self.write_operator(operator)
        self.start()

    def write_config(self):
        replace(self.config_path, json.dumps(self.config))

    def write_operator(self, text):
        replace(self.operator_path, text)

    def start(self):
        private = tempfile.mkdtemp(dir=self.run.tmp)
        environment = dict(os.environ)
        environment.update(
            RELAY_NAME=self.name,
            RELAY_LISTEN=f"127.0.0.1:{self.port}",
            RELAY_CONFIG=self.config_path,
            TMPDIR=private,
        )
        environment.pop("LAURELHITCH_OPERATOR", None)
        if self.operator_path:
            environment["LAURELHITCH_OPERATOR"] = self.operator_path
        program()
        self.log_path = os.path.join(self.run.tmp, f"{self.name}-{self.port}.log")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.run.processes.append(self.process)
        self.run.note(f"gateway {self.name}: started, pid {self.process.pid}, port {self.port}")

    def ready(self, limit_s=15):
        def listens():
            if self.process.poll() is not None:
                raise CannotRun(f"gateway {self.name} ended: {self.log()[-300:]}")
            try:
                socket.create_connection(self.address, timeout=1).close()
                return True
            except OSError:
                return False

        until(f"gateway {self.name} ready", limit_s, listens)
        self.run.note(f"gateway {self.name}: ready")

    def signal(self, number):
        self.run.note(f"gateway {self.name}: {signal.Signals(number).name}")
        os.kill(self.process.pid, number)

    def log(self):
        with open(self.log_path, errors="replace") as log:
            return log.read()

    def copy_log(self, words):
        """Copies the log lines that contain any of the words into the record."""
        for line in self.log().splitlines():
            if any(word in line for word in words):
                self.run.note(f"gateway {self.name} log: {line[:300]}")


def replace(path, text):
    with open(path + ".new", "w") as file:
        file.write(text)
    os.replace(path + ".new", path)


# Settings of a small deployment


def settings(classes, **changes):
    value = {
        "Discovery": "pushed",
        "Extra": {
            "Bills": True,
            "KindCores": [8, 8],
            "MemoryByKindMb": [8192.0, 8192.0],
            "Parallelism": [1] * len(classes),
            "ProgressPaceS": 2.0,
            "RanksHeeded": True,
        },
        "Grades": classes,
        "Limits": {
            "Cancel": False,
            "ConnIdleS": 20.0,
            "ConnectTimeoutS": 0.3,
            "MaxAttempts": 3,
            "MaxOpen": 2000,
            "MaxRetryAfterS": 0.4,
            "Multiplex": 100,
            "RetryAfter": True,
        },
        "MachineTypes": ["plain-8", "wide-8"],
        "OverShareWorth": 0.2,
        "PeersTotal": 1,
        "Rules": {
            "ColdS": 20.0,
            "DrainGraceS": 0.5,
            "StartCapacity": 0.4,
            "TipAfterS": 2.0,
            "TipMultiple": 2.5,
        },
        "Tenants": [
            {"Name": "water", "AllowancePerS": 200.0},
            {"Name": "power", "AllowancePerS": 100.0},
        ],
        "Zones": ["hall-1"],
    }
    for path, change in changes.items():
        block, _, key = path.partition("__")
        if key:
            value[block][key] = change
        else:
            value[block] = change
    return value


def grade(name, effect="safe", give_up_s=4.0, **more):
    return {
        "Name": name,
        "Effect": effect,
        "GoalTimeS": give_up_s / 2,
        "AimStretch": 2.0,
        "GiveUpS": give_up_s,
        "Credit": 1.0,
        "LateWorth": 0.5,
        **more,
    }


# Engines


class Engine:
    """An engine that runs what it is sent and answers it after `delay_s`, by the line protocol.

    `behave(engine, rid, text)` may return a list of bytes to write instead of the usual answer, or
    None to run it as usual.
    """

    def __init__(self, run, name, port=None, delay_s=0.03, behave=None):
        self.run = run
        self.name = name
        self.delay_s = delay_s
        self.behave = behave
        self.ran = []
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port or 0))
        self.listener.listen(256)
        self.port = self.listener.getsockname()[1]
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.append(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def close(self):
        """Ends the engine: it listens no more and its connections are closed."""
        for item in [self.listener, *self.connections]:
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            item.close()

    def serve(self, connection):
        stream = connection.makefile("rb")
        writing = threading.Lock()
        results = {}

        def write(data):
            try:
                with writing:
                    connection.sendall(data)
            except OSError:
                pass

        try:
            while line := stream.readline():
                words = line.rstrip(b"\r\n").split(b" ")
                rid = words[1].decode() if len(words) > 1 else ""
                if words[0] == b"do" and len(words) == 4:
                    text = stream.read(int(words[3]) + 2)[:-2].decode()
                    with self.lock:
                        self.ran.append((time.monotonic(), rid, words[2].decode(), text))
                    self.run.note(f"engine {self.name}: runs {rid} {words[2].decode()} {text!r}")
                    threading.Thread(
                        target=self.answer, args=(write, results, rid, text), daemon=True
                    ).start()
                elif words[0] == b"page":
                    write(answer(rid, "BROKE", "-", ""))
                elif words[0] == b"ping":
                    write(answer(rid, "FIT", "-", ""))
        except (OSError, ValueError):
            pass

    def answer(self, write, results, rid, text):
        scripted = self.behave(self, rid, text) if self.behave else None
        if scripted is not None:
            for part in scripted:
                write(part)
            return
        time.sleep(self.delay_s)
        write(answer(rid, "DONE", "total=1,elapsed=12.5,rss=8", f"{self.name}\t{text}\t\n"))

    def count(self):
        with self.lock:
            return len(self.ran)


def answer(rid, word, fields, body):
    data = body.encode()
    return f"{rid} {word} {fields} {len(data)}\r\n".encode() + data + b"\r\n"


def target(uid, port, state="in_service", model="plain-8", az="hall-1", host="127.0.0.1"):
    return {
        "uid": uid,
        "endpoint": f"{host}:{port}",
        "az": az,
        "model": model,
        "pod_group": 0,
        "state": state,
        "capacity_hint": 8.0,
        "boot_ms": 0,
    }


# The notice board


class Board:
    """The notice board: numbered events, long polls over HTTP/1.1."""

    def __init__(self, run, first, port=None):
        self.run = run
        self.events = []
        self.changed = threading.Condition()
        self.up = True
        self.connections = set()
        self.port = port or free_port()
        self.tell(first, whole=True)
        self.listener = None
        self.open()

    def open(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", self.port))
        self.listener.listen(64)
        self.up = True
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def down(self):
        """The service is down: connections are refused and open ones are closed."""
        self.run.note("board: down")
        with self.changed:
            self.up = False
            self.changed.notify_all()
        for item in [self.listener, *list(self.connections)]:
            try:
                item.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            item.close()
        self.connections.clear()

    def back(self):
        self.run.note(f"board: back, {len(self.events)} events so far")
        self.open()

    def tell(self, targets, whole=False):
        with self.changed:
            number = len(self.events) + 1
            pool = {"rev": number, "all": whole, "targets": targets}
            self.events.append({"rev": number, "pool": pool})
            self.changed.notify_all()
        return number

    def known(self):
        with self.changed:
            return {"rev": len(self.events), "notices": list(self.events)}

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while request := stream.readline():
                while stream.readline() not in (b"\r\n", b"\n", b""):
                    pass
                query = dict(
                    part.split("=") for part in request.split()[1].decode().partition("?")[2].split("&")
                )
                watch, linger_ms = int(query["watch"]), min(int(query["linger"]), 5000)
                with self.changed:
                    self.changed.wait_for(
                        lambda: len(self.events) > watch or not self.up, linger_ms / 1000
                    )
                    if not self.up:
                        return
                    body = {"rev": len(self.events), "notices": self.events[watch:]}
                data = json.dumps(body, separators=(",", ":")).encode()
                if body["notices"]:
                    self.run.note(
                        f"board: answers watch={watch} with events to {body['rev']}, {len(data)} bytes"
                    )
                head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                connection.sendall(head + data)
        except (OSError, ValueError, KeyError):
            pass
        finally:
            self.connections.discard(connection)
            connection.close()


# MySQL clients


class Refused(Exception):
    def __init__(self, code, text):
        super().__init__(f"{code} {text}")
        self.code = code
        self.text = text


class Client:
    """A MySQL client: in the clear as user `app`, or with a token within TLS."""

    def __init__(self, address, token=None, timeout_s=10):
        self.socket = socket.create_connection(address, timeout=timeout_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        greeting = self.packet()
        end = greeting.index(b"\0", 1)
        self.connection_id = struct.unpack_from("<I", greeting, end + 1)[0]
        capabilities = 0x1 | 0x8 | 0x200 | 0x8000
        fixed = struct.pack("<IIB", capabilities, 1 << 24, 33) + bytes(23)
        if token is None:
            self.send(1, fixed + b"app\0\0warehouse\0")
            self.expect_ok()
            return
        with_tls = struct.pack("<IIB", capabilities | 0x800, 1 << 24, 33) + bytes(23)
        self.send(1, with_tls)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        self.socket = context.wrap_socket(self.socket)
        self.send(2, with_tls + b"token\0\0warehouse\0")
        request = self.packet()
        if request[:1] == b"\xff":
            self.raise_error(request)
        if not request.startswith(b"\xfemysql_clear_password\0"):
            raise CannotRun(f"login: {request!r}")
        self.send(4, token.encode() + b"\0")
        self.expect_ok()

    def send(self, sequence, body):
        self.socket.sendall(struct.pack("<I", len(body))[:3] + bytes([sequence]) + body)

    def read(self, length):
        data = b""
        while len(data) < length:
            part = self.socket.recv(length - len(data))
            if not part:
                raise ConnectionError("the gateway closed the connection")
            data += part
        return data

    def packet(self):
        head = self.read(4)
        return self.read(head[0] | head[1] << 8 | head[2] << 16)

    def raise_error(self, packet):
        raise Refused(struct.unpack_from("<H", packet, 1)[0], packet[9:].decode(errors="replace"))

    def expect_ok(self):
        packet = self.packet()
        if packet[:1] == b"\xff":
            self.raise_error(packet)

    def query(self, text):
        self.send(0, b"\x03" + text.encode())

    def rows(self):
        """Reads the answer: its rows, or an empty list for OK. An error is raised as Refused."""
        first = self.packet()
        if first[:1] == b"\xff":
            self.raise_error(first)
        if first[:1] == b"\0":
            return []
        for _ in range(first[0]):
            self.packet()
        self.packet()
        rows = []
        while True:
            packet = self.packet()
            if packet[:1] == b"\xfe" and len(packet) < 9:
                return rows
            rows.append(values(packet))

    def ask(self, text):
        self.query(text)
        return self.rows()

    def close(self):
        try:
            self.socket.close()
        except OSError:
            pass


def values(packet):
    result, at = [], 0
    while at < len(packet):
        length, at = packet[at], at + 1
        if length == 0xFC:
            length, at = struct.unpack_from("<H", packet, at)[0], at + 2
        elif length == 0xFD:
            length, at = int.from_bytes(packet[at : at + 3], "little"), at + 3
        result.append(packet[at : at + length].decode(errors="replace"))
        at += length
    return result


def statement(method, text, budget_ms=2000, rid=None, **fields):
    rid = rid or new_rid()
    more = "".join(f",{name}={value}" for name, value in fields.items())
    return rid, f"/* method={method},rid={rid},budget={budget_ms},est=12.0,mem=8{more} */ {text}"


def ask(run, client, name, text):
    """Sends one statement, records it and what was answered, and returns the outcome: rows, the
    error's code, or None if the connection ended."""
    run.note(f"client {name}: sends {text}")
    try:
        rows = client.ask(text)
        run.note(f"client {name}: answered {rows}")
        return rows
    except Refused as error:
        run.note(f"client {name}: answered error {error.code} {error.text}")
        return error.code
    except (OSError, ConnectionError) as error:
        run.note(f"client {name}: no answer: {error}")
        return None
