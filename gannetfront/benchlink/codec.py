"""Codec of the simulator's protocol (opal-1007): converts text lines to the events of interface.py, and
decisions back to lines. Also reads the settings that come with a start line."""

import json

from ..interface import (
    CANCELLED,
    DRAINING,
    ERROR,
    FINGERPRINTED,
    FULL,
    GONE,
    IDEMPOTENT,
    MOOT,
    READY,
    RESET,
    SIDE_EFFECTING,
    SUCCEEDED,
    TIMEOUT,
    UNCONNECTED,
    Deployment,
    Operation,
    Rollout,
)
from ..wire import numbers

STATUS = {
    "100": SUCCEEDED,
    "301": ERROR,
    "302": FULL,
    "303": TIMEOUT,
    "304": UNCONNECTED,
    "305": RESET,
    "306": CANCELLED,
    "307": MOOT,
}
EFFECT = {"retryable": IDEMPOTENT, "dedup": FINGERPRINTED, "fragile": SIDE_EFFECTING}
READINESS = {"Ready": READY, "Terminating": DRAINING, "Gone": GONE}
LIST_KIND = {"diff": "changes", "snapshot": "whole", "disk": "kept", "error": "failed"}
REPORT_FIELD = {
    "rif": "inflight",
    "q": "queue",
    "busy": "busy",
    "lat_ms": "service_time",
    "rate": "rate",
    "fail_rate": "fail_rate",
}

LARGEST_SETTING = 1e15  # in the setting's unit
LARGEST_INTEGER = 10**9


class BadLine(Exception):
    """A line cannot be read, or the round of a balancer failed; the message names which."""


def parse_number(text, default=0.0):
    """`default` stands for '-', the protocol's sign for an absent value; raises ValueError."""
    return default if text == "-" else float(text)


def parse_integer(text, default=0):
    """Like parse_number, for whole numbers in any spelling; the usual one is tried first, as it is quicker."""
    if text == "-":
        return default
    try:
        return int(text)
    except ValueError:
        return numbers.whole_number(text)


class BadSetting(ValueError):
    """A setting is missing or invalid; the message names it, what it must be and its value."""


class Section:
    """One object of the settings. Unknown fields are ignored; an invalid value raises BadSetting."""

    def __init__(self, values, path):
        """`path` ends with a dot; it precedes the field's name in error messages."""
        if not isinstance(values, dict):
            raise BadSetting(f"{path[:-1]}: must be an object, not {str(values)[:40]!r}")
        self.values, self.path = {name: value for name, value in values.items() if value is not None}, path

    def fail(self, name, requirement):
        actual = f"not {str(self.values[name])[:40]!r}" if name in self.values else "and is missing"
        raise BadSetting(f"{self.path}{name}: must be {requirement}, {actual}")

    def section(self, name):
        return Section(self.values.get(name, {}), f"{self.path}{name}.")

    def items(self, name):
        items = self.values.get(name, [])
        return items if isinstance(items, list) else self.fail(name, "a list")

    def sections(self, name):
        return [Section(item, f"{self.path}{name}[{n}].") for n, item in enumerate(self.items(name))]

    def number(self, name, default, largest=LARGEST_SETTING):
        """A number of 0 or more, at most `largest`, which also stands for all larger ones."""
        value = self.values.get(name, default)
        if type(value) not in (int, float) or not value >= 0:
            self.fail(name, "a number of 0 or more")
        return min(value, largest)

    def positive_number(self, name):
        """A required number above 0; other figures are divided by it."""
        return self.number(name, 0) or self.fail(name, "a number above 0")

    def fraction(self, name, default):
        """A number from 0 to 1."""
        value = self.number(name, default)
        return value if value <= 1 else self.fail(name, "a number from 0 to 1")

    def integer(self, name, default):
        """A whole number of 0 or more, at most LARGEST_INTEGER, which also stands for all larger ones."""
        value = self.number(name, default, LARGEST_INTEGER)
        return int(value) if value == int(value) else self.fail(name, "a whole number")

    def fractions(self, name):
        items = self.items(name) or [1.0]
        if any(type(item) not in (int, float) or not 0 <= item <= 1 for item in items):
            self.fail(name, "a list of numbers from 0 to 1")
        return tuple(items)


def parse_deployment(text):
    """The Deployment for settings as JSON text; raises BadSetting or json.JSONDecodeError."""
    return deployment_from_settings(json.loads(text))


def deployment_from_settings(settings):
    """The Deployment for settings as an object from any source; raises BadSetting."""
    root = Section(settings, "settings.")
    ceilings, rules, family, fees = (
        root.section(name) for name in ("ceilings", "rules", "familyInfo", "fees")
    )
    # An unknown value means the strictest behaviour: a side effect that must not repeat, one cell.
    operations = tuple(
        Operation(
            str(item.values.get("name", "")),
            EFFECT.get(item.values.get("semantics"), SIDE_EFFECTING),
            item.positive_number("aimMs"),
            item.positive_number("giveUpMs"),
            item.number("worth", 1.0),
            item.fraction("lateWorth", 0.0),
            item.number("dedupWindowMs", 0.0),
            item.values.get("group", "cell"),
        )
        for item in root.sections("classes")
    ) or root.fail("classes", "a list of at least one class")
    caps, machine_shares = family.fractions("stageCap"), family.fractions("shares")
    if len(caps) != len(machine_shares):
        family.fail("shares", f"as many as stageCap, {len(caps)}")
    rollout = Rollout(
        caps,
        machine_shares,
        family.number("soakMs", 0.0),
        family.number("exposureWindowMs", 0.0),
        family.number("spareTries", 0.0),
        family.values.get("counts") == "each_class",
        family.integer("guardedStages", 0),
        bool(family.values.get("noReturn")),
        family.integer("toAdvance", 0),
        family.integer("backVotes", 0),
        family.integer("toPause", 0),
        family.values.get("decidedBy") == "automatic",
        family.number("voteTtlMs", 0.0),
        family.number("answerWaitMs", 0.0),
        family.number("repeatEveryMs", 0.0),
        family.number("metricsPeriodMs", 0.0),
        family.fraction("sampledShare", 0.0),
        family.fraction("reportedShare", 0.0),
        family.number("lagFee", 0.0),
        family.number("harmPrice", 0.0),
    )
    return Deployment(
        max(1, root.integer("balancers", 1)),
        root.integer("me", 0),
        root.integer("myZone", 0),
        operations,
        tuple(
            (tenant.number("portion", 0.0), tenant.number("quotaPerS", 0.0))
            for tenant in root.sections("realms")
        ),
        root.number("overShareWorth", 1.0),
        rollout,
        bool(ceilings.values.get("probing")),
        bool(ceilings.values.get("mayTell")),
        bool(ceilings.values.get("cancel")),
        bool(ceilings.values.get("mayDuplicate")),
        ceilings.number("maxRetryAfterMs", 0.0) if ceilings.values.get("retryAfter") else 0.0,
        ceilings.integer("sendCap", 1),
        root.values.get("membershipMode") == "subscribe",
        tuple(REPORT_FIELD.get(field, field) for field in map(str, root.section("report").items("fields"))),
        fees.number("crossZone", 0.0),
        rules.number("drainGraceMs", 0.0),
        rules.fraction("coldShare", 1.0),
        rules.number("warmWithinMs", 0.0),
        rules.number("fallMultiple", 1.0),
        rules.number("overloadForMs", 1.0),
        root.number("tickMs", 1.0),
    )


def parse_index(text, items, what):
    """An index into one of the settings' lists; raises ValueError if it is out of range."""
    index = parse_integer(text)
    if not 0 <= index < len(items):
        raise ValueError(f"{what} {index} of {len(items)}")
    return index


def parse_report(fields, text):
    """A node's load report as {field: value}; absent values are left out."""
    if text == "-":
        return {}
    return {field: float(value) for field, value in zip(fields, text.split(",")) if value and value != "-"}


def parse_entry(words):
    """One entry of a node table, from its line split into words."""
    return (
        words[1],
        parse_integer(words[2]),
        parse_integer(words[3]),
        parse_integer(words[4]),
        parse_integer(words[5]),
        READINESS.get(words[6], GONE),
        parse_number(words[7], 1.0),
        parse_number(words[8]),
    )


def parse_event(words, tables, deployment):
    """Converts a line split into words to (Balancer method, arguments...), or to None for an unknown name.
    `tables` are the node tables of the batch. Raises ValueError, IndexError or KeyError for a malformed
    line."""
    name, fields = words[0], deployment.report_fields
    if name == "inbound":
        return (
            "invocation",
            int(words[1]),
            None if words[2] == "-" else words[2],
            parse_index(words[5], deployment.operations, "class"),
            parse_integer(words[6]),
            parse_number(words[7]),
        )
    if name == "reply":
        return (
            "outcome",
            int(words[1]),
            int(words[4]),
            words[3],
            STATUS.get(words[6], ERROR),
            parse_number(words[2]),
            words[5] == "1",
            parse_report(fields, words[7]),
        )
    if name == "announce":
        kind = LIST_KIND.get(words[3], "failed")
        return ("listed", kind, () if kind == "failed" else tables[int(words[1])])
    if name == "ship_state":
        return (
            "stage_told",
            words[1] == "1",
            parse_index(words[2], deployment.rollout.caps, "stage"),
            parse_number(words[3]),
            parse_number(words[4]),
            STATUS.get(words[5], ERROR),
            parse_integer(words[6]),
            parse_integer(words[7]),
        )
    if name == "tally":
        return (
            "tally",
            parse_integer(words[1]),
            parse_number(words[2]),
            parse_integer(words[3]),
            parse_number(words[4]),
            parse_index(words[5], deployment.operations, "class"),
            parse_integer(words[6]),
        )
    if name == "fired":
        return ("timer", words[1])
    if name == "client_gone":
        return ("client_gone", int(words[1]))
    if name == "probed":
        return (
            "probed",
            words[1],
            STATUS.get(words[2], ERROR),
            parse_number(words[3]),
            parse_report(fields, words[4]),
        )
    if name == "contested":
        return (
            "contested",
            parse_number(words[1]),
            parse_index(words[2], deployment.operations, "class"),
            words[3],
        )
    if name == "peer":
        return ("peer", parse_integer(words[1]), b"" if words[2] == "-" else bytes.fromhex(words[2]))
    if name == "begun":
        return ("begun", int(words[1]), int(words[2]), words[3], parse_number(words[4]))
    return None


class LineWriter:
    """The Writer of one balancer: collects its decisions as lines until the batch is answered."""

    def __init__(self):
        self.lines = []

    def take(self):
        """Returns the collected lines and starts anew."""
        lines, self.lines = self.lines, []
        return lines

    def dispatch(self, invocation, server, time_limit):
        self.lines.append(f"route {invocation} {server} {time_limit:.3f}")

    def cancel(self, invocation, seq):
        self.lines.append(f"drop_attempt {invocation} {seq}")

    def throttle(self, invocation, retry_after):
        self.lines.append(
            f"overload_reply {invocation} {retry_after:.3f}"
            if retry_after > 0
            else f"overload_reply {invocation} -"
        )

    def terminate(self, invocation):
        self.lines.append(f"abort {invocation}")

    def vote(self, stage, version, verdict):
        self.lines.append(f"cast_vote {stage} {version} {verdict}")

    def probe(self, server):
        self.lines.append(f"probe {server}")

    def signal(self, target, payload):
        self.lines.append(f"signal {target} {payload.hex() or '-'}")

    def subscribe(self, enable):
        self.lines.append(f"stream_changes {int(enable)}")

    def reload(self):
        self.lines.append("reload")

    def close_idle(self, server):
        self.lines.append(f"let_go {server}")

    def timer(self, time, key):
        self.lines.append(f"timer {time:.3f} {key}")

    def log(self, line):
        self.lines.append("log " + line.replace("\n", " "))
