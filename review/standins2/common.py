"""What the cases share: the proxy as a process, servers, clients, discovery and release API on loopback, and the record.

Everything here uses the standard library only. The stand-ins follow ../given/kit/more/node/PROTOCOL.md.
"""

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONG = struct.Struct("!I")
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CouldNotRunError(Exception):
    """The case could not be played: nothing is known about the rule."""


# ---- the record ----


class Record:
    """Lines of record.txt: what was sent, answered and run, with the ms since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        """ms since the start."""
        return (time.monotonic() - self.began) * 1000

    def write(self, *words):
        self.file.write(f"{self.now():9.1f} " + " ".join(str(word) for word in words) + "\n")

    def say(self, *words):
        """A line of the verdict, shown as well."""
        self.write("verdict:", *words)
        print(*words, flush=True)


# ---- the messages of PostgreSQL's protocol ----


def message(kind, body):
    return kind + LONG.pack(len(body) + 4) + body


READY = message(b"Z", b"I")
GREETING = message(b"R", b"\0\0\0\0") + message(b"S", b"server_version\x0016.0\0") + READY


def startup():
    body = LONG.pack(196608) + b"user\0client\0database\0core\0\0"
    return LONG.pack(len(body) + 4) + body


def row(value, tag):
    described = b"\0\1val\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 0)
    return (
        message(b"T", described)
        + message(b"D", b"\0\1" + LONG.pack(len(value)) + value)
        + message(b"C", tag + b"\0")
        + READY
    )


def error(code):
    return message(b"E", b"SERROR\0C" + code.encode() + b"\0Mas said\0\0") + READY


def value_of(ident):
    """The value that every server gives for the request of this id."""
    return b"value of " + ident.encode()


def comment(sql):
    """The names and values in a statement's comment."""
    words = sql[sql.index(b"/* ") + 3 : sql.rindex(b" */")].decode()
    return dict(pair.split("=", 1) for pair in words.split(","))


def select(ident, name, limit):
    return f"SELECT val FROM state WHERE uid = '{ident}' /* id={ident},c={name},d={limit} */".encode()


def insert(ident, name, limit, key=None):
    more = f",k={key}" if key else ""
    return (
        f"INSERT INTO state (uid, val) VALUES ('{ident}', '\\x9f03') RETURNING val "
        f"/* id={ident},c={name},d={limit}{more} */"
    ).encode()


async def read_message(reader):
    """(type, body) of the next message."""
    head = await reader.readexactly(5)
    return head[:1], await reader.readexactly(LONG.unpack(head[1:])[0] - 4)


async def read_startup(reader):
    size = LONG.unpack(await reader.readexactly(4))[0]
    await reader.readexactly(size - 4)


def no_delay(writer):
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


# ---- servers ----


class Server:
    """A sound server. `work()` gives the s that a request takes; `answer(self, fields, sql)` may word another answer.

    `ran` holds (time in ms, id, class) of every request that came whole."""

    def __init__(self, record, name, build=1, work=lambda: 0.03, site="a", latency=0.0):
        """`latency` is the way from proxy to server and from server to proxy, each, in s."""
        self.record, self.name, self.build, self.work, self.site = record, name, build, work, site
        self.latency = latency
        self.ran = []
        self.writers = set()
        self.health = "up"
        self.born_ms = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.at = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def listed(self, **more):
        return {
            "host": self.name,
            "dial": self.at,
            "site": self.site,
            "class": "m2",
            "block": 0,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
            "revision_no": self.build,
        } | more

    def answer(self, fields, sql):
        tag = b"SELECT 1" if sql.startswith(b"SELECT") else b"INSERT 0 1"
        return row(value_of(fields["id"]), tag)

    async def serve(self, reader, writer):
        no_delay(writer)
        self.writers.add(writer)
        try:
            await read_startup(reader)
            self.put(writer, GREETING)
            while True:
                kind, body = await read_message(reader)
                if kind != b"Q":
                    return
                if body == b"\0":
                    self.put(writer, message(b"I", b"") + READY)
                else:
                    await self.on_query(reader, writer, body[:-1])
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def put(self, writer, data):
        """Writes so that it arrives after the way's time."""
        if self.latency:
            asyncio.get_running_loop().call_later(self.latency, self.write, writer, data)
        else:
            self.write(writer, data)

    def write(self, writer, data):
        if not writer.is_closing():
            writer.write(data)

    async def on_query(self, reader, writer, sql):
        fields = comment(sql)
        self.ran.append((self.record.now(), fields["id"], fields["c"]))
        self.record.write("server", self.name, "begins", fields["id"], fields["c"], "d=" + fields["d"])
        await asyncio.sleep(self.work())
        self.put(writer, self.answer(fields, sql))


class Relay:
    """The way to a server: passes bytes on in their order, each `way` s late in either direction."""

    def __init__(self, at, way):
        self.to, self.way = at, way

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.at = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            there, here = await asyncio.open_connection(*address(self.to))
        except OSError:
            writer.close()
            return
        no_delay(writer)
        no_delay(here)
        await asyncio.gather(self.carry(reader, here), self.carry(there, writer))

    async def carry(self, reader, writer):
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(self.way, self.put, writer, data)
        except OSError:
            pass
        loop.call_later(self.way, writer.close)

    @staticmethod
    def put(writer, data):
        if not writer.is_closing():
            writer.write(data)


def address(at):
    host, _, port = at.rpartition(":")
    return host, int(port)


# ---- discovery and the release API ----


class Platform:
    """Discovery and the release API, at one address. `state` is the newest build's, with `since` in ms of the record."""

    def __init__(self, record, hosts, build=1, stage=0, phase="Healthy", cap=1.0):
        self.record = record
        self.version = 1
        self.hosts = {one["host"]: one for one in hosts}
        self.changed = {one["host"]: 1 for one in hosts}
        self.wake = asyncio.Event()
        self.streams = set()
        self.open = set()
        self.votes = []
        self.set_state(build, stage, phase, cap, age=5000.0)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.at = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    # the newest build

    def set_state(self, build, stage, phase, cap, age=0.0):
        self.state = {"build": build, "stage": stage, "phase": phase, "cap": cap}
        self.since = self.record.now() - age
        self.record.write("platform stands at", json.dumps(self.state))

    def news(self):
        return self.state | {"age_ms": round(self.record.now() - self.since, 3)}

    def tell(self):
        """Writes the state to every open stream of notices."""
        pairs = "&".join(f"{name}={value}" for name, value in self.news().items())
        self.record.write("platform tells", pairs, "streams", len(self.streams))
        self.put_all(f"event: news\ndata: {pairs}\n\n".encode())

    def put_all(self, text):
        for writer in list(self.streams):
            if not writer.is_closing():
                writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def on_vote(self, vote):
        return self.vote_answer()

    def vote_answer(self):
        items = "".join(f"<{name}>{value}</{name}>" for name, value in self.news().items())
        body = f'<?xml version="1.0"?>\n<Response><groups><item>{items}</item></groups></Response>'
        return self.http(body.encode(), b"text/xml")

    # discovery

    def change(self, *hosts):
        self.version += 1
        for one in hosts:
            self.hosts[one["host"]] = one
            self.changed[one["host"]] = self.version
        self.record.write("discovery lists", json.dumps(hosts))
        self.wake.set()
        self.wake = asyncio.Event()

    def listing(self, since=None):
        whole = since is None
        hosts = [
            one
            for name, one in self.hosts.items()
            if (one["health"] != "removed" if whole else self.changed[name] > since)
        ]
        return {"seq": self.version, "whole": whole, "hosts": hosts}

    @staticmethod
    def http(body, kind=b"application/json"):
        head = b"HTTP/1.1 200 OK\r\ncontent-type: %s\r\ncontent-length: %d\r\n\r\n" % (kind, len(body))
        return head + body

    async def serve(self, reader, writer):
        no_delay(writer)
        self.open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                path = head.split(" ")[1]
                sizes = [
                    x.split(":")[1] for x in head.lower().split("\r\n") if x.startswith("content-length")
                ]
                body = await reader.readexactly(int(sizes[0]) if sizes else 0)
                name, _, query = path.partition("?")
                if name == "/discovery/hosts":
                    writer.write(await self.watch(fields_of(query)))
                elif name == "/api/notices":
                    await self.notices(reader, writer)
                    return
                else:
                    vote = fields_of(body.decode())
                    self.votes.append((self.record.now(), vote))
                    self.record.write("platform gets vote", vote)
                    writer.write(await self.on_vote(vote))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def watch(self, query):
        since = int(query["since"]) if "since" in query else None
        if since is not None and since >= self.version:
            try:
                await asyncio.wait_for(self.wake.wait(), float(query.get("timeout_ms", 60000)) / 1000)
            except asyncio.TimeoutError:
                pass
        return self.http(json.dumps(self.listing(since)).encode())

    async def notices(self, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        )
        self.streams.add(writer)
        self.tell()
        try:
            while not writer.is_closing():
                try:
                    if not await asyncio.wait_for(reader.read(1), 1.0):
                        return
                except asyncio.TimeoutError:
                    writer.write(b"2\r\n:\n\r\n")
        finally:
            self.streams.discard(writer)


def fields_of(query):
    return dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)


# ---- the proxy ----


class Proxy:
    """One proxy process, started as the deploy file says."""

    def __init__(self, record, platform, settings, folder, name="n0", memory_mb=128, sockets=512):
        self.record, self.platform, self.settings, self.folder = record, platform, settings, folder
        self.name, self.limits = name, {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.at = "127.0.0.1:%d" % free_port()
        self.config = os.path.join(folder, f"{name}.json")
        self.log_path = os.path.join(folder, f"{name}.log")
        self.seed = 0x8C1F30D27A5BE964
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            self.run = tomllib.load(file)["run"]

    def write_configuration(self):
        self.seed += 1
        document = {
            "name": self.name,
            "listen": self.at,
            "discovery": self.platform.at,
            "seed": f"{self.seed:x}",
            "limits": self.limits,
            "peers": [],
            "release_api": {"address": self.platform.at, "news": self.platform.news()},
            "known": self.platform.listing(),
            "settings": self.settings,
        }
        self.record.write("configuration's news", json.dumps(document["release_api"]["news"]))
        with open(self.config, "w") as file:
            json.dump(document, file)

    async def start(self, limit=30.0):
        """Starts the process and waits until it is ready; returns False where it is not within `limit` s."""
        self.write_configuration()
        variables = os.environ | {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.at,
            "EDGE_DISCOVERY": self.platform.at,
            "EDGE_CONFIG": self.config,
            "TMPDIR": self.folder,
        }
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", self.run, cwd=ROOT, env=variables, stdout=log, stderr=log
            )
        self.record.write("proxy", self.name, "started")
        end = time.monotonic() + limit
        while time.monotonic() < end and self.process.returncode is None:
            if await self.is_ready():
                self.record.write("proxy", self.name, "ready")
                return True
            await asyncio.sleep(0.05)
        self.record.write("proxy", self.name, "not ready, exit status", self.process.returncode)
        return False

    async def is_ready(self):
        """Whether it answers an empty query, as the front asks before it sends clients."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address(self.at)), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(startup() + message(b"Q", b"\0"))
            while True:
                kind, _ = await asyncio.wait_for(read_message(reader), 1.0)
                if kind == b"I":
                    return True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.record.write("proxy", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def log_tail(self, lines=3):
        with open(self.log_path, errors="replace") as file:
            return file.read().splitlines()[-lines:]


def free_port():
    """A free port below those that the system gives to connections: none of them can take it during a restart."""
    for _ in range(1000):
        port = random.randrange(20000, 32000)
        try:
            with socket.socket() as one:
                one.bind(("127.0.0.1", port))
                return port
        except OSError:
            continue
    raise CouldNotRunError("no free port")


# ---- clients ----


class Client:
    """One usual client: one request after another on a connection that it keeps.

    `ask()` returns ("served", value), ("refused", code), ("failed", code), ("closed", None) where the proxy ended the
    connection with no answer, or ("silent", None)."""

    def __init__(self, record, at):
        self.record, self.at = record, at
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*address(self.at))
        no_delay(self.writer)
        self.writer.write(startup())

    async def ask(self, sql, limit):
        """`limit` in ms. A request that crosses the close of a kept connection is sent once more, on a new one."""
        ident = comment(sql)["id"]
        for kept in (self.writer is not None, False):
            self.record.write("client sends", ident, comment(sql)["c"])
            try:
                if self.writer is None:
                    await self.connect()
                self.writer.write(message(b"Q", sql + b"\0"))
                outcome = await asyncio.wait_for(self.answer(), limit / 1000 + 0.6)
            except asyncio.TimeoutError:
                self.drop()
                outcome = "silent", None
            except (OSError, asyncio.IncompleteReadError):
                self.drop()
                outcome = "closed", None
                if kept:
                    continue
            break
        self.record.write("client is answered", ident, *outcome)
        return outcome

    async def answer(self):
        value = code = None
        while True:
            kind, body = await read_message(self.reader)
            if kind == b"D":
                value = body[6:]
            elif kind == b"E":
                fields = {part[:1]: part[1:] for part in body.split(b"\0") if part}
                code = fields[b"C"].decode()
                if fields.get(b"S") == b"FATAL":
                    self.drop()
                    return ("refused" if code in ("53300", "57P03") else "failed"), code
            elif kind == b"Z" and (value is not None or code):
                if code:
                    return ("refused" if code in ("53300", "57P03") else "failed"), code
                return "served", value

    def drop(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


# ---- settings of a small deployment ----


def settings(**more):
    """Settings in the form and near the figures of the small deployments of our users' pages."""
    told = {
        "balancers": 3,
        "me": 0,
        "myZone": 0,
        "localities": ["a"],
        "models": ["m2"],
        "tickMs": 5.0,
        "membershipMode": "automatic",
        "ceilings": {
            "cancel": True,
            "connectTimeoutMs": 250.0,
            "idleCloseMs": 30000.0,
            "mayDuplicate": True,
            "mayTell": False,
            "mostHeld": 2000,
            "retryAfter": False,
            "maxRetryAfterMs": 1000.0,
            "sendCap": 3,
        },
        "classes": [
            one_class("catalogue-read", "retryable", 1200.0, 3000.0, 1.0),
            one_class("order-place", "dedup", 1000.0, 2500.0, 5.0, dedupWindowMs=2500.0, group="all"),
            one_class("account-debit", "fragile", 1000.0, 3000.0, 2.0),
        ],
        "familyInfo": {
            "answerWaitMs": 1200.0,
            "backVotes": 1,
            "counts": "all",
            "decidedBy": "first_voice",
            "exposureWindowMs": 2000.0,
            "guardedStages": 0,
            "metricsPeriodMs": 0.0,
            "noReturn": False,
            "repeatEveryMs": 6000.0,
            "shares": [0.08, 0.25, 0.6, 1.0],
            "soakMs": 1500.0,
            "spareTries": 2.0,
            "stageCap": [0.08 * 1.4, 0.25 * 1.4, 0.6 * 1.4, 1.0],
            "toAdvance": 1,
            "toPause": 0,
            "voteAllowance": 250.0,
            "voteTtlMs": 6000.0,
        },
        "realms": [],
        "report": {"fields": [], "how": "none"},
        "fees": {},
        "rules": {
            "askWithinMs": 10000.0,
            "coldShare": 0.3,
            "drainGraceMs": 2000.0,
            "fallMultiple": 3.0,
            "graceToAnswerMs": 20.0,
            "overloadForMs": 1000.0,
            "warmWithinMs": 4500.0,
        },
        "serviceType": "rollout",
        "tier": 0,
        "tiers": ["order-api"],
        "weights": "none",
        "worthBy": "request",
    }
    return told | more


def one_class(name, semantics, aim, limit, worth, **more):
    return {
        "name": name,
        "semantics": semantics,
        "aimMs": aim,
        "giveUpMs": limit,
        "worth": worth,
        "lateWorth": 0.2,
        "stream": False,
        "group": "all",
        "dedupWindowMs": 5000.0,
    } | more


# ---- running a case ----


def play(case, folder, limit=110.0):
    """Runs `case(record, temporary folder)`, which returns BROKEN or HELD, and exits with that."""
    record = Record(folder)
    record.write("trouble" if TROUBLE else "no trouble")
    status = NOT_RUN
    started = []
    try:
        with tempfile.TemporaryDirectory() as place:
            status = asyncio.run(bounded(case, record, place, started, limit))
    except CouldNotRunError as why:
        record.say("could not run:", why)
    except Exception as why:
        record.say("could not run:", type(why).__name__, why)
    record.say("exit", status)
    record.file.close()
    sys.stdout.flush()
    os._exit(status)  # connections that are still open are not worth an orderly end


async def bounded(case, record, place, started, limit):
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(case(record, place, started), limit)
    except asyncio.TimeoutError:
        raise CouldNotRunError(f"not over within {limit} s") from None
    except asyncio.CancelledError:
        raise CouldNotRunError("it was stopped") from None
    finally:
        for proxy in started:
            await proxy.end()
