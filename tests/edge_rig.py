"""Runs the proxy on the platform against fakes on loopback: PostgreSQL nodes, discovery and the release API."""

import json
from struct import pack

from gannetfront import host
from gannetfront.edge import config
from gannetfront.edge.edge import Edge
from gannetfront.wire import http, pg
from rig import Log, Node

SETTINGS = {
    "balancers": 2,
    "me": 0,
    "myZone": 0,
    "localities": ["a", "b"],
    "models": ["m2"],
    "tickMs": 5.0,
    "membershipMode": "automatic",
    "ceilings": {
        "cancel": True,
        "connectTimeoutMs": 150.0,
        "idleCloseMs": 30000.0,
        "mayDuplicate": True,
        "mayTell": True,
        "mostHeld": 200,
        "retryAfter": False,
        "maxRetryAfterMs": 1000.0,
        "sendCap": 3,
    },
    "classes": [
        {
            "name": "look",
            "semantics": "retryable",
            "aimMs": 400.0,
            "giveUpMs": 900.0,
            "worth": 1.0,
            "lateWorth": 0.2,
        },
        {
            "name": "place",
            "semantics": "dedup",
            "aimMs": 400.0,
            "giveUpMs": 900.0,
            "dedupWindowMs": 800.0,
            "group": "all",
        },
        {"name": "debit", "semantics": "fragile", "aimMs": 400.0, "giveUpMs": 900.0},
    ],
    "familyInfo": {
        "answerWaitMs": 200.0,
        "stageCap": [0.5, 1.0],
        "shares": [0.5, 1.0],
        "exposureWindowMs": 2000.0,
        "spareTries": 3.0,
        "toAdvance": 1,
        "backVotes": 1,
        "voteTtlMs": 6000.0,
    },
    "rules": {
        "drainGraceMs": 2000.0,
        "coldShare": 0.3,
        "warmWithinMs": 4000.0,
        "fallMultiple": 3.0,
        "overloadForMs": 1000.0,
    },
    "report": {"fields": []},
    "fees": {},
}
NEWS = {"build": 1, "stage": 1, "phase": "Healthy", "cap": 1.0, "age_ms": 5000}


def row(value, tag=b"SELECT 1", ready=True):
    """A node's answer to a statement that succeeded: one row with one value."""
    description = pg.message(b"T", b"\0\1val\0" + pack("!IHIhih", 0, 0, 17, -1, -1, 0))
    data_row = pg.message(b"D", b"\0\1" + pack("!I", len(value)) + value)
    return description + data_row + pg.message(b"C", tag + b"\0") + (pg.READY if ready else b"")


def said(code):
    """A node's error answer with this SQLSTATE code."""
    return pg.error(code, "said so") + pg.READY


def select(ident, d=800, c="look", uid="7f3a", more=""):
    return f"SELECT val FROM state WHERE uid = '{uid}' /* id={ident},c={c},d={d}{more} */".encode()


def insert(ident, d=800, c="place", more=",k=5c0f"):
    return f"INSERT INTO state (uid, val) VALUES ('7f3a', '\\x9f03') RETURNING val /* id={ident},c={c},d={d}{more} */".encode()


class PgNode(Node):
    """A fake PostgreSQL node. `seen` holds the statements; an answer may be a function of the statement.

    Each connection is greeted with the next of `greets`; the last one repeats."""

    def __init__(self, *acts, greets=(pg.WELCOME,)):
        self.greets = list(greets)
        super().__init__(*(acts or [row(b"\\x9f03")]))

    def requests(self, stream):
        reader = pg.ClientReader()
        while True:
            message = reader.take()
            if message is None:
                data = stream.recv(65536, 5000)
                if not data:
                    return
                reader.feed(data)
            elif message[0] == "start":
                greeting = self.greets.pop(0) if len(self.greets) > 1 else self.greets[0]
                if greeting == "silent":
                    stream.recv(1, 5000)
                stream.send(greeting, 1000)
            elif message[0] == "query":
                yield message[1]


class Platform:
    """Fake discovery service and release API. `spoil` maps a path to answers that are each given once instead
    of the correct one."""

    def __init__(self, hosts):
        self.version = 1
        self.hosts = hosts
        self.told = 1
        self.votes = []
        self.spoil = {}
        self.watchers = []
        self.streams = []
        self.vote_answers, self.asked, self.open = [], [], []
        self.state_text = b""  # the notice that a new stream begins with
        self.listener = host.Listener("127.0.0.1:0")
        self.at = self.listener.where
        host.spawn(host.serve, self.listener, self.handle, Log())

    def listing(self, whole=True, hosts=None):
        return json.dumps(
            {"seq": self.version, "whole": whole, "hosts": self.hosts if hosts is None else hosts}
        ).encode()

    def change(self, *hosts):
        """Replaces these entries and sends them to all watchers as changes."""
        self.version += 1
        names = {entry["host"] for entry in hosts}
        self.hosts = [entry for entry in self.hosts if entry["host"] not in names] + list(hosts)
        self.pending = self.listing(False, list(hosts))
        for watcher in self.watchers:
            watcher.set()

    def handle(self, stream):
        self.open.append(stream)
        reader = http.RequestReader(65536, 65536)
        try:
            while True:
                while not reader.ready:
                    data = stream.recv(65536, 10000)
                    if not data:
                        return
                    reader.feed(data)
                _, path, _, body, _ = reader.ready.pop(0)
                self.asked.append((path, body))
                name = path.split(b"?")[0]
                if self.spoil.get(name):
                    stream.send(self.spoil[name].pop(0), 1000)
                elif name == b"/discovery/hosts":
                    self.answer_listing(stream, path)
                elif name == b"/api/notices":
                    stream.send(
                        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
                        1000,
                    )
                    if self.state_text:
                        stream.send(b"%x\r\n%s\r\n" % (len(self.state_text), self.state_text), 1000)
                    self.streams.append(stream)
                    stream.recv(1, 10000)
                else:
                    self.votes.append(body)
                    stream.send(self.vote_answers.pop(0) if self.vote_answers else vote_ok(), 1000)
        except (OSError, host.Timeout):
            pass

    def answer_listing(self, stream, path):
        """Answers a call for the list, a watch as soon as there is a change."""
        if b"since=%d" % self.version in path:
            watcher = host.Once()
            self.watchers.append(watcher)
            stream.recv_or(watcher, 1, 10000)
        whole = b"since" not in path or b"since=%d&" % (self.version - 1) not in path
        stream.send(http.answer(200, [], self.listing() if whole else self.pending), 1000)

    def notice(self, text):
        """Sends text on all open notice streams, as one chunk."""
        for stream in self.streams:
            if stream.open:
                stream.send(b"%x\r\n%s\r\n" % (len(text), text), 1000)

    def tell(self, **fields):
        """Tells a state of the newest build: on the streams that are open and first on all later ones."""
        pairs = "&".join(f"{name}={value}" for name, value in fields.items())
        self.state_text = f"event: news\ndata: {pairs}\n\n".encode()
        self.notice(self.state_text)

    def close(self):
        self.listener.close()
        for stream in self.open:
            stream.close()


def vote_ok(build=1, stage=1, phase="Healthy", cap=1, age=9000):
    body = (
        f'<?xml version="1.0"?>\n<Response><groups><item><build>{build}</build><stage>{stage}</stage><phase>{phase}</phase>'
        f"<cap>{cap}</cap><age_ms>{age}</age_ms></item></groups></Response>"
    ).encode()
    return http.answer(200, [], body)


class Client:
    """A PostgreSQL client that writes and reads single protocol messages."""

    def __init__(self, at, start=True):
        self.stream, self.held = host.connect(at, 1000), bytearray()
        if start:
            self.stream.send(pg.startup(b"client", b"core"), 1000)
            self.until(b"Z")

    def one(self, limit=3000):
        """The next message as (type, body); None if the connection has ended."""
        while len(self.held) < 5 or len(self.held) <= int.from_bytes(self.held[1:5], "big"):
            try:
                data = self.stream.recv(65536, limit)
            except OSError:
                return None
            if not data:
                return None
            self.held += data
        size = int.from_bytes(self.held[1:5], "big")
        kind, body = bytes(self.held[:1]), bytes(self.held[5 : size + 1])
        del self.held[: size + 1]
        return kind, body

    def until(self, kind):
        """The messages up to the first one of this type, or up to the end of the connection (None)."""
        messages = []
        while True:
            message = self.one()
            messages.append(message)
            if message is None or message[0] == kind:
                return messages

    def write(self, *queries):
        self.stream.send(b"".join(pg.message(b"Q", query + b"\0") for query in queries), 1000)

    def ask(self, query):
        """The value or the error code that answers a query, or None if the connection ended."""
        self.write(query)
        return verdict(self.until(b"Z"))


def verdict(messages):
    """The value or the error code in an answer's messages, or None."""
    for message in messages:
        if message and message[0] == b"D":
            return message[1][6:]
        if message and message[0] == b"E":
            return fields(message[1])["C"]
    return None


def fields(body):
    """The fields of an error message by their one-letter names."""
    return {part[:1].decode(): part[1:].decode("latin-1") for part in body.split(b"\0") if part}


class EdgeRig:
    """A proxy in this process with its fake nodes and platform."""

    def __init__(self, tmp_path, *nodes, sockets=256, known=True, **more):
        self.nodes, self.log, self.path = list(nodes), Log(), str(tmp_path / "config.json")
        self.platform = Platform([self.host(n) for n in range(len(nodes))])
        self.told = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.platform.at,
            "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
            "peers": [],
            "settings": SETTINGS,
            "release_api": {"address": self.platform.at, "news": NEWS},
            "known": known
            if isinstance(known, dict)
            else json.loads(self.platform.listing(hosts=None if known else [])),
        } | more
        self.write()
        self.edge = Edge(config.Start(config.read(self.path), {}), self.path, self.log)
        self.edge.start()
        self.at = self.edge.listener.where

    def write(self, **more):
        """Writes the configuration file, with these fields changed."""
        self.told |= more
        with open(self.path, "w") as f:
            json.dump(self.told, f)

    def host(self, n, **more):
        """The discovery entry of a node, with these fields changed."""
        return {
            "host": f"s-{n}",
            "dial": self.nodes[n].at,
            "site": "a",
            "class": "m2",
            "block": 0,
            "health": "up",
            "share": 1.0,
            "born_ms": 0,
            "revision_no": 1,
        } | more

    def client(self, **options):
        return Client(self.at, **options)

    def until(self, condition, limit=3000):
        """Waits until the condition holds; fails after `limit` ms."""
        deadline = host.now() + limit
        while not condition():
            assert host.now() < deadline, f"condition not met in time; {self.log.lines[-5:]}"
            host.sleep(3)

    def close(self):
        self.edge.listener.close()
        for greenlet in self.edge.greenlets:
            host.stop(greenlet)
        self.platform.close()
        for node in self.nodes:
            node.close()
        for stream in list(self.edge.clients.open):
            stream.close()
