"""Codecs of the release API (forms, XML and an event stream) and of the discovery service (JSON). No I/O.

What cannot be read whole raises BadAnswer. Its subclasses UnreadableState and UnreadableEntries hold the part
that can be read, for callers that must not go on as if nothing had been told.
"""

import re
from typing import NamedTuple, Optional
from urllib.parse import parse_qsl, urlencode
from xml.etree import ElementTree

import httptools

from ..interface import DRAINING, ERROR, FULL, GONE, MOOT, READY, SUCCEEDED, TIMEOUT
from . import BadAnswer, numbers

PHASES = "Progressing", "Aborting", "Healthy", "Aborted"
VERDICTS = "abstain", "promote", "pause", "abort"
STATES = {"up": READY, "draining": DRAINING, "removed": GONE}
REFUSALS = {"limit": FULL, "moot": MOOT, "error": ERROR, "malformed": ERROR}
MAX_FIELDS = 32  # of a notice
LINE_LIMIT = 4096  # bytes of a line of the event stream
NEWS, COUNTS = "news", "counts"  # names of events
MAX_BUILD = 65535
MAX_STAGE = 1000
MAX_NAME_LENGTH = 256  # characters of a node's name
DIAL_ADDRESS = re.compile(r"[0-9.]{7,15}:[0-9]{1,5}")
LONGEST_TIME = 1e15  # ms
MIN_WEIGHT, MAX_WEIGHT = 1e-9, 1e9  # of a server; weights are divided by one another
JSON_VALUE_BYTES = 64  # of a decoded value or container, on average at most


# ---- fields: each reader takes a number or its decimal text, and raises ValueError ----


def whole_number(most=None):
    """A reader of whole numbers from 0 to `most`, without a limit where it is None."""

    def read(value):
        whole = numbers.whole_number(value)
        if whole < 0 or (most is not None and whole > most):
            raise ValueError(f"out of range: {str(value)[:40]!r}")
        return whole

    return read


def fraction(value):
    """A number from 0 to 1."""
    share = numbers.number(value)
    if not 0 <= share <= 1:
        raise ValueError(f"out of range: {str(value)[:40]!r}")
    return share


def duration(value):
    """A time span in ms from 0 to LONGEST_TIME, the nearest end where it is outside."""
    return min(max(numbers.number(value), 0.0), LONGEST_TIME)


def one_of(values):
    """A reader of texts that gives the value of each."""

    def read(name):
        if not isinstance(name, str) or name not in values:
            raise ValueError(f"unknown: {str(name)[:40]!r}")
        return values[name]

    return read


def read_fields(told, readers):
    """({name: value} of the fields that can be read, [reason for each of the others])."""
    values, reasons = {}, []
    for name, reader in readers.items():
        try:
            values[name] = reader(told.get(name))
        except ValueError as error:
            reasons.append(f"{name}: {error}")
    return values, reasons


# ---- the release API ----


class PartialState(NamedTuple):
    """What can be read of a state that cannot be read whole; None for each field that cannot be read."""

    build: Optional[int] = None
    phase: Optional[int] = None
    cap: Optional[float] = None


class UnreadableState(BadAnswer):
    """A state was told and cannot be read whole; `partial` is the PartialState."""

    def __init__(self, why, partial=PartialState()):
        super().__init__(why)
        self.partial = partial


STATE_READERS = {
    "stage": whole_number(MAX_STAGE),
    "age_ms": duration,
    "cap": fraction,
    "build": whole_number(MAX_BUILD),
    "phase": one_of({name: number for number, name in enumerate(PHASES)}),
}
COUNTS_READERS = {
    "count": whole_number(),
    "failed": whole_number(),
    "age_ms": duration,
    "build": whole_number(MAX_BUILD),
}


def state(fields):
    """(stage, age in ms, cap, build, phase) of the newest build, from names and texts or numbers.

    Raises UnreadableState."""
    values, reasons = read_fields(fields, STATE_READERS)
    if reasons:
        partial = PartialState(values.get("build"), values.get("phase"), values.get("cap"))
        raise UnreadableState("; ".join(reasons), partial)
    return tuple(values.values())


def counts(fields, operations):
    """The decisions' (dispatches, age, bad, mean time, operation, build); `operations` maps names to an index.

    Raises BadAnswer."""
    values, reasons = read_fields(fields, COUNTS_READERS | {"class": one_of(operations)})
    if not reasons and values["failed"] > values["count"]:
        reasons = ["failed: more than were counted"]
    mean_time = 0.0
    # The mean of no attempts at all is no number everywhere: failures alone are read without it.
    if not reasons and values["failed"] < values["count"]:
        means, reasons = read_fields(fields, {"mean_ms": duration})
        mean_time = means.get("mean_ms")
    if reasons:
        raise BadAnswer("; ".join(reasons))
    return (
        values["count"],
        values["age_ms"],
        values["failed"],
        mean_time,
        values["class"],
        values["build"],
    )


def vote(stage, build, verdict):
    """A vote's form."""
    return urlencode(
        {"Action": "CastVote", "build": build, "stage": stage, "verdict": VERDICTS[verdict]}
    ).encode()


def vote_answer(status, body):
    """(status, state or None) of a vote's answer. What cannot be read may have been carried out: a timeout."""
    try:
        if b"<!" in body:
            raise BadAnswer("a document type has no place here")
        try:
            tree = ElementTree.fromstring(body)
        except ElementTree.ParseError as trouble:
            raise BadAnswer(str(trouble)) from None
        if status == 200:
            items = tree.findall("./groups/item")
            if tree.tag != "Response" or len(items) != 1 or len({x.tag for x in items[0]}) != len(items[0]):
                raise BadAnswer("not one state")
            return SUCCEEDED, state({x.tag: x.text for x in items[0]})
        error = tree if tree.tag == "Error" else tree.find("./Error")
        code = error.findtext("./Code") if error is not None else None
        if (
            tree.tag not in ("Error", "Response")
            or code not in REFUSALS
            or status not in (400, 500)
            or (status == 500) != (code == "error")
        ):
            raise BadAnswer("no refusal known here")
        return REFUSALS[code], None
    except BadAnswer:
        return TIMEOUT, None


def news(told):
    """The state that the configuration holds, an object with JSON's numbers. Raises UnreadableState."""
    if not isinstance(told, dict):
        raise UnreadableState("news is no object")
    return state(told)


def holds_state(fields):
    """Whether a notice has fields that only a state has, whatever its name."""
    return not fields.keys().isdisjoint(("stage", "phase", "cap"))


class Notices:
    """The event stream. `feed(bytes)` gives what was told, [(event, {name: text})]. An event whose data cannot be
    read is counted in `unread` and told without fields. Raises BadAnswer where the stream itself cannot be read
    on."""

    def __init__(self):
        self.parser = httptools.HttpResponseParser(self)
        self.line = b""  # the last line, which has come in part
        self.event = ""
        self.data = None
        self.told = []
        self.unread = 0
        self.ended = False
        self.good = False  # the status is 200

    def feed(self, data):
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as trouble:
            raise BadAnswer(str(trouble)[:200]) from None
        if len(self.line) > LINE_LIMIT:
            raise BadAnswer("a line that does not end")
        told, self.told = self.told, []
        return told

    def on_headers_complete(self):
        self.good = self.parser.get_status_code() == 200

    def on_message_complete(self):
        self.ended = True

    def on_body(self, data):
        if not self.good:
            return
        *lines, self.line = (self.line + data).split(b"\n")
        for line in lines:
            self.on_line(line.rstrip(b"\r"))

    def on_line(self, line):
        if not line:
            if self.data is not None:
                self.end_notice()
            self.event, self.data = "", None
            return
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ").decode("latin-1")
        if name == b"event":
            self.event = value[:LINE_LIMIT]
        elif name == b"data":
            value = value if self.data is None else self.data + "\n" + value
            self.data = value[: LINE_LIMIT + 1]  # enough to show that it is too long

    def end_notice(self):
        """Adds the notice that has ended to those told, with no fields where its data cannot be read."""
        pairs = []
        # Data that was cut is not read at all: a number without its end is another number.
        if len(self.data) <= LINE_LIMIT and self.data.count("&") < MAX_FIELDS:
            # A plus stands for itself, as in 1e+16: no value has a space.
            literal = self.data.replace("+", "%2B")
            pairs = parse_qsl(literal, keep_blank_values=True, max_num_fields=MAX_FIELDS)
        fields = dict(pairs) if len(dict(pairs)) == len(pairs) else {}
        if not fields:
            self.unread += 1
        if self.data or self.event in (NEWS, COUNTS):
            self.told.append((self.event, fields))

    @property
    def begun(self):
        """Whether a notice has come in part."""
        line = self.line.strip()
        return bool(self.event) or self.data is not None or line[:1] not in (b"", b":")


# ---- discovery ----


def decoded_size(body):
    """The most bytes that decoding this JSON takes, at JSON_VALUE_BYTES for each value and name."""
    separators = sum(map(body.count, (b",", b":", b"[", b"{")))
    return len(body) + JSON_VALUE_BYTES * separators


class UnreadableEntries(BadAnswer):
    """A listing of which some entries cannot be read. `listing` is (version, whole, entries) of the others; `names`
    are those of the unreadable ones, as far as they can be read."""

    def __init__(self, why, listing, names):
        super().__init__(why)
        self.listing, self.names = listing, names


class Listing:
    """Reads discovery's answers by the names of zones and kinds that the settings have."""

    def __init__(self, zones, kinds):
        zone_numbers, kind_numbers = (
            {name: number for number, name in enumerate(names)} for names in (zones, kinds)
        )
        self.readers = {
            "host": node_name,
            "dial": dial_address,
            "site": one_of(zone_numbers),
            "class": one_of(kind_numbers),
            "block": json_only(numbers.whole_number),
            "health": one_of(STATES),
            "share": json_only(weight),
            "born_ms": json_only(start_time),
            "revision_no": json_only(whole_number(MAX_BUILD)),
        }

    def read(self, body):
        """(version, whole, [(entry for the decisions but its start, dial, born in Unix ms)]).

        Raises UnreadableEntries, or BadAnswer where the listing itself cannot be read."""
        try:
            document = numbers.decode_json(body)
        except (ValueError, RecursionError) as error:
            raise BadAnswer(f"no JSON: {str(error)[:100]}") from None
        return self.listing(document)

    def listing(self, document):
        """What read() returns, from the decoded JSON. Raises the same."""
        if not isinstance(document, dict):
            raise BadAnswer("a listing is no object")
        values, reasons = read_fields(document, LISTING_READERS)
        if reasons:
            raise BadAnswer("; ".join(reasons))
        entries, names, reasons = [], [], []
        for told in values["hosts"]:
            try:
                entries.append(self.entry(told))
            except BadAnswer as error:
                reasons.append(str(error))
                names += read_fields(told, {"host": node_name})[0].values() if isinstance(told, dict) else ()
        listing = values["seq"], values["whole"], entries
        if entries + names and reasons:
            raise UnreadableEntries(reasons[0], listing, names)
        if reasons:
            raise BadAnswer(reasons[0])
        return listing

    def entry(self, told):
        """One entry of a listing, as read() gives it; raises BadAnswer."""
        if not isinstance(told, dict):
            raise BadAnswer("an entry is no object")
        values, reasons = read_fields(told, self.readers)
        if reasons:
            raise BadAnswer("an entry's " + "; ".join(reasons))
        entry = tuple(
            values[name] for name in ("host", "site", "revision_no", "class", "block", "health", "share")
        )
        return entry, values["dial"], values["born_ms"]


def json_only(reader):
    """A reader that takes no decimal text in place of a number."""

    def read(value):
        if isinstance(value, str):
            raise ValueError(f"text in place of a number: {value[:40]!r}")
        return reader(value)

    return read


def instance_of(kind):
    """A reader of values of one type of JSON."""

    def read(value):
        if type(value) is not kind:
            raise ValueError(f"not of type {kind.__name__}: {str(value)[:40]!r}")
        return value

    return read


def node_name(value):
    """A node's name."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"no name: {str(value)[:40]!r}")
    return value


def dial_address(value):
    """The address at which a node listens."""
    if not isinstance(value, str) or not DIAL_ADDRESS.fullmatch(value):
        raise ValueError(f"no address: {str(value)[:40]!r}")
    return value


def weight(value):
    """A server's weight, within the range in which weights can be compared."""
    return min(max(numbers.number(value), MIN_WEIGHT), MAX_WEIGHT)


def start_time(value):
    """When a node last started, in Unix ms; 0 for long ago."""
    born = numbers.number(value)
    if born < 0:
        raise ValueError(f"out of range: {born}")
    return min(born, LONGEST_TIME)


LISTING_READERS = {
    "seq": json_only(numbers.whole_number),
    "whole": instance_of(bool),
    "hosts": instance_of(list),
}
