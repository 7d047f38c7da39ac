"""The simulator's wire (opal-1007): text lines to the events of interface.py and decisions back to lines."""
import json

from ..interface import (
    CANCELLED, DRAINING, ERROR, FINGERPRINTED, FULL, GONE, IDEMPOTENT, MOOT, READY, RESET, SIDE_EFFECTING,
    SUCCEEDED, TIMEOUT, UNCONNECTED, Deployment, Operation, Rollout)

STATUS = {"100": SUCCEEDED, "301": ERROR, "302": FULL, "303": TIMEOUT, "304": UNCONNECTED, "305": RESET,
          "306": CANCELLED, "307": MOOT}
EFFECT = {"retryable": IDEMPOTENT, "dedup": FINGERPRINTED, "fragile": SIDE_EFFECTING}
READINESS = {"Ready": READY, "Terminating": DRAINING, "Gone": GONE}
LIST_KIND = {"diff": "changes", "snapshot": "whole", "disk": "kept", "error": "failed"}
REPORT = {"rif": "inflight", "q": "queue", "busy": "busy", "lat_ms": "service_time", "rate": "rate",
          "fail_rate": "fail_rate"}


class BadLine(Exception):
    pass


def number(text, absent=0.0):
    return absent if text == "-" else float(text)


def whole(text, absent=0):
    return absent if text == "-" else int(text)


def deployment(text):
    return facts(json.loads(text))


def facts(raw):
    """The Deployment that settings as an object stand for, wherever they came from."""
    part = lambda key: raw.get(key) or {}
    allowed, rules, fam, fees = part("ceilings"), part("rules"), part("familyInfo"), part("fees")
    operations = tuple(Operation(
        c.get("name", ""), EFFECT.get(c.get("semantics"), SIDE_EFFECTING), c["aimMs"], c["giveUpMs"],
        c.get("worth", 1.0), c.get("lateWorth", 0.0), c.get("dedupWindowMs", 0.0), c.get("group", "cell"))
        for c in raw["classes"])
    rollout = Rollout(
        tuple(fam.get("stageCap") or (1.0,)), tuple(fam.get("shares") or (1.0,)), fam.get("soakMs", 0.0),
        fam.get("exposureWindowMs", 0.0), fam.get("spareTries", 0.0), fam.get("counts") == "each_class",
        fam.get("guardedStages", 0), bool(fam.get("noReturn")), fam.get("toAdvance", 0),
        fam.get("backVotes", 0), fam.get("toPause", 0), fam.get("decidedBy") == "automatic",
        fam.get("voteTtlMs", 0.0), fam.get("answerWaitMs", 0.0), fam.get("repeatEveryMs", 0.0),
        fam.get("metricsPeriodMs", 0.0), fam.get("sampledShare", 0.0), fam.get("reportedShare", 0.0),
        fam.get("lagFee", 0.0), fam.get("harmPrice", 0.0))
    return Deployment(
        max(1, raw.get("balancers", 1)), raw.get("me", 0), raw.get("myZone", 0), operations,
        tuple((t.get("portion", 0.0), t.get("quotaPerS", 0.0)) for t in raw.get("realms") or ()),
        raw.get("overShareWorth", 1.0), rollout, bool(allowed.get("probing")), bool(allowed.get("mayTell")),
        bool(allowed.get("cancel")), bool(allowed.get("mayDuplicate")),
        allowed.get("maxRetryAfterMs", 0.0) if allowed.get("retryAfter") else 0.0,
        allowed.get("sendCap", 1), raw.get("membershipMode") == "subscribe",
        tuple(REPORT.get(f, f) for f in part("report").get("fields") or ()), fees.get("crossZone", 0.0),
        rules.get("drainGraceMs", 0.0), rules.get("coldShare", 1.0), rules.get("warmWithinMs", 0.0),
        rules.get("fallMultiple", 1.0), rules.get("overloadForMs", 1.0), raw.get("tickMs", 1.0))


def report(fields, text):
    if text == "-":
        return {}
    return {f: float(v) for f, v in zip(fields, text.split(",")) if v and v != "-"}


def entry(p):
    return (p[1], whole(p[2]), whole(p[3]), whole(p[4]), whole(p[5]), READINESS.get(p[6], GONE),
            number(p[7], 1.0), number(p[8]))


def event(p, banks, fields):
    """Turns a split line into (Balancer method, fields...), or None for a name this codec does not know."""
    name = p[0]
    if name == "inbound":
        return ("invocation", int(p[1]), None if p[2] == "-" else p[2], whole(p[5]), whole(p[6]), number(p[7]))
    if name == "reply":
        return ("outcome", int(p[1]), int(p[4]), p[3], STATUS.get(p[6], ERROR), number(p[2]), p[5] == "1",
                report(fields, p[7]))
    if name == "announce":
        kind = LIST_KIND.get(p[3], "failed")
        return ("listed", kind, () if kind == "failed" else banks[int(p[1])])
    if name == "ship_state":
        return ("stage_told", p[1] == "1", whole(p[2]), number(p[3]), number(p[4]), STATUS.get(p[5], ERROR),
                whole(p[6]), whole(p[7]))
    if name == "tally":
        return ("tally", whole(p[1]), number(p[2]), whole(p[3]), number(p[4]), whole(p[5]), whole(p[6]))
    if name == "fired":
        return ("timer", p[1])
    if name == "client_gone":
        return ("client_gone", int(p[1]))
    if name == "probed":
        return ("probed", p[1], STATUS.get(p[2], ERROR), number(p[3]), report(fields, p[4]))
    if name == "contested":
        return ("contested", number(p[1]), whole(p[2]), p[3])
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
        self.lines.append(f"overload_reply {inv} {retry_in:.3f}" if retry_in > 0 else f"overload_reply {inv} -")

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
