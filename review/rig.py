"""Stand-ins for the users' platform, and the start of one proxy by the run line of deploy/balancer.toml.

Standard library only. Servers, discovery and the release API live in one asyncio loop with the clients of the
case; the proxy is a process of its own. All addresses are loopback addresses, all times float milliseconds of
the monotonic clock, which all processes of a machine share.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import deque

ROOT = pathlib.Path(__file__).resolve().parent.parent
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LOOPBACK = "127.0.0.1"  # every address of a case is on it


def now():
    return time.monotonic_ns() / 1e6


def trouble():
    """Whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRun(Exception):
    """The case could not be set up: nothing is known of the rule."""


class Record:
    """Writes record.txt: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = now()

    def line(self, *words):
        self.file.write(f"{now() - self.start:10.2f} {' '.join(map(str, words))}\n")

    def close(self):
        self.file.close()


# ---- the platform's form of PostgreSQL's protocol ----


def message(kind, body):
    return kind + struct.pack("!I", len(body) + 4) + body


READY = message(b"Z", b"I")
WELCOME = message(b"R", b"\0\0\0\0") + message(b"S", b"server_version\x0016.0\0") + READY


def row(value, tag):
    described = b"\0\1val\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    data = b"\0\1" + struct.pack("!I", len(value)) + value
    return message(b"T", described) + message(b"D", data) + message(b"C", tag + b"\0") + READY


def error(code, text=b"said so"):
    return message(b"E", b"SERROR\0VERROR\0C" + code + b"\0M" + text + b"\0\0") + READY


def startup():
    body = struct.pack("!I", 196608) + b"user\0client\0database\0core\0\0"
    return struct.pack("!I", len(body) + 4) + body


class Messages:
    """Splits a byte stream into messages; a stream from a client begins with a startup message."""

    def __init__(self, begins):
        self.held, self.begins = bytearray(), begins

    def feed(self, data):
        self.held += data
        found = []
        while True:
            head = 4 if self.begins else 5
            if len(self.held) < head:
                return found
            size = struct.unpack_from("!I", self.held, head - 4)[0] + head - 4
            if len(self.held) < size:
                return found
            kind = b"start" if self.begins else bytes(self.held[:1])
            found.append((kind, bytes(self.held[head:size])))
            del self.held[:size]
            self.begins = False


def comment(sql):
    """The names and values in a statement's comment."""
    text = sql[sql.rindex(b"/*") + 3 : sql.rindex(b" */")].decode()
    return dict(pair.split("=", 1) for pair in text.split(","))


def select(ident, operation, limit, uid="7f3a9c21"):
    return f"SELECT val FROM state WHERE uid = '{uid}' /* id={ident},c={operation},d={limit} */".encode()


def insert(ident, operation, limit, key=None, value="9f03", uid="7f3a9c21"):
    mark = f",k={key}" if key else ""
    return (
        f"INSERT INTO state (uid, val) VALUES ('{uid}', '\\x{value}') RETURNING val"
        f" /* id={ident},c={operation},d={limit}{mark} */"
    ).encode()


# ---- servers ----


class Delayed:
    """Calls in the order in which they were given, each `span` ms later."""

    def __init__(self, span):
        self.span, self.calls = span / 1000, deque()

    def call(self, function, *arguments):
        if not self.span:
            return function(*arguments)
        self.calls.append((function, arguments))
        asyncio.get_running_loop().call_later(self.span, self.next)

    def next(self):
        function, arguments = self.calls.popleft()
        function(*arguments)


class ServerConnection(asyncio.Protocol):
    """One connection to a server; it carries one request at a time. `way` is the one-way delay in ms."""

    def __init__(self, server):
        self.server = server
        self.messages = Messages(True)
        self.inward, self.outward = Delayed(server.way), Delayed(server.way)
        self.requests = 0  # requests that have come so far
        self.open = True

    def connection_made(self, transport):
        self.transport = transport
        self.server.connections.add(self)

    def connection_lost(self, reason):
        self.open = False
        self.server.connections.discard(self)

    def data_received(self, data):
        self.inward.call(self.arrived, data)

    def arrived(self, data):
        for kind, body in self.messages.feed(data):
            if kind == b"start":
                self.send(WELCOME)
            elif kind == b"Q":
                self.requests += 1
                self.server.query(self, body[:-1])

    def send(self, data):
        self.outward.call(self.write, data)

    def write(self, data):
        if self.open and not self.transport.is_closing():
            self.transport.write(data)


class Server:
    """A server of one build. `answer(connection, sql, comment)` is the case's: a coroutine that sends.

    `runs` holds (time, id, class, told time limit) for each statement whose last byte has come."""

    def __init__(self, name, zone, build, answer, record, way=0.0):
        self.name, self.zone, self.build, self.answer = name, zone, build, answer
        self.record, self.way = record, way
        self.runs, self.connections, self.tasks = [], set(), set()
        self.health = "up"

    async def start(self):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerConnection(self), LOOPBACK, 0)
        self.at = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    def query(self, connection, sql):
        told = comment(sql)
        self.runs.append((now(), told["id"], told["c"], float(told["d"])))
        self.record.line("run", self.name, f"build={self.build}", f"id={told['id']}", told["c"], told["d"])
        task = asyncio.ensure_future(self.answer(connection, sql, told))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def entry(self):
        return {
            "host": self.name,
            "dial": self.at,
            "site": self.zone,
            "class": "std-2core",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": 0,
            "revision_no": self.build,
        }


# ---- discovery and the release API ----


async def read_call(reader):
    """(method, path, body) of one HTTP call, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode().split("\r\n")
    method, path, _ = lines[0].split(" ")
    names = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(names.get("content-length", 0)))
    return method, path, body


def http_answer(body, status="200 OK"):
    return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (status.encode(), len(body), body)


class Discovery:
    """Gives the list of servers and tells changes to open watches."""

    def __init__(self, servers):
        self.servers, self.version, self.changed = servers, 1, asyncio.Event()
        self.history = {}  # version -> names that changed with it

    def listing(self, names=None):
        hosts = [s.entry() for s in self.servers if names is None or s.name in names]
        return {"seq": self.version, "whole": names is None, "hosts": hosts}

    def change(self, names):
        self.version += 1
        self.history[self.version] = set(names)
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.at = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while call := await read_call(reader):
                query = dict(p.split("=") for p in call[1].partition("?")[2].split("&") if p)
                since = int(query.get("since", -1))
                if since == self.version:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), float(query["timeout_ms"]) / 1000)
                if since < 0:
                    listing = self.listing()
                else:
                    listing = self.listing(
                        set().union(*(self.history.get(v, set()) for v in self.newer(since)))
                    )
                writer.write(http_answer(json.dumps(listing).encode()))
                await writer.drain()
        writer.close()

    def newer(self, since):
        return range(since + 1, self.version + 1)


class ReleaseApi:
    """Holds the state of the newest build, takes votes and tells news; the case may replace `on_vote`.

    `late_answers` is the time in ms from the write of a vote's answer to its arrival at the proxy."""

    def __init__(self, record, build, stage, phase, cap, repeat=6000.0):
        self.record, self.repeat = record, repeat
        self.late_answers = 0.0
        self.streams, self.told = [], []
        self.set(build, stage, phase, cap, now() - 60000.0)
        self.on_vote = lambda form: None

    def set(self, build, stage, phase, cap, since=None):
        self.state = build, stage, phase, cap
        self.since = now() if since is None else since

    def fields(self):
        build, stage, phase, cap = self.state
        age = f"{now() - self.since:.0f}"
        return {"build": build, "stage": stage, "phase": phase, "cap": cap, "age_ms": age}

    def news(self):
        """The state as the configuration holds it."""
        build, stage, phase, cap = self.state
        return {"build": build, "stage": stage, "phase": phase, "cap": cap, "age_ms": now() - self.since}

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.at = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    def notice(self):
        return "event: news\ndata: " + "&".join(f"{k}={v}" for k, v in self.fields().items()) + "\n\n"

    def tell(self):
        """Writes the present state on all streams."""
        for send in self.streams:
            send(self.notice())

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while call := await read_call(reader):
                if call[0] == "GET":
                    await self.stream(writer)
                    return
                form = dict(pair.split("=") for pair in call[2].decode().split("&"))
                self.record.line("vote", *(f"{k}={v}" for k, v in form.items()))
                self.on_vote(form)
                inner = "".join(f"<{k}>{v}</{k}>" for k, v in self.fields().items())
                body = f'<?xml version="1.0"?>\n<Response><groups><item>{inner}</item></groups></Response>'
                await asyncio.sleep(self.late_answers / 1000)
                self.record.line("vote answered", inner)
                writer.write(http_answer(body.encode()))
                await writer.drain()
        writer.close()

    async def stream(self, writer):
        def send(text):
            if writer.is_closing():
                return
            if text != ":\n":
                # From here on the news counts as told: it is written to the proxy.
                self.told.append(
                    (now(), dict(p.split("=") for p in text.split("data: ")[1].strip().split("&")))
                )
                self.record.line("news written", text.split("data: ")[1].strip())
            writer.write(b"%x\r\n%s\r\n" % (len(text), text.encode()))

        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        self.streams.append(send)
        send(self.notice())
        seconds = 0
        try:
            while not writer.is_closing():
                await asyncio.sleep(1)
                send(":\n")
                seconds += 1
                if seconds * 1000 >= self.repeat:
                    seconds = 0
                    self.tell()
        finally:
            self.streams.remove(send)
            writer.close()


# ---- clients ----


class Client(asyncio.Protocol):
    """One connection to the proxy. Answers come in the order of the commands, as (time, value or code)."""

    def __init__(self):
        self.messages, self.waiting, self.open = Messages(False), deque(), True
        self.value = None

    @classmethod
    async def connect(cls, at):
        host, port = at.split(":")
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(cls, host, int(port))
        await client.ask(startup())
        return client

    def connection_made(self, transport):
        self.transport = transport

    def connection_lost(self, reason):
        self.open = False
        while self.waiting:
            self.settle((now(), "closed", b""))

    def settle(self, answer):
        future = self.waiting.popleft()
        if not future.done():
            future.set_result(answer)

    def data_received(self, data):
        for kind, body in self.messages.feed(data):
            if kind == b"D":
                self.value = (now(), "served", body[6:])
            elif kind == b"E":
                codes = {part[:1]: part[1:] for part in body.split(b"\0") if part}
                self.value = (now(), codes[b"C"].decode(), b"")
                if codes[b"S"] == b"FATAL" and self.waiting:
                    self.settle(self.value)
            elif kind == b"Z" and self.waiting:
                self.settle(self.value or (now(), "empty", b""))
                self.value = None

    def ask(self, data):
        """Writes bytes that get one answer; the future of that answer."""
        future = asyncio.get_running_loop().create_future()
        if not self.open:
            future.set_result((now(), "closed", b""))
            return future
        self.waiting.append(future)
        self.transport.write(data)
        return future

    def query(self, sql):
        return self.ask(message(b"Q", sql + b"\0"))

    def close(self):
        self.transport.close()


class Front:
    """Hands out connections to clients: idle ones are used again, more are opened when all are busy."""

    def __init__(self, at, record, most=300):
        self.at, self.record, self.most, self.idle, self.size = at, record, most, [], 0
        self.asked = []  # (time sent, id, class, limit, answer) of each request

    async def request(self, ident, operation, limit, sql):
        client = None
        while self.idle and not client:
            client = self.idle.pop()
            if not client.open:
                client, self.size = None, self.size - 1
        if not client:
            if self.size >= self.most:
                return
            self.size += 1
            try:
                client = await Client.connect(self.at)
            except OSError:
                self.size -= 1
                self.asked.append((now(), ident, operation, limit, (now(), "unreachable", b"")))
                return
        sent = now()
        self.record.line("ask", f"id={ident}", operation, limit)
        try:
            answer = await asyncio.wait_for(asyncio.shield(client.query(sql)), limit / 1000 + 1.0)
        except TimeoutError:
            answer = now(), "none", b""
            client.close()
            self.size -= 1
        else:
            self.idle.append(client)
        self.asked.append((sent, ident, operation, limit, answer))
        self.record.line("answered", f"id={ident}", answer[1], answer[2].decode("latin-1")[:80])


# ---- the proxy ----


class Proxy:
    """One proxy, started by the run line of the deploy file with its own configuration file."""

    def __init__(self, folder, settings, discovery, api, sockets=1024, memory_mb=192):
        self.folder, self.log_path = folder, os.path.join(folder, "proxy.log")
        with contextlib.closing(socket.socket()) as probe:
            probe.bind((LOOPBACK, 0))
            self.at = "%s:%d" % probe.getsockname()
        self.told = {
            "name": "n0",
            "listen": self.at,
            "discovery": discovery.at,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "peers": [],
            "release_api": {"address": api.at, "news": api.news()},
            "known": discovery.listing(),
            "settings": settings,
        }
        self.path = os.path.join(folder, "config.json")
        pathlib.Path(self.path).write_text(json.dumps(self.told))

    async def start(self):
        line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")} | {
            "EDGE_NAME": "n0",
            "EDGE_LISTEN": self.at,
            "EDGE_DISCOVERY": self.told["discovery"],
            "EDGE_CONFIG": self.path,
            "TMPDIR": self.folder,
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with open(self.log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", line, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        end = now() + 20000
        while b'"serving"' not in pathlib.Path(self.log_path).read_bytes():
            if self.process.returncode is not None or now() > end:
                raise CouldNotRun(
                    "the proxy did not start: " + pathlib.Path(self.log_path).read_text()[-500:]
                )
            await asyncio.sleep(0.02)
        # The front admits a proxy once it has answered an empty query.
        client = await Client.connect(self.at)
        await asyncio.wait_for(client.query(b""), 5)
        client.close()

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


def settings(**more):
    """Settings of a small deployment, in the form and units of the platform's settings."""
    told = {
        "balancers": 3,
        "me": 0,
        "myZone": 0,
        "localities": ["a", "b", "c"],
        "models": ["std-2core"],
        "tickMs": 5.0,
        "membershipMode": "automatic",
        "ceilings": {
            "cancel": True,
            "connectTimeoutMs": 250.0,
            "idleCloseMs": 30000.0,
            "mayDuplicate": True,
            "mayTell": False,
            "mostHeld": 20000,
            "probing": False,
            "retryAfter": False,
            "maxRetryAfterMs": 1000.0,
            "sendCap": 3,
        },
        "classes": [
            {
                "name": "read",
                "semantics": "retryable",
                "aimMs": 1200.0,
                "giveUpMs": 3000.0,
                "worth": 1.0,
                "lateWorth": 0.2,
            },
            {
                "name": "order",
                "semantics": "dedup",
                "group": "all",
                "dedupWindowMs": 2500.0,
                "aimMs": 1000.0,
                "giveUpMs": 2500.0,
                "worth": 5.0,
                "lateWorth": 0.2,
            },
            {
                "name": "debit",
                "semantics": "fragile",
                "aimMs": 1000.0,
                "giveUpMs": 3000.0,
                "worth": 2.0,
                "lateWorth": 0.2,
            },
        ],
        "familyInfo": {
            "answerWaitMs": 1200.0,
            "backVotes": 1,
            "toAdvance": 1,
            "counts": "each_class",
            "decidedBy": "first_voice",
            "exposureWindowMs": 2000.0,
            "guardedStages": 1,
            "stageCap": [0.06, 0.24, 0.8, 1.0],
            "shares": [0.03, 0.12, 0.4, 1.0],
            "soakMs": 1500.0,
            "spareTries": 3.0,
            "voteTtlMs": 6000.0,
            "repeatEveryMs": 6000.0,
        },
        "rules": {
            "drainGraceMs": 2000.0,
            "coldShare": 0.3,
            "warmWithinMs": 4500.0,
            "fallMultiple": 3.0,
            "overloadForMs": 1000.0,
        },
        "report": {"fields": [], "how": "none"},
        "fees": {"crossZone": 0.12},
    }
    for name, value in more.items():
        told[name] = {**told[name], **value} if isinstance(value, dict) else value
    return told


def play(folder, case):
    """Runs `case(record, temporary folder)`, which returns the exit status, and exits with it."""
    record = Record(folder)
    status = COULD_NOT_RUN

    async def bounded(place):
        playing = asyncio.ensure_future(case(record, place))
        # The case ends what it started, also when it is itself told to end.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        return await asyncio.wait_for(playing, 110)

    try:
        with tempfile.TemporaryDirectory() as place:
            status = asyncio.run(bounded(place))
    except (CouldNotRun, OSError, TimeoutError, asyncio.CancelledError) as reason:
        print(f"could not run: {type(reason).__name__} {reason}")
    finally:
        record.close()
    sys.exit(status)
