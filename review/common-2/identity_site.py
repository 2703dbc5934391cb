"""A gateway with an `identity` block: its folder of keys, made with the program's own commands, one
engine, and clients with tokens."""

import os
import shutil

from standins import Board, Client, Engine, Gateway, Refused, command, grade, settings, target

HERE = os.path.dirname(os.path.abspath(__file__))
CLASSES = [grade("point"), grade("scan", give_up_s=10.0)]


class Site:
    def __init__(self, run):
        self.run = run
        # The operator's own folder, and the gateway's copy of it.
        self.master = os.path.join(run.tmp, "master-keys")
        self.copy = os.path.join(run.tmp, "gateway-keys")
        os.makedirs(self.master)
        self.engine = Engine(run, "e-1")
        self.board = Board(run, [target("e-1", self.engine.port)])
        self.add_key("k1")

    def add_key(self, name):
        command(self.run, "keys", "new", self.master, name)
        command(self.run, "keys", "announce", self.master, name, "--signs-in-s", "0")

    def token(self, key, caller, *options):
        return command(
            self.run, "token", "issue", self.master, key, "--caller", caller, "--member", "water", *options
        )

    def copy_file(self, name):
        """Copies one file as copying tools do: whole, by a rename."""
        self.run.note(f"copy: {name} arrives in the gateway's folder")
        path = os.path.join(self.copy, name)
        shutil.copy2(os.path.join(self.master, name), path + ".part")
        os.replace(path + ".part", path)

    def start(self):
        shutil.copytree(self.master, self.copy, ignore=shutil.ignore_patterns("*.key"))
        for name in ("tls.pem", "tls.key"):
            shutil.copy(os.path.join(HERE, name), os.path.join(self.run.tmp, name))
        operator = (
            "identity {\n"
            f'  keys_folder = "{self.copy}"\n'
            f'  certificate = "{self.run.tmp}/tls.pem"\n'
            f'  private_key = "{self.run.tmp}/tls.key"\n'
            "}\n"
        )
        self.gateway = Gateway(
            self.run, "g0", self.board.port, self.board.known(), settings(CLASSES), operator=operator
        )
        self.gateway.ready()

    def login(self, name, token):
        """Logs in; returns the client, or the error's code."""
        try:
            client = Client(self.gateway.address, token=token)
            self.run.note(f"client {name}: logged in")
            return client
        except Refused as error:
            self.run.note(f"client {name}: login refused: {error.code} {error.text}")
            return error.code
