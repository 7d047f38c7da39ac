"""The simulator's wire (opal-1007): text lines to the events of interface.py and decisions back to lines."""

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
REPORT = {
    "rif": "inflight",
    "q": "queue",
    "busy": "busy",
    "lat_ms": "service_time",
    "rate": "rate",
    "fail_rate": "fail_rate",
}


class BadLine(Exception):
    pass


def number(text, absent=0.0):
    return absent if text == "-" else float(text)


def whole(text, absent=0):
    return absent if text == "-" else int(text)


class BadSetting(ValueError):
    """Names the setting, what it must be and what it was."""


class Part:
    """An object among the settings, read field by field: unknown names are skipped, wrong values named."""

    def __init__(self, raw, where):
        if not isinstance(raw, dict):
            raise BadSetting(f"{where[:-1]}: must be an object, not {str(raw)[:40]!r}")
        self.raw, self.where = {name: value for name, value in raw.items() if value is not None}, where

    def wrong(self, name, what):
        was = f"not {str(self.raw[name])[:40]!r}" if name in self.raw else "and is missing"
        raise BadSetting(f"{self.where}{name}: must be {what}, {was}")

    def part(self, name):
        return Part(self.raw.get(name, {}), f"{self.where}{name}.")

    def some(self, name):
        some = self.raw.get(name, [])
        return some if isinstance(some, list) else self.wrong(name, "a list")

    def parts(self, name):
        return [Part(one, f"{self.where}{name}[{n}].") for n, one in enumerate(self.some(name))]

    def figure(self, name, absent, most=1e15):
        """A number from 0 to `most`; `absent` stands where it is missing."""
        value = self.raw.get(name, absent)
        if type(value) not in (int, float) or not 0 <= value <= most:
            self.wrong(name, f"a number from 0 to {most:g}")
        return value

    def span(self, name):
        """A number that must be there and above 0: others are divided by it."""
        return self.figure(name, 0) or self.wrong(name, "a number above 0")

    def count(self, name, absent):
        value = self.figure(name, absent, 10**9)
        return int(value) if value == int(value) else self.wrong(name, "a whole number")

    def shares(self, name):
        some = self.some(name) or [1.0]
        if any(type(x) not in (int, float) or not 0 <= x <= 1 for x in some):
            self.wrong(name, "a list of numbers from 0 to 1")
        return tuple(some)


def deployment(text):
    return facts(json.loads(text))


def facts(raw):
    """The Deployment that settings as an object stand for, wherever they came from; BadSetting names what is wrong."""
    site = Part(raw, "settings.")
    allowed, rules, fam, fees = (site.part(name) for name in ("ceilings", "rules", "familyInfo", "fees"))
    # What a word that is not known here may mean is taken as the strictest one: run once, one cell.
    operations = tuple(
        Operation(
            str(c.raw.get("name", "")),
            EFFECT.get(c.raw.get("semantics"), SIDE_EFFECTING),
            c.span("aimMs"),
            c.span("giveUpMs"),
            c.figure("worth", 1.0),
            c.figure("lateWorth", 0.0, 1.0),
            c.figure("dedupWindowMs", 0.0),
            c.raw.get("group", "cell"),
        )
        for c in site.parts("classes")
    ) or site.wrong("classes", "a list of at least one class")
    caps, shares = fam.shares("stageCap"), fam.shares("shares")
    if len(caps) != len(shares):
        fam.wrong("shares", f"as many as stageCap, {len(caps)}")
    rollout = Rollout(
        caps,
        shares,
        fam.figure("soakMs", 0.0),
        fam.figure("exposureWindowMs", 0.0),
        fam.figure("spareTries", 0.0),
        fam.raw.get("counts") == "each_class",
        fam.count("guardedStages", 0),
        bool(fam.raw.get("noReturn")),
        fam.count("toAdvance", 0),
        fam.count("backVotes", 0),
        fam.count("toPause", 0),
        fam.raw.get("decidedBy") == "automatic",
        fam.figure("voteTtlMs", 0.0),
        fam.figure("answerWaitMs", 0.0),
        fam.figure("repeatEveryMs", 0.0),
        fam.figure("metricsPeriodMs", 0.0),
        fam.figure("sampledShare", 0.0, 1.0),
        fam.figure("reportedShare", 0.0, 1.0),
        fam.figure("lagFee", 0.0),
        fam.figure("harmPrice", 0.0),
    )
    return Deployment(
        max(1, site.count("balancers", 1)),
        site.count("me", 0),
        site.count("myZone", 0),
        operations,
        tuple((t.figure("portion", 0.0), t.figure("quotaPerS", 0.0)) for t in site.parts("realms")),
        site.figure("overShareWorth", 1.0),
        rollout,
        bool(allowed.raw.get("probing")),
        bool(allowed.raw.get("mayTell")),
        bool(allowed.raw.get("cancel")),
        bool(allowed.raw.get("mayDuplicate")),
        allowed.figure("maxRetryAfterMs", 0.0) if allowed.raw.get("retryAfter") else 0.0,
        allowed.count("sendCap", 1),
        site.raw.get("membershipMode") == "subscribe",
        tuple(REPORT.get(f, f) for f in map(str, site.part("report").some("fields"))),
        fees.figure("crossZone", 0.0),
        rules.figure("drainGraceMs", 0.0),
        rules.figure("coldShare", 1.0, 1.0),
        rules.figure("warmWithinMs", 0.0),
        rules.figure("fallMultiple", 1.0),
        rules.figure("overloadForMs", 1.0),
        site.figure("tickMs", 1.0),
    )


def among(text, some, what):
    """An index into one of the settings' lists."""
    at = whole(text)
    if not 0 <= at < len(some):
        raise ValueError(f"{what} {at} of {len(some)}")
    return at


def report(fields, text):
    if text == "-":
        return {}
    return {f: float(v) for f, v in zip(fields, text.split(",")) if v and v != "-"}


def entry(p):
    return (
        p[1],
        whole(p[2]),
        whole(p[3]),
        whole(p[4]),
        whole(p[5]),
        READINESS.get(p[6], GONE),
        number(p[7], 1.0),
        number(p[8]),
    )


def event(p, banks, facts):
    """Turns a split line into (Balancer method, fields...), or None for a name this codec does not know."""
    name, fields = p[0], facts.report_fields
    if name == "inbound":
        return (
            "invocation",
            int(p[1]),
            None if p[2] == "-" else p[2],
            among(p[5], facts.operations, "class"),
            whole(p[6]),
            number(p[7]),
        )
    if name == "reply":
        return (
            "outcome",
            int(p[1]),
            int(p[4]),
            p[3],
            STATUS.get(p[6], ERROR),
            number(p[2]),
            p[5] == "1",
            report(fields, p[7]),
        )
    if name == "announce":
        kind = LIST_KIND.get(p[3], "failed")
        return ("listed", kind, () if kind == "failed" else banks[int(p[1])])
    if name == "ship_state":
        return (
            "stage_told",
            p[1] == "1",
            among(p[2], facts.rollout.caps, "stage"),
            number(p[3]),
            number(p[4]),
            STATUS.get(p[5], ERROR),
            whole(p[6]),
            whole(p[7]),
        )
    if name == "tally":
        return (
            "tally",
            whole(p[1]),
            number(p[2]),
            whole(p[3]),
            number(p[4]),
            among(p[5], facts.operations, "class"),
            whole(p[6]),
        )
    if name == "fired":
        return ("timer", p[1])
    if name == "client_gone":
        return ("client_gone", int(p[1]))
    if name == "probed":
        return ("probed", p[1], STATUS.get(p[2], ERROR), number(p[3]), report(fields, p[4]))
    if name == "contested":
        return ("contested", number(p[1]), among(p[2], facts.operations, "class"), p[3])
    if name == "peer":
        return ("peer", whole(p[1]), b"" if p[2] == "-" else bytes.fromhex(p[2]))
    if name == "begun":
        return ("begun", int(p[1]), int(p[2]), p[3], number(p[4]))
    return None


class LineWriter:
    """One per instance: keeps the lines of a reply until the batch is answered."""

    def __init__(self):
        self.lines = []

    def take(self):
        lines, self.lines = self.lines, []
        return lines

    def dispatch(self, inv, server, time_limit):
        self.lines.append(f"route {inv} {server} {time_limit:.3f}")

    def cancel(self, inv, seq):
        self.lines.append(f"drop_attempt {inv} {seq}")

    def throttle(self, inv, retry_in):
        self.lines.append(
            f"overload_reply {inv} {retry_in:.3f}" if retry_in > 0 else f"overload_reply {inv} -"
        )

    def terminate(self, inv):
        self.lines.append(f"abort {inv}")

    def vote(self, stage, ver, verdict):
        self.lines.append(f"cast_vote {stage} {ver} {verdict}")

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

    def timer(self, at, key):
        self.lines.append(f"timer {at:.3f} {key}")

    def log(self, line):
        self.lines.append("log " + line.replace("\n", " "))
