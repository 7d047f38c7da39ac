"""PostgreSQL's protocol, version 3, without I/O: bytes in, messages out, both ways; and the one statement with its comment.

Clients' side: `ClientReader` gives what a client wrote, `statement` reads a query, the functions at the end word answers.
Nodes' side: the codec that proxy/rounds.py takes (`name_of`, `dispatch`, `Reply`) and `Greeting` for a new connection.
Every length is checked as soon as it is there, before anything behind it is kept.
"""

import re
from struct import Struct

from ..interface import ERROR, FULL, SUCCEEDED
from . import BadAnswer, numbers

VALUE_LIMIT = 65536  # bytes of a value
QUERY_LIMIT = 2 * VALUE_LIMIT + 4096  # a value stands in hexadecimal
START_LIMIT = 10000  # bytes of a startup message
SMALL_MESSAGE = 4096  # bytes; a connection always has room for one
LONG = Struct("!I")
VERSION, TLS, GSS, CANCEL = 196608, 80877103, 80877104, 80877102
TURNED_AWAY = (b"53300",)
LOAD_REPORT = b"server_load"  # the parameter in which a node reports its load
# What the platform calls the figures of a node's report.
REPORT = {
    b"inflight": "inflight",
    b"queue": "queue",
    b"util": "busy",
    b"latency_ms": "service_time",
    b"qps": "rate",
    b"eps": "fail_rate",
}


class BadMessage(Exception):
    """What a client wrote cannot be taken. After a `fatal` one nothing behind it can be read: the connection closes."""

    def __init__(self, code, why, fatal=False):
        super().__init__(why)
        self.code, self.why, self.fatal = code, why, fatal


# ---- what clients write ----


class ClientReader:
    """Splits what a client writes into messages: `feed(bytes)`, then `take()` until None.

    A message is ("plain",) a wish for encryption, which is not offered, ("start", parameters), ("query", sql), ("end",), or
    ("skipped",) for a query that was dropped unread, as there was no room for it.

    `held` are the bytes of messages that were not taken yet, `declared` the size of a large message of which only a part
    has come, else 0.
    """

    PARTS = {b"Q": QUERY_LIMIT, b"X": 4}
    EXTENDED = b"PBEDCSHFdcfp"

    def __init__(self, room_for=lambda size: True):
        """`room_for(size)` is asked once for each message of over SMALL_MESSAGE bytes, before its rest is kept."""
        self.room_for = room_for
        self.held = bytearray()
        self.started = False
        self.wishes = 0
        self.declared = 0
        self.to_skip = 0
        self.skipped = False

    @property
    def begun(self):
        """Whether a message has come in part."""
        return bool(self.held) or self.to_skip > 0

    @property
    def wanted(self):
        """How many bytes to read next: the rest of a large message, or what small ones may have."""
        if self.to_skip:
            return self.to_skip
        return max(1, self.declared - len(self.held)) if self.declared else SMALL_MESSAGE

    def feed(self, data):
        if self.to_skip:
            dropped = min(self.to_skip, len(data))
            self.to_skip -= dropped
            self.skipped = not self.to_skip
            data = data[dropped:]
        self.held += data

    def take(self):
        """The next whole message, or None. Raises BadMessage."""
        if self.skipped:
            self.skipped = False
            return ("skipped",)
        return self.message() if self.started else self.start()

    def close(self):
        """Drops what is held, and whoever was asked for room: it may refer back to the reader."""
        self.held.clear()
        self.room_for = None

    def skip(self):
        """Drops the large message that has come in part, and what is still to come of it."""
        self.to_skip = self.declared - len(self.held)
        self.held.clear()
        self.declared = 0

    def has_room(self, size):
        """Whether the message may be kept; asks for it when its size is first seen."""
        if size <= SMALL_MESSAGE or self.declared:
            return True
        self.declared = size
        if self.room_for(size):
            return True
        self.declared = 0
        return False

    def remove(self, size):
        """Takes a message of `size` bytes from the bytes held."""
        message = bytes(memoryview(self.held)[:size])
        del self.held[:size]
        self.declared = 0
        return message

    def start(self):
        if len(self.held) < 4:
            return None
        size = LONG.unpack_from(self.held)[0]
        if not 8 <= size <= START_LIMIT:
            raise BadMessage(b"08P01", f"a startup message cannot have {size} bytes", True)
        if len(self.held) < 8:
            return None
        code = LONG.unpack_from(self.held, 4)[0]
        if code in (TLS, GSS):
            self.wishes += 1
            if size != 8 or self.wishes > 2:
                raise BadMessage(b"08P01", "encryption is not offered", True)
            del self.held[:8]
            return ("plain",)
        if code == CANCEL:
            raise BadMessage(b"0A000", "cancel requests are not served", True)
        if code >> 16 != 3:
            raise BadMessage(b"0A000", f"protocol {code >> 16}.{code & 0xFFFF} is not served, only 3.0", True)
        if not self.has_room(size):
            raise BadMessage(b"53300", "no room for a startup message of this size now", True)
        if len(self.held) < size:
            return None
        body = self.remove(size)[8:]
        words = body[:-1].split(b"\0") if body[-1:] == b"\0" else []
        if len(words) % 2 != 1 or words[-1] or not all(words[:-1:2]) or b"user" not in words[:-1:2]:
            raise BadMessage(b"08P01", "the startup message is no list of names and values with a user", True)
        self.started = True
        return "start", dict(zip(words[:-1:2], words[1::2]))

    def message(self):
        if not self.held:
            return None
        kind = bytes(self.held[:1])
        if kind not in self.PARTS:
            if kind in self.EXTENDED:
                raise BadMessage(b"0A000", "only simple queries are served", True)
            raise BadMessage(b"08P01", f"no message has the type {kind[0]}", True)
        if len(self.held) < 5:
            return None
        size = LONG.unpack_from(self.held, 1)[0]
        if not 4 <= size <= self.PARTS[kind]:
            raise BadMessage(b"08P01", f"a message {kind.decode()} cannot have {size} bytes", True)
        if len(self.held) <= size:
            if not self.has_room(size + 1):
                self.declared = size + 1
                self.skip()
            return None
        message = self.remove(size + 1)
        if kind == b"X":
            return ("end",)
        if message.find(b"\0", 5) != len(message) - 1:
            raise BadMessage(b"08P01", "a query does not end with its one zero byte", True)
        return "query", message[5:-1]


STATEMENT = re.compile(
    rb"(?:SELECT val FROM state WHERE uid = '([0-9a-f]{1,64})'"
    rb"|INSERT INTO state \(uid, val\) VALUES \('([0-9a-f]{1,64})', '\\x([0-9a-f]*)'\) RETURNING val)"
    rb" /\* ([ -)+-.0-~]{1,512}) \*/"
)
WORDS = {
    b"id": re.compile(rb"[0-9a-f]{1,32}"),
    b"c": re.compile(rb"[^ ]{1,64}"),
    b"k": re.compile(rb"[0-9a-f]{1,64}"),
    b"d": re.compile(rb"[0-9.+][0-9.eE+-]{0,499}"),
    b"r": re.compile(rb"1"),
}


def statement(sql, operations):
    """(operation, uid, id, time left in ms, repeat, content for dispatches). `operations` maps names in bytes to (index,
    fingerprinted). Raises BadMessage, which names what is wrong."""
    found = STATEMENT.fullmatch(sql)
    # Pairs of digits are not left to the expression: a repeated group takes 50 times their size in memory.
    if not found or len(found.group(3) or b"") % 2:
        raise BadMessage(b"42601", "not a statement that is served here, with its comment")
    if found.group(3) is not None and len(found.group(3)) > 2 * VALUE_LIMIT:
        raise BadMessage(b"54000", f"a value of over {VALUE_LIMIT} bytes")
    told = {}
    for pair in found.group(4).split(b","):
        name, equals, value = pair.partition(b"=")
        if name not in WORDS or not equals:
            raise BadMessage(
                b"42601", f"the comment's '{pair[:40].decode('latin-1')}' is no name and value known here"
            )
        if name in told:
            raise BadMessage(b"42601", f"the comment's {name.decode()} stands twice")
        if not WORDS[name].fullmatch(value):
            raise BadMessage(
                b"22023", f"the comment's {name.decode()} cannot be '{value[:40].decode('latin-1')}'"
            )
        told[name] = value
    for name in (b"id", b"c", b"d"):
        if name not in told:
            raise BadMessage(b"22023", f"the comment has no {name.decode()}")
    if told[b"c"] not in operations:
        raise BadMessage(b"22023", f"there is no class '{told[b'c'].decode('latin-1')}'")
    op, fingerprinted = operations[told[b"c"]]
    if fingerprinted != (b"k" in told):
        raise BadMessage(
            b"22023", "the class needs k in its comment" if fingerprinted else "the class has no k"
        )
    try:
        left = numbers.number(told[b"d"].decode())
    except ValueError:
        raise BadMessage(b"22023", f"the comment's d cannot be '{told[b'd'][:40].decode()}'") from None
    if left <= 0:
        raise BadMessage(b"22023", "the comment's d must be above 0")
    # d alone changes on the way to a node: the rest goes on byte for byte.
    at = found.start(4)
    while not sql.startswith(b"d=", at):
        at = sql.index(b",", at) + 1
    content = sql[: at + 2], sql[at + 2 + len(told[b"d"]) :], told[b"id"]
    return op, (found.group(1) or found.group(2)).decode(), told[b"id"], left, b"r" in told, content


# ---- to nodes and back ----


def startup(user, database):
    body = LONG.pack(VERSION) + b"user\0%s\0database\0%s\0\0" % (user, database)
    return LONG.pack(len(body) + 4) + body


def name_of(content):
    return content[2].decode()


def dispatch(content, addr, name, seq, limit):
    """The statement as its client wrote it but for the time that this dispatch will wait."""
    before, after, _ = content
    return message(b"Q", b"%s%d%s\0" % (before, max(1, int(limit)), after))


class NodeReader:
    """Splits what a node writes; `wanted` is how many bytes the message lacks that has come in part.

    A type or a length that has no place there raises BadAnswer at once, so that a value said to have 3 GB is met at its
    first bytes."""

    SIZES = {
        b"R": (8, 512),
        b"S": (6, 2048),
        b"K": (12, 264),
        b"N": (5, 8192),
        b"E": (5, 8192),
        b"Z": (5, 5),
        b"T": (6, 512),
        b"D": (10, VALUE_LIMIT + 10),
        b"C": (5, 128),
    }

    def __init__(self, limit=1 << 18):
        self.held, self.limit, self.seen, self.code, self.load_report = bytearray(), limit, 0, None, b""
        self.wanted = 0

    def feed(self, data):
        self.seen += len(data)
        if self.seen > self.limit:
            raise BadAnswer(f"past {self.limit} bytes")
        self.held += data
        self.wanted = 0
        at, held = 0, self.held
        while len(held) > at:
            kind = bytes(held[at : at + 1])
            if kind not in self.SIZES:
                raise BadAnswer(f"no message has the type {kind[0]}")
            if len(held) < at + 5:
                break
            size, (least, most) = LONG.unpack_from(held, at + 1)[0], self.SIZES[kind]
            if not least <= size <= most:
                raise BadAnswer(f"a message {kind.decode()} of {size} bytes")
            if len(held) <= at + size:
                self.wanted = at + size + 1 - len(held)
                break
            self.on(kind, bytes(held[at + 5 : at + size + 1]), bytes(held[at : at + size + 1]))
            at += size + 1
        del held[:at]

    def parameter(self, body):
        words = body.split(b"\0")
        if len(words) != 3 or words[2]:
            raise BadAnswer("a parameter that is no name and value")
        if words[0] == LOAD_REPORT:
            self.load_report = words[1]

    def error(self, body):
        """The code of an ErrorResponse, every field of which must be there whole."""
        fields, at = {}, 0
        while body[at : at + 1] not in (b"", b"\0"):
            end = body.find(b"\0", at + 1)
            if end < 0:
                raise BadAnswer("an error that does not end")
            fields[body[at : at + 1]] = body[at + 1 : end]
            at = end + 1
        if body[at:] != b"\0" or not re.fullmatch(rb"[0-9A-Z]{5}", fields.get(b"C", b"")):
            raise BadAnswer("an error without its code")
        return fields[b"C"]


class Greeting(NodeReader):
    """A new connection until the node waits for a query (`ready`); `code` is an error's that came in its place."""

    ready = False

    def on(self, kind, body, raw):
        if self.ready:
            raise BadAnswer("more than a greeting")
        if kind == b"R":
            if body != b"\0\0\0\0":
                raise BadAnswer("the node asks for a password")
        elif kind == b"S":
            self.parameter(body)
        elif kind == b"E":
            self.code = self.error(body)
        elif kind == b"Z":
            if body != b"I":
                raise BadAnswer("not idle at the start")
            self.ready = True
        elif kind not in (b"K", b"N"):
            raise BadAnswer(f"{kind.decode()} in a greeting")


class Reply(NodeReader):
    """A node's answer to one statement. `whole` once its row and CommandComplete, or its error, are there and well formed;
    `reusable` only after ReadyForQuery with nothing behind it."""

    begins_whole = True  # a node starts a query once its last byte has come
    NAMED = re.compile(rb"val\0.{16}\0[\0\1]", re.S)
    DONE = re.compile(rb"(?:SELECT 1|INSERT 0 1)\0")

    def __init__(self, limit):
        super().__init__(limit)
        self.parts, self.whole, self.idle, self.extra = [], False, False, False

    def feed(self, data):
        try:
            super().feed(data)
        except BadAnswer:
            if not self.whole:
                raise
            self.extra = True  # the answer was good: what came behind it is nobody's

    def on(self, kind, body, raw):
        if kind == b"S":
            return self.parameter(body)
        if kind == b"N":
            return None
        if kind == b"Z":
            if not self.whole or self.idle:
                raise BadAnswer("ready before an answer")
            self.idle, self.extra = True, self.extra or body != b"I"
        elif self.whole:
            raise BadAnswer("more than one answer")
        elif kind == b"E" and not self.parts:
            self.code, self.whole = self.error(body), True
        elif kind == b"T" and not self.parts:
            if body[:2] != b"\0\1" or not self.NAMED.fullmatch(body, 2):
                raise BadAnswer("not one column of the name asked for")
            self.parts.append(raw)
        elif kind == b"D" and len(self.parts) == 1:
            if body[:2] != b"\0\1" or LONG.unpack_from(body, 2)[0] != len(body) - 6:
                raise BadAnswer("a row whose lengths do not fit")
            self.parts.append(raw)
        elif kind == b"C" and len(self.parts) == 2:
            if not self.DONE.fullmatch(body):
                raise BadAnswer("not the end of one row")
            self.parts.append(raw)
            self.whole = True
        else:
            raise BadAnswer(f"{kind.decode()} has no place here")

    @property
    def reusable(self):
        return self.idle and not self.extra and not self.held

    def outcome(self):
        return SUCCEEDED if self.code is None else FULL if self.code in TURNED_AWAY else ERROR

    def content(self):
        return (b"".join(self.parts),)

    def load(self):
        """The node's report of its load, whole or not at all."""
        load = {}
        for part in filter(None, self.load_report.split(b",")):
            name, _, figure = part.partition(b"=")
            try:
                value = numbers.number(figure.decode("latin-1"))
            except ValueError:
                return {}
            if name not in REPORT or value < 0:
                return {}
            load[REPORT[name]] = value
        return load


# ---- what clients are answered ----


def message(kind, body):
    return kind + LONG.pack(len(body) + 4) + body


PLAIN = b"N"
READY = message(b"Z", b"I")
EMPTY = message(b"I", b"")
WELCOME = (
    message(b"R", b"\0\0\0\0")
    + b"".join(
        message(b"S", b"%s\0%s\0" % pair)
        for pair in (
            (b"server_version", b"16.0"),
            (b"server_encoding", b"UTF8"),
            (b"client_encoding", b"UTF8"),
            (b"DateStyle", b"ISO, MDY"),
            (b"TimeZone", b"UTC"),
            (b"integer_datetimes", b"on"),
            (b"standard_conforming_strings", b"on"),
        )
    )
    + READY
)


def error(code, why, fatal=False, retry_in=0.0):
    """An ErrorResponse; `retry_in` in ms is told in field D, as the platform asks."""
    level = b"FATAL" if fatal else b"ERROR"
    said = why.encode("latin-1", "replace").replace(b"\0", b"?")
    fields = [b"S" + level, b"V" + level, b"C" + code, b"M" + said] + (
        [b"D%d" % retry_in] if retry_in > 0 else []
    )
    return message(b"E", b"\0".join(fields) + b"\0\0")


def throttled(retry_in, why="throttled: trying again is harmless", fatal=False):
    return error(b"53300", why, fatal, retry_in)


def terminated(late):
    # Never 53300 or 57P03: those promise that a repeat is harmless.
    return error(b"57014" if late else b"58000", "terminated: it may or may not have been done")
