"""Reads settings in protobuf text format and checks them; an error names file, line and field.

The schema (schema.proto) carries unit, range and need of every field; this file only walks it.
"""

from google.protobuf import text_format

from . import schema_pb2 as schema

EFFECTS, GROUPS = ("idempotent", "fingerprinted", "side-effecting"), ("all", "zone", "cell")


class BadSetting(Exception):
    """`str()` is one line: file, line, field and what is wrong."""


def lines_of(text):
    """The line of each field, by its path: ('rollout', 0, 'cap', 1) -> 12."""
    tokens, lines, seen, path = text_format.Tokenizer(text.splitlines()), {}, {}, ()

    def mark(name):
        count = seen[path, name] = seen.get((path, name), -1) + 1
        lines[path + (name, count)] = line
        return path + (name, count)

    while not tokens.AtEnd():
        line, token = tokens._line + 1, tokens.token
        tokens.NextToken()
        if token in ("}", ">"):
            path = path[:-2]
        elif token[:1].isalpha():
            colon = tokens.TryConsume(":")
            if tokens.token in ("{", "<"):
                path = mark(token)
                tokens.NextToken()
            elif colon and tokens.token == "[":
                while not tokens.AtEnd() and tokens.token != "]":
                    if tokens.token not in ("[", ","):
                        line = tokens._line + 1
                        mark(token)
                    tokens.NextToken()
                if not tokens.AtEnd():
                    tokens.NextToken()
            elif colon:
                mark(token)
                tokens.NextToken()
    return lines


def check(message, file, lines, path=()):
    """Ranges and needs, as the schema states them."""

    def fail(name, count, what):
        at = lines.get(path + (name, count)) or lines.get(path) or 1
        raise BadSetting(f"{file}:{at}: {'.'.join(map(str, path[::2] + (name,)))}: {what}")

    for field in message.DESCRIPTOR.fields:
        about = field.GetOptions().Extensions[schema.about]
        many = field.is_repeated
        values = getattr(message, field.name) if many else [getattr(message, field.name)]
        if about.needed and not (len(values) if many else message.HasField(field.name)):
            fail(field.name, 0, "is needed")
        for count, value in enumerate(values):
            if field.message_type:
                if many or message.HasField(field.name):
                    check(value, file, lines, path + (field.name, count))
            elif isinstance(value, (int, float)) and not isinstance(value, bool):
                least, most = about.least, about.most
                if (
                    about.HasField("least")
                    and not least <= value
                    or about.HasField("most")
                    and not value <= most
                ):
                    fail(
                        field.name, count, f"{value:g} is outside {least:g} to {most:g} {about.unit}".rstrip()
                    )


def parse(kind, text, file):
    """`kind` is a message class of the schema; returns a checked message or raises BadSetting."""
    message = kind()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError as trouble:
        raise BadSetting(f"{file}:{trouble.GetLine() or 1}: {str(trouble).split(' : ', 1)[-1]}") from None
    lines = lines_of(text)
    check(message, file, lines)

    def fail(path, what):
        at = (
            lines.get(path) or lines.get(path[:-2]) or 1
        )  # one that is absent is named where its parent begins
        raise BadSetting(f"{file}:{at}: {'.'.join(map(str, path[::2]))}: {what}")

    if kind is schema.Fleet:
        check_fleet(message, fail)
    elif kind is schema.Proxy:
        check_duties(message, fail)
    return message


DUTIES = "tenants", "seal", "site-return"


SITES = 8  # as duties/returning.py packs them


def check_duties(mine, fail):
    roster = [m.number for m in mine.mate]
    for n, mate in enumerate(mine.mate):
        if mine.duty and not mate.duties:
            fail(("mate", n, "duties", 0), "is needed where there are duties")
    for n, duty in enumerate(mine.duty):
        if duty.name not in DUTIES or duty.name in [d.name for d in mine.duty[:n]]:
            fail(
                ("duty", n, "name", 0),
                f"'{duty.name}' "
                + ("stands twice" if duty.name in DUTIES else f"is none of {', '.join(DUTIES)}"),
            )
        if mine.me not in roster:
            fail(("duty", n), f"this proxy, {mine.me}, is not among the mates")
        for name in ("elector", "elector_before"):
            for m, number in enumerate(getattr(duty, name)):
                if number not in roster or number in getattr(duty, name)[:m]:
                    fail(
                        ("duty", n, name, m),
                        f"{number} " + ("stands twice" if number in roster else "is not among the mates"),
                    )
        if duty.elector_before and not duty.generation:
            fail(("duty", n, "generation", 0), "is needed while electors are changed: one more than it was")
        if duty.name == "tenants" and not duty.directory:
            fail(("duty", n, "directory", 0), "is needed: the file with the directory's settings")


def check_fleet(fleet, fail):

    for kind, things in (
        ("operation", [o.name for o in fleet.operation]),
        ("tenant", [t.name for t in fleet.tenant]),
        ("zone", list(fleet.zone)),
    ):
        for n, name in enumerate(things):
            at = (kind, n) if kind == "zone" else (kind, n, "name", 0)
            if not name or any(c.isspace() or c in "/?#" for c in name):
                fail(at, f"'{name}' may not be empty or hold blanks, '/', '?' or '#'")
            if name in things[:n]:
                fail(at, f"'{name}' stands twice")
    for n, op in enumerate(fleet.operation):
        if op.effect not in EFFECTS:
            fail(("operation", n, "effect", 0), f"'{op.effect}' is none of {', '.join(EFFECTS)}")
        if op.group not in GROUPS:
            fail(("operation", n, "group", 0), f"'{op.group}' is none of {', '.join(GROUPS)}")
        if op.effect == "fingerprinted" and op.window <= 0:
            fail(
                ("operation", n, "window", 0),
                "a fingerprinted operation needs the time its marks are remembered",
            )
        if op.slo_time > op.time_limit:
            fail(
                ("operation", n, "slo_time", 0),
                f"{op.slo_time:g} is past the time_limit of {op.time_limit:g} ms",
            )
    names = [o.name for o in fleet.operation]
    for n, name in enumerate(fleet.protect):
        if name not in names or name in fleet.protect[:n]:
            fail(
                ("protect", n),
                f"'{name}' " + ("stands twice" if name in names else "is no operation of the fleet"),
            )
    for n, site in enumerate(fleet.site):
        if site.zone not in fleet.zone or site.zone in [s.zone for s in fleet.site[:n]]:
            fail(
                ("site", n, "zone", 0),
                f"'{site.zone}' "
                + ("stands twice" if site.zone in fleet.zone else "is no zone of the fleet"),
            )
        for m, traffic in enumerate(site.traffic):
            if traffic.operation not in names:
                fail(
                    ("site", n, "traffic", m, "operation", 0),
                    f"'{traffic.operation}' is no operation of the fleet",
                )
            if not fleet.operation[names.index(traffic.operation)].work:
                fail(
                    ("operation", names.index(traffic.operation), "work", 0),
                    "is needed where a site has traffic of it",
                )
    if fleet.site_acts and len(fleet.site) > SITES:
        fail(("site", SITES), f"more than {SITES} sites: an order about their return has no room for so many")
    missing = [z for z in fleet.zone if z not in [s.zone for s in fleet.site]]
    if fleet.site_acts and missing:
        fail(("site_acts", 0), f"zone {missing[0]} has no site: what is not known cannot be planned with")
    if fleet.site_acts and not fleet.site_probe.startswith("/"):
        fail(("site_probe", 0), f"'{fleet.site_probe[:40]}' must begin with '/'")
    for n, way in enumerate(fleet.way):
        for end in ("from", "to"):
            if getattr(way, end) not in fleet.zone:
                fail(("way", n, end, 0), f"'{getattr(way, end)}' is no zone of the fleet")
    rollout = fleet.rollout
    if len(rollout.cap) != len(rollout.machine_share):
        fail(
            ("rollout", 0, "cap", 0),
            f"{len(rollout.cap)} caps for {len(rollout.machine_share)} machine_shares",
        )
    for name in ("cap", "machine_share"):
        values = getattr(rollout, name)
        for n in range(1, len(values)):
            if values[n] < values[n - 1]:
                fail(
                    ("rollout", 0, name, n), f"{values[n]:g} is below the stage before it ({values[n - 1]:g})"
                )
    if rollout.machine_share[-1] != 1 or rollout.cap[-1] != 1:
        fail(("rollout", 0, "cap", len(rollout.cap) - 1), "the last stage must be the whole fleet: 1")


def read(kind, path):
    try:
        with open(path, encoding="utf-8") as f:
            text = f.read()
    except (OSError, UnicodeDecodeError) as trouble:
        raise BadSetting(f"{path}:1: cannot be read: {trouble}") from None
    return parse(kind, text, path)


SEES = 10  # proxies past which one alone seldom meets enough outcomes of a new build: docs/studies/proxies.md


def advice(fleet):
    """What is allowed but seldom meant, a line each."""
    r = fleet.rollout
    if fleet.proxies > SEES and not fleet.may_signal and not r.tally_period:
        yield (
            f"{fleet.proxies} proxies with neither may_signal nor rollout.tally_period: none alone sees enough of a new build to "
            "vote, builds stay in their first stage"
        )
    if r.back_votes > max(1, fleet.proxies // 2):
        yield f"rollout.back_votes: {r.back_votes} of {fleet.proxies} proxies must see a build fail before it goes back"
    for op in fleet.operation:
        if op.effect == "fingerprinted" and op.group != "all" and fleet.may_duplicate:
            yield f"operation {op.name}: marks are shared by {op.group}, so copies stay within one {op.group}"
        if op.effect == "fingerprinted" and op.window <= fleet.standstill > 0:
            yield (
                f"operation {op.name}: marks last {op.window:g} ms and a node may stand still for {fleet.standstill:g}: what may have run "
                "is not sent again"
            )
        if op.effect == "fingerprinted" and op.window < op.time_limit:
            yield f"operation {op.name}: marks are forgotten ({op.window:g} ms) before its clients give up ({op.time_limit:g} ms)"


def advice_on_duties(mine):
    """What the duties of a proxy's settings do not survive, a line each."""
    zone_of = {m.number: m.zone for m in mine.mate}
    for duty in mine.duty:
        many = len(duty.elector)
        need = many // 2 + 1
        zones = [zone_of[e] for e in duty.elector]

        def says(what):
            return f"duty {duty.name}: {what}"

        if many - need == 0:
            yield says(
                f"nobody holds it while {'its one elector is' if many == 1 else 'any of its electors is'} away; three survive one"
            )
        elif many % 2 == 0:
            yield says(f"{many} electors survive no more of them away than {many - 1} do")
        for zone in sorted({z for z in zones if many - zones.count(z) < need}):
            if len(set(zone_of.values())) > 1 and many > 1:
                yield says(
                    f"nobody holds it while zone {zone} is away: {zones.count(zone)} of {many} electors live there"
                )
        if duty.elector_before:
            yield says("electors are being changed: a majority of both sets is needed until the next step")
        if duty.lease < 3 * mine.member_period:
            yield says(
                "its lease is shorter than it takes to see that a proxy is gone: the order of who tries first counts the dead"
            )


def explain():
    """One line a setting, from the schema: where, default, unit, range, text."""
    for kind in schema.DESCRIPTOR.message_types_by_name.values():
        if kind.name == "About":
            continue
        for field in kind.fields:
            about, deal = field.GetOptions().Extensions[schema.about], []
            if about.needed:
                deal.append("needed")
            elif not field.message_type and not field.is_repeated:
                deal.append(f"default {field.default_value!r}{' ' + about.unit if about.unit else ''}")
            if about.HasField("least"):
                deal.append(f"{about.least:g} to {about.most:g}")
            yield kind.name, field.name, "; ".join(deal), about.text, about.hurts


def effect_of(op, standstill):
    """What an operation's effect is worth: marks that do not outlast the longest standstill drop no repeat of what a site still
    has in hand, so that none may be sent."""
    return "side-effecting" if op.effect == "fingerprinted" and op.window <= standstill > 0 else op.effect


def deployment(fleet, me, zone, tick):
    """The facts of interface.py for one proxy; raises BadSetting for a zone the fleet does not have."""
    from ..interface import Deployment, Operation, Rollout

    if zone and zone not in fleet.zone:
        raise BadSetting(f"zone: '{zone}' is none of the fleet's ({', '.join(fleet.zone)})")
    r = fleet.rollout
    return Deployment(
        balancers=fleet.proxies,
        me=me,
        zone=list(fleet.zone).index(zone) if zone else 0,
        operations=tuple(
            Operation(
                o.name,
                effect_of(o, fleet.standstill),
                o.slo_time,
                o.time_limit,
                o.billed_value,
                o.late_value,
                o.window,
                o.group,
            )
            for o in fleet.operation
        ),
        # No portions, no tenants: one that must not be capped stands for all.
        tenants=tuple((t.portion, 0.0) for t in fleet.tenant),
        over_share_value=fleet.over_share_value,
        rollout=Rollout(
            tuple(r.cap),
            tuple(r.machine_share),
            r.soak,
            r.window,
            r.free,
            r.by_operation,
            r.guarded,
            r.no_return,
            r.on_votes,
            r.back_votes,
            0,
            False,
            r.vote_life,
            r.answer_wait,
            r.told_every,
            r.tally_period,
            r.tally_share,
            0.0,
            0.0,
            0.0,
        ),
        may_probe=False,
        may_signal=fleet.may_signal,
        may_cancel=True,
        may_duplicate=fleet.may_duplicate,
        retry_advice=fleet.retry_advice,
        dispatch_cap=fleet.dispatch_cap,
        must_subscribe=False,
        report_fields=(),
        cross_zone_price=fleet.cross_zone_price,
        drain_grace=fleet.drain_grace,
        cold_share=fleet.cold_share,
        warm_within=fleet.warm_within,
        fall_multiple=fleet.fall_multiple,
        overload_for=fleet.overload_for,
        tick=tick,
    )
