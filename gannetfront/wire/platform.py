"""The platform's words without I/O: the release API's forms, XML and event stream, and discovery's JSON.

Everything is read whole and checked, or BadAnswer is raised and nothing of it holds.
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
MOST_FIELDS = 32  # of a notice
LINE_LIMIT = 4096  # bytes of a line of the event stream
NEWS, COUNTS = "news", "counts"  # names of events
MOST_BUILD = 65535
MOST_STAGE = 1000
LONGEST_TIME = 1e15  # ms
LEAST_WEIGHT, MOST_WEIGHT = 1e-9, 1e9  # of a server; weights are divided by one another
JSON_VALUE_BYTES = 64  # of a decoded value or container, on average at most


def integer(value, what):
    """Any whole number; raises BadAnswer."""
    try:
        return numbers.whole_number(value)
    except ValueError as error:
        raise BadAnswer(f"{what} is {error}") from None


def whole_number(value, what, most=None):
    """A whole number from 0 to `most`, without a limit where it is None; raises BadAnswer."""
    whole = integer(value, what)
    if whole < 0 or (most is not None and whole > most):
        raise BadAnswer(f"{what} is out of range: {str(value)[:40]!r}")
    return whole


def fraction(value, what):
    """A number from 0 to 1; raises BadAnswer."""
    share = number(value, what)
    if not 0 <= share <= 1:
        raise BadAnswer(f"{what} is out of range: {str(value)[:40]!r}")
    return share


def duration(value, what):
    """A time span in ms from 0 to LONGEST_TIME, the nearest end where it is outside; raises BadAnswer."""
    return min(max(number(value, what), 0.0), LONGEST_TIME)


def number(value, what):
    """Any finite number; raises BadAnswer."""
    try:
        return numbers.number(value)
    except ValueError as error:
        raise BadAnswer(f"{what} is {error}") from None


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


def state(fields):
    """(stage, age in ms, cap, build, phase) of the newest build, from names and texts or numbers.

    Raises UnreadableState."""
    readers = {
        "stage": lambda value: whole_number(value, "stage", MOST_STAGE),
        "age_ms": lambda value: duration(value, "age_ms"),
        "cap": lambda value: fraction(value, "cap"),
        "build": lambda value: whole_number(value, "build", MOST_BUILD),
        "phase": phase_index,
    }
    read, reasons = {}, []
    for name, reader in readers.items():
        try:
            read[name] = reader(fields.get(name))
        except BadAnswer as error:
            reasons.append(str(error))
    if reasons:
        partial = PartialState(read.get("build"), read.get("phase"), read.get("cap"))
        raise UnreadableState("; ".join(reasons), partial)
    return tuple(read.values())


def phase_index(name):
    """The decisions' number of a phase; raises BadAnswer."""
    if name not in PHASES:
        raise BadAnswer(f"no phase: {str(name)[:40]!r}")
    return PHASES.index(name)


def counts(fields, operations):
    """The decisions' (dispatches, age, bad, mean time, operation, build); `operations` maps names to an index."""
    if fields.get("class") not in operations:
        raise BadAnswer(f"no class: {str(fields.get('class'))[:40]!r}")
    all_of, bad = whole_number(fields.get("count"), "count"), whole_number(fields.get("failed"), "failed")
    if bad > all_of:
        raise BadAnswer("more failed than were counted")
    # The mean of no attempts at all is no number everywhere: failures alone are read without it.
    mean_time = duration(fields.get("mean_ms"), "mean_ms") if bad < all_of else 0.0
    return (
        all_of,
        duration(fields.get("age_ms"), "age_ms"),
        bad,
        mean_time,
        operations[fields["class"]],
        whole_number(fields.get("build"), "build", MOST_BUILD),
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
        self.parser, self.line, self.event, self.data, self.told = (
            httptools.HttpResponseParser(self),
            b"",
            "",
            None,
            [],
        )
        self.unread, self.ended, self.good = 0, False, False

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
        if len(self.data) <= LINE_LIMIT and self.data.count("&") < MOST_FIELDS:
            # A plus stands for itself, as in 1e+16: no value has a space.
            literal = self.data.replace("+", "%2B")
            pairs = parse_qsl(literal, keep_blank_values=True, max_num_fields=MOST_FIELDS)
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
        self.zones, self.kinds = ({name: n for n, name in enumerate(names)} for names in (zones, kinds))

    def read(self, body):
        """(version, whole, [(entry for the decisions but its start, dial, born in Unix ms)]).

        Raises UnreadableEntries, or BadAnswer where no entry can be read."""
        try:
            document = numbers.decode_json(body)
        except (ValueError, RecursionError) as trouble:
            raise BadAnswer(f"no JSON: {str(trouble)[:100]}") from None
        return self.listing(document)

    def listing(self, told):
        """What read() returns, from the decoded JSON. Raises the same."""
        if (
            not isinstance(told, dict)
            or isinstance(told.get("seq"), str)
            or type(told.get("whole")) is not bool
        ):
            raise BadAnswer("a listing needs seq, a whole number, and whole, true or false")
        version = integer(told.get("seq"), "seq")
        hosts = told.get("hosts")
        if not isinstance(hosts, list):
            raise BadAnswer("hosts is no list")
        entries, names, reason = [], [], None
        for one in hosts:
            try:
                entries.append(self.entry(one))
            except BadAnswer as error:
                reason = reason or str(error)
                name = one.get("host") if isinstance(one, dict) else None
                names += [name] if isinstance(name, str) else []
        if reason and not entries:
            raise BadAnswer(reason)
        listing = version, told["whole"], entries
        if reason:
            raise UnreadableEntries(reason, listing, names)
        return listing

    def entry(self, one):
        """One entry of a listing, as read() gives it; raises BadAnswer."""
        if not isinstance(one, dict):
            raise BadAnswer("an entry is no object")
        get = one.get

        def among(name, words):
            return isinstance(get(name), str) and get(name) in words

        def told(name):
            return None if isinstance(get(name), str) else get(name)

        fits = (
            isinstance(get("host"), str) and 0 < len(get("host")) <= 256,
            isinstance(get("dial"), str) and re.fullmatch(r"[0-9.]{7,15}:[0-9]{1,5}", get("dial")),
            among("site", self.zones),
            among("class", self.kinds),
            among("health", STATES),
        )
        for name, fit in zip("host dial site class health".split(), fits):
            if not fit:
                raise BadAnswer(f"an entry's {name} cannot be {str(get(name))[:40]!r}")
        weight, start_time = (
            number(told("share"), "an entry's share"),
            number(told("born_ms"), "an entry's born_ms"),
        )
        if start_time < 0:
            raise BadAnswer(f"an entry's born_ms is out of range: {start_time}")
        return (
            (
                one["host"],
                self.zones[one["site"]],
                whole_number(told("revision_no"), "an entry's revision_no", MOST_BUILD),
                self.kinds[one["class"]],
                integer(told("block"), "an entry's block"),
                STATES[one["health"]],
                min(max(weight, LEAST_WEIGHT), MOST_WEIGHT),
            ),
            one["dial"],
            min(start_time, LONGEST_TIME),
        )
