"""Day scripts: one text format for the emulated nodes, the load, the controller and the day that plays them.

A line is a word and its facts; '#' begins a remark. An error names file, line and word. Whatever is left to chance is
drawn from the script's seed, the same in every process. Times in a script are seconds of the day; facts in ms say so.
"""

import os

from . import host

REQUIRED = object()
NUMBER, TEXT, NUMBERS, WHOLE = "a number", "a word", "numbers set apart by commas", "a whole number"
FACTS = {  # line -> fact -> (form, default, least, most)
    "fleet": dict(
        nodes=(WHOLE, 12, 1, 2000),
        cores=(WHOLE, 2, 1, 64),
        speed=(NUMBER, 1.0, 0.01, 100),
        queue=(WHOLE, 24, 0, 100000),
        cold=(NUMBER, 0.4, 0.01, 1),
        cold_for=(NUMBER, 3000, 0, 600000),
        boot=(NUMBER, 400, 0, 60000),
        told=(NUMBER, 200, 0, 60000),
        cell=(WHOLE, 4, 1, 2000),
        cancelled=(TEXT, "stops", None, None),
        errors=(NUMBER, 0.0, 0, 1),
        spread=(NUMBER, 0.1, 0, 0.9),
        warm_by=(TEXT, "time", None, None),
        thrash=(NUMBER, 0.02, 0, 1),
        connections=(NUMBER, 0.0, 0, 1),
        report_every=(NUMBER, 0, 0, 60000),
        report_noise=(NUMBER, 0.0, 0, 1),
    ),
    "traffic": dict(
        rate=(NUMBER, 120, 0.1, 100000),
        retries=(WHOLE, 1, 0, 10),
        backoff=(NUMBER, 150, 0, 60000),
        honour=(NUMBER, 0.8, 0, 1),
        patience=(NUMBER, 0.7, 0.01, 1),
        keys=(WHOLE, 500, 0, 10**6),
        leave=(NUMBER, 0.0, 0, 1),
        intruders=(NUMBER, 0.0, 0, 1),
        body=(WHOLE, 64, 0, 10**6),
        failover=(WHOLE, 0, 0, 1),
    ),
    "operation": dict(
        effect=(TEXT, REQUIRED, None, None),
        share=(NUMBER, REQUIRED, 0, 1),
        work=(NUMBER, 60, 0.01, 60000),
        cv=(NUMBER, 0.7, 0, 5),
        law=(TEXT, "lognormal", None, None),
        slo=(NUMBER, 1000, 1, 600000),
        limit=(NUMBER, 3000, 1, 600000),
        value=(NUMBER, 1, 0, 10**6),
        late=(NUMBER, 0.2, 0, 1),
        window=(NUMBER, 0, 0, 10**8),
        group=(TEXT, "all", None, None),
    ),
    "tenant": dict(portion=(NUMBER, REQUIRED, 0, 1), members=(WHOLE, 0, 0, 100000)),
    "directory": dict(sync=(WHOLE, 1, 0, 1), poll=(NUMBER, 1000, 50, 10**6), allow=(NUMBER, 2000, 0, 10**6)),
    "rollout": dict(
        shares=(NUMBERS, (0.1, 0.4, 1.0), 0, 1),
        caps=(NUMBERS, (0.2, 0.8, 1.0), 0, 1),
        soak=(NUMBER, 1500, 0, 10**7),
        window=(NUMBER, 3000, 100, 10**6),
        free=(NUMBER, 2, 0, 1000),
        by_operation=(WHOLE, 0, 0, 1),
        guarded=(WHOLE, 0, 0, 100),
        on=(WHOLE, 1, 0, 10000),
        back=(WHOLE, 1, 1, 10000),
        vote_life=(NUMBER, 6000, 100, 10**6),
        allowance=(NUMBER, 100, 1, 10**5),
        told_every=(NUMBER, 4000, 100, 10**6),
        tally=(NUMBER, 0, 0, 10**6),
        tally_share=(NUMBER, 0.2, 0, 1),
        drain=(NUMBER, 2500, 0, 10**6),
    ),
    "release": dict(
        hooks=(WHOLE, 0, 0, 1),
        standby=(WHOLE, 0, 0, 1),
        trail=(WHOLE, 0, 0, 1),
        patience=(NUMBER, 1500, 300, 60000),
    ),
    "members": dict(period=(NUMBER, 200, 20, 60000)),
    "duties": dict(
        electors=(WHOLE, 3, 1, 99),
        lease=(NUMBER, 1000, 100, 600000),
        settle=(NUMBER, 500, 0, 600000),
        every=(NUMBER, 200, 20, 600000),
        clock_rate=(NUMBER, 0.01, 0, 0.2),
        tenants=(WHOLE, 0, 0, 1),
    ),
    "sites": dict(
        fill=(NUMBER, 0.85, 0.05, 1),
        protect=(TEXT, "", None, None),
        acts=(WHOLE, 1, 0, 1),
        off=(NUMBER, 1.0, 0.1, 10),
        **{"return": (WHOLE, 0, 0, 1)},
    ),
    "rules": dict(
        signal=(WHOLE, 0, 0, 1),
        duplicate=(WHOLE, 1, 0, 1),
        drain_grace=(NUMBER, 500, 0, 60000),
        multiple=(NUMBER, 3, 1, 100),
        overload_for=(NUMBER, 1000, 1, 60000),
        advice=(NUMBER, 1000, 0, 600000),
        sends=(WHOLE, 4, 1, 16),
        cross=(NUMBER, 0.0, 0, 1),
        standstill=(NUMBER, 0, 0, 10**7),
    ),
}
PICK = dict(zone=(TEXT, "", None, None), build=(WHOLE, 0, 0, 65535))  # only nodes there, only of that build
KINDS = {  # trouble -> fact -> (form, default, least, most)
    "burst": dict(x=(NUMBER, 1.8, 0, 100)),
    "crash": dict(share=(NUMBER, 0.15, 0, 1), **PICK),
    "vanish": dict(share=(NUMBER, 0.1, 0, 1), **PICK),
    "pause": dict(
        share=(NUMBER, 0.2, 0, 1), ms=(NUMBER, 800, 1, 600000), every=(NUMBER, 4000, 10, 10**6), **PICK
    ),
    "leak": dict(share=(NUMBER, 0.2, 0, 1), x=(NUMBER, 4, 1, 1000), **PICK),
    "slow": dict(share=(NUMBER, 0.2, 0, 1), x=(NUMBER, 3, 0.01, 1000), **PICK),
    "fast_errors": dict(share=(NUMBER, 0.2, 0, 1), p=(NUMBER, 0.6, 0, 1), **PICK),
    "heavy_tail": dict(
        operation=(TEXT, REQUIRED, None, None), p=(NUMBER, 0.02, 0, 1), x=(NUMBER, 12, 1, 1000)
    ),
    "hot_caller": dict(proxy=(WHOLE, 0, 0, 9999), share=(NUMBER, 0.5, 0, 1)),
    "neighbour": dict(
        share=(NUMBER, 0.3, 0, 1), x=(NUMBER, 2, 0.01, 1000), every=(NUMBER, 2000, 10, 10**6), **PICK
    ),
    "report_late": dict(ms=(NUMBER, 1500, 0, 60000)),
    "shared_slow": dict(x=(NUMBER, 1.8, 0.01, 1000)),
    "shift": dict(zone=(TEXT, REQUIRED, None, None), share=(NUMBER, 0.8, 0, 1)),
    "slow_class": dict(operation=(TEXT, REQUIRED, None, None), ms=(NUMBER, 800, 0, 600000)),
    "slow_link": dict(zone=(TEXT, REQUIRED, None, None), ms=(NUMBER, 60, 0, 60000)),
    "sever": dict(zone=(TEXT, REQUIRED, None, None)),
    "tenant_burst": dict(tenant=(TEXT, REQUIRED, None, None), x=(NUMBER, 3, 0, 100)),
    "give_up": dict(patience=(NUMBER, 0.3, 0.01, 1), leave=(NUMBER, 0.3, 0, 1)),
    "retry_abuse": dict(retries=(WHOLE, 4, 0, 50)),
    "false_reports": dict(share=(NUMBER, 0.4, 0, 1)),
    "balancer_roll": dict(share=(NUMBER, 1, 0, 1)),
    "kill": dict(proxy=(WHOLE, 0, 0, 9999)),
    "holder_kill": dict(duty=(TEXT, "seal", None, None)),
    "controller_kill": dict(),
    "controller_pause": dict(),
    "cut": dict(share=(NUMBER, 1, 0, 1)),
    "drain": dict(share=(NUMBER, 0.1, 0, 1), **PICK),
    "slow_disk": dict(
        of=(TEXT, "proxy", None, None),
        ms=(NUMBER, 0, 0, 600000),
        every=(NUMBER, 0, 0, 10**6),
        lasts=(NUMBER, 1000, 1, 10**6),
        calls=(TEXT, "sync", None, None),
    ),
    "link": dict(
        src=(TEXT, REQUIRED, None, None),
        dst=(TEXT, REQUIRED, None, None),
        ways=(TEXT, "both", None, None),
        cut=(WHOLE, 0, 0, 1),
        reset=(WHOLE, 0, 0, 1),
        ms=(NUMBER, 0, 0, 60000),
        jitter=(NUMBER, 0, 0, 60000),
        loss=(NUMBER, 0, 0, 1),
        twice=(NUMBER, 0, 0, 1),
        shuffle=(NUMBER, 0, 0, 1),
        rate=(NUMBER, 0, 0, 10**9),
        flap=(NUMBER, 0, 0, 10**6),
    ),
    "stall": dict(who=(TEXT, REQUIRED, None, None)),
    "clock": dict(
        who=(TEXT, REQUIRED, None, None), rate=(NUMBER, 1, 0.5, 2), set=(NUMBER, 0, -(10**7), 10**7)
    ),
    "directory_away": dict(),
    "directory_cut": dict(),
    "directory_forgets": dict(),
    "directory_lag": dict(ms=(NUMBER, 500, 0, 600000)),
    "tenant_gone": dict(tenant=(TEXT, REQUIRED, None, None), member=(WHOLE, 0, 0, 100000)),
    "tenant_moved": dict(
        tenant=(TEXT, REQUIRED, None, None), member=(WHOLE, 0, 0, 100000), to=(TEXT, REQUIRED, None, None)
    ),
}
ENDS = "crash", "vanish", "pause", "drain"  # a node can only be in one of these at a time
CHOICES = dict(
    cancelled=("stops", "goes-on"),
    warm_by=("time", "work"),
    law=("lognormal", "exp", "pareto"),
    effect=("idempotent", "fingerprinted", "side-effecting"),
    group=("all", "zone", "cell"),
    of=("proxy", "release", "tenants", "all"),
    ways=("both", "there", "back"),
    calls=("sync", "fdatasync", "fsync", "rename", "all", "full"),
)
HOLDER = (
    "holder:"  # before a duty's name, where a fault may name a process: whoever holds it as the fault begins
)
FORMAT = 1
FORMS = {"good": 1.0, "errors": 0.4, "class": 0.7, "slow": 3.0, "load": 0.5, "late": 0.6, "shared": 2.0}


class BadScript(Exception):
    pass


class Trouble:
    def __init__(self, kind, at, until, facts, nth):
        self.kind, self.at, self.until, self.nth = kind, at, until, nth  # nth: its line
        self.__dict__.update(facts)


class Offer:
    def __init__(self, at, form, size, operation):
        self.at, self.form, self.size, self.operation = at, form, size, operation

    bad = property(lambda self: self.form != "good")


class Day:
    """A parsed script. Times in ms from the day's start. Lists keep the order of the file."""

    def __init__(self, text, file="script"):
        self.file, self.seconds, self.seed, self.proxies = file, 30.0, 1, 3
        self.zones, self.operations, self.tenants, self.offers, self.troubles, seen = [], {}, {}, [], [], {}
        self.directory = self.members_by = self.duties = self.sites = None
        for self.file, self.line, words in self.lines(text, file):
            number = self.line
            if not words:
                continue
            verb, *rest = words
            if verb in (
                "fleet",
                "traffic",
                "rollout",
                "rules",
                "directory",
                "release",
                "members",
                "duties",
                "sites",
            ):
                if verb in seen:
                    self.fail(f"a second '{verb}', after line {seen[verb]}")
                seen[verb] = number
                setattr(self, "members_by" if verb == "members" else verb, self.facts(FACTS[verb], rest))
            elif verb in ("day", "seed", "proxies"):
                form = (WHOLE, 0, 0, 2**63) if verb == "seed" else (WHOLE, 0, 1, 86400)
                value = self.value(verb, form, rest[0] if len(rest) == 1 else "")
                setattr(self, {"day": "seconds"}.get(verb, verb), value)
            elif verb == "format":
                if rest != [str(FORMAT)]:
                    self.fail(
                        f"format {' '.join(rest) or '?'} is not the one read here, {FORMAT}: its seed would draw another day"
                    )
            elif verb == "zones":
                self.zones = rest
            elif verb in ("operation", "tenant"):
                if not rest:
                    self.fail(f"{verb} needs a name")
                table = self.operations if verb == "operation" else self.tenants
                if rest[0] in table:
                    self.fail(f"{verb} '{rest[0]}' stands twice")
                table[rest[0]] = self.facts(FACTS[verb], rest[1:])
            elif verb == "offer":
                self.offer(rest)
            elif verb == "at":
                self.trouble(rest, number)
            else:
                self.fail(f"no such line: '{verb}'")
        self.file, self.line = file, 0
        for verb in ("fleet", "traffic", "rollout", "rules", "release"):
            if verb not in seen:
                setattr(self, verb, self.facts(FACTS[verb], []))
        self.zones = self.zones or ["here"]
        if self.duties and not self.members_by:
            self.members_by = self.facts(FACTS["members"], [])
        self.check()

    def lines(self, text, file, depth=0):
        """(file, line, words); `use FILE` puts in the lines of another, named from where the script lies."""
        for number, line in enumerate(text.splitlines(), 1):
            words = line.split("#")[0].split()
            if words[:1] != ["use"]:
                yield file, number, words
                continue
            self.file, self.line = file, number
            if len(words) != 2 or depth:
                self.fail("use FILE, and not in a file that is used")
            path = os.path.join(os.path.dirname(file), words[1])
            try:
                with open(path, encoding="utf-8") as f:
                    yield from self.lines(f.read(), path, 1)
            except (OSError, UnicodeDecodeError) as trouble:
                self.fail(f"{words[1]}: cannot be read: {trouble}")

    def fail(self, what):
        raise BadScript(f"{self.file}:{self.line}: {what}")

    def value(self, name, fact, text):
        form, _, least, most = fact
        try:
            got = {
                TEXT: str,
                WHOLE: int,
                NUMBER: float,
                NUMBERS: lambda t: tuple(float(x) for x in t.split(",")),
            }[form](text)
        except ValueError:
            self.fail(f"{name}: '{text}' is not {form}")
        if (
            form != TEXT
            and least is not None
            and not all(least <= x <= most for x in (got if form == NUMBERS else (got,)))
        ):
            self.fail(f"{name}: {text} is outside {least:g} to {most:g}")
        return got

    def facts(self, known, words):
        got = {name: fact[1] for name, fact in known.items()}
        for word in words:
            name, eq, text = word.partition("=")
            if not eq or name not in known:
                self.fail(f"'{word}': known here: {', '.join(known)}")
            got[name] = self.value(name, known[name], text)
        for name in CHOICES.keys() & got.keys():
            if got[name] is not REQUIRED and got[name] not in CHOICES[name]:
                self.fail(f"{name}: '{got[name]}' is none of {', '.join(CHOICES[name])}")
        missing = [name for name, value in got.items() if value is REQUIRED]
        if missing:
            self.fail(f"{missing[0]}= is needed")
        return got

    def offer(self, rest):
        if len(rest) < 2 or rest[1] not in FORMS:
            self.fail(f"offer SECOND {'|'.join(FORMS)} [size=] [operation=]")
        at = self.value("offer", (NUMBER, 0, 0, 86400), rest[0]) * 1000
        facts = self.facts(
            dict(size=(NUMBER, FORMS[rest[1]], 0, 1000), operation=(TEXT, "", None, None)), rest[2:]
        )
        if rest[1] == "class" and not facts["operation"]:
            self.fail("operation= is needed")
        self.offers.append(Offer(at, rest[1], facts["size"], facts["operation"]))

    def trouble(self, rest, number):
        if len(rest) < 4 or rest[1] != "for" or rest[3] not in KINDS:
            self.fail(f"at SECOND for SECONDS {'|'.join(KINDS)} [fact=...]")
        at, span = (
            self.value(n, (NUMBER, 0, 0, 86400), t) * 1000 for n, t in (("at", rest[0]), ("for", rest[2]))
        )
        if not span:
            self.fail(f"{rest[3]} lasts no time")
        self.troubles.append(Trouble(rest[3], at, at + span, self.facts(KINDS[rest[3]], rest[4:]), number))

    def check(self):
        for trouble in self.troubles:
            self.line = trouble.nth
            for name, table in (
                ("operation", self.operations),
                ("tenant", self.tenants),
                ("zone", self.zones),
            ):
                if getattr(trouble, name, "") and getattr(trouble, name) not in table:
                    self.fail(f"{trouble.kind}: no {name} '{getattr(trouble, name)}'")
            if hasattr(trouble, "proxy") and trouble.proxy >= self.proxies:
                self.fail(f"{trouble.kind}: no proxy {trouble.proxy} among {self.proxies}")
            if trouble.at >= self.seconds * 1000:
                self.fail(f"{trouble.kind} begins after the day's end")
            if trouble.kind.startswith(("directory_", "tenant_gone", "tenant_moved")) and not self.directory:
                self.fail(f"{trouble.kind}: there is no 'directory' in this script")
            if trouble.kind.startswith("controller_") and not (
                self.release["hooks"] or self.release["standby"]
            ):
                self.fail(
                    f"{trouble.kind}: without 'release hooks=1' or 'standby=1' it would forget what it did"
                )
            if getattr(trouble, "to", None) and trouble.to not in self.tenants:
                self.fail(f"{trouble.kind}: no tenant '{trouble.to}' to move to")
            if hasattr(trouble, "member") and trouble.member >= self.tenants[trouble.tenant]["members"]:
                self.fail(
                    f"{trouble.kind}: '{trouble.tenant}' has {self.tenants[trouble.tenant]['members']} members"
                )
            if trouble.kind == "holder_kill" and trouble.duty not in self.held_by_one():
                self.fail(f"holder_kill: no duty '{trouble.duty}' in this script")
            for word in ("src", "dst", "who"):
                said = getattr(trouble, word, None)
                if (
                    said
                    and said.startswith(HOLDER)
                    and said.removeprefix(HOLDER) in self.held_by_one()
                    and trouble.kind != "clock"
                ):
                    continue
                if said and not self.parties(said):
                    self.fail(
                        f"{trouble.kind}: {word}={said}: known here: {', '.join(self.parties('all'))}, "
                        f"proxy, release, all, {', '.join([*self.zones, *(HOLDER + d for d in self.held_by_one())])}"
                    )
            if trouble.kind == "link" and not any(
                getattr(trouble, n)
                for n in ("cut", "reset", "ms", "jitter", "loss", "twice", "shuffle", "rate")
            ):
                self.fail("link: it does nothing")
            if trouble.kind == "slow_disk" and trouble.every and trouble.lasts > trouble.every:
                self.fail(f"slow_disk: lasts={trouble.lasts:g} of every={trouble.every:g} ms")
            if getattr(trouble, "build", 0) > 1 + len(self.offers):
                self.fail(f"{trouble.kind}: build {trouble.build} is never offered")
            for other in self.troubles:
                if (
                    other.kind in ENDS
                    and trouble.kind in ENDS
                    and other.nth < trouble.nth
                    and other.at < trouble.until
                    and trouble.at < other.until
                ):
                    both = self.hit(trouble) & self.hit(other)
                    if both:
                        self.fail(
                            f"{trouble.kind} strikes nodes {sorted(both)} that {other.kind} of line {other.nth} "
                            f"already has from {other.at / 1000:g} to {other.until / 1000:g}"
                        )
                if (
                    other is not trouble
                    and other.kind == trouble.kind == "kill"
                    and other.proxy == trouble.proxy
                    and other.at <= trouble.at < other.until
                ):
                    self.fail(f"proxy {trouble.proxy} is already down since line {other.nth}")
        self.line = 0
        if self.duties and self.duties["tenants"] and not self.directory:
            self.fail("duties tenants=1: there is no 'directory' in this script")
        unknown = [name for name in self.protected() if name not in self.operations]
        if unknown:
            self.fail(f"sites: protect={self.sites['protect']}: no operation '{unknown[0]}'")
        if self.sites and self.sites["return"] and not self.duties:
            self.fail("sites return=1: there is no 'duties' in this script")
        if self.duties and self.duties["electors"] > self.proxies:
            self.fail(f"duties: {self.duties['electors']} electors of {self.proxies} proxies")
        if not self.operations:
            self.fail("no operation")
        total = sum(op["share"] for op in self.operations.values())
        if abs(total - 1) > 1e-6:
            self.fail(f"the operations' shares come to {total:g}, not 1")

    # ---- what follows from it ----

    def during(self, kind, at):
        return [t for t in self.troubles if t.kind == kind and t.at <= at < t.until]

    def struck(self, trouble, count):
        """Which of `count` places a trouble with a share strikes: drawn once, by the script's seed and its line."""
        many = min(count, max(1, round(trouble.share * count))) if trouble.share > 0 else 0
        return set(host.chance(self.seed, 11, trouble.nth).permutation(count)[:many].tolist())

    def parties(self, word):
        """Names of the processes that a word of a fault means: one by its name, all of a role, the proxies of a zone, or all."""
        proxies = {f"proxy{n}": self.zones[n % len(self.zones)] for n in range(self.proxies)}
        names = [
            *proxies,
            "release.a",
            *(["release.b"] if self.release["standby"] else []),
            "kitchen",
            *(["tenants"] if self.directory and not (self.duties and self.duties["tenants"]) else []),
        ]
        return [
            n
            for n in names
            if word in (n, "all", n.partition(".")[0], "proxy" if n in proxies else n, proxies.get(n))
        ]

    def held_by_one(self):
        """Names of the duties that the proxies of this day settle among themselves."""
        return (
            [
                "seal",
                *["tenants"] * self.duties["tenants"],
                *["site-return"] * bool(self.sites and self.sites["return"]),
            ]
            if self.duties
            else []
        )

    def members(self):
        """[(id, its tenant line)] of all tenants that have members: what a directory holds."""
        return [(f"{name}-{n}", name) for name, t in self.tenants.items() for n in range(t["members"])]

    def hit(self, trouble):
        """Places of the fleet at rest that a trouble strikes, by its share and zone."""
        struck = (
            self.struck(trouble, self.fleet["nodes"])
            if hasattr(trouble, "share")
            else set(range(self.fleet["nodes"]))
        )
        zone = getattr(trouble, "zone", "")
        return {n for n in struck if not zone or self.zones[n % len(self.zones)] == zone}

    def power(self):
        """Work the whole fleet can do, ms of work a ms."""
        return self.fleet["nodes"] * self.fleet["cores"] * self.fleet["speed"]

    def protected(self):
        return [name for name in self.sites["protect"].split(",") if name] if self.sites else []

    def sites_told(self):
        """(zone, capacity in ms of work a ms, {operation: rate}) of each zone, as the settings have them."""
        for number, zone in enumerate(self.zones):
            nodes = len(range(number, self.fleet["nodes"], len(self.zones)))
            proxies = len(range(number, self.proxies, len(self.zones)))
            yield (
                zone,
                nodes * self.fleet["cores"] * self.fleet["speed"],
                {
                    name: self.sites["off"] * self.traffic["rate"] * op["share"] * proxies / self.proxies
                    for name, op in self.operations.items()
                },
            )

    def load(self):
        """Share of that which the traffic asks for."""
        mean = sum(op["share"] * op["work"] for op in self.operations.values())
        return self.traffic["rate"] / 1000 * mean / self.power()


def fleet_text(day):
    """The Fleet settings of a script, as protobuf text format."""
    from google.protobuf import text_format

    from .config import schema_pb2 as schema

    r, rules = day.rollout, day.rules
    fleet = schema.Fleet(
        zone=day.zones,
        proxies=day.proxies,
        may_signal=bool(rules["signal"]),
        may_duplicate=bool(rules["duplicate"]),
        retry_advice=rules["advice"],
        dispatch_cap=rules["sends"],
        cross_zone_price=rules["cross"],
        standstill=rules["standstill"],
        drain_grace=rules["drain_grace"],
        cold_share=day.fleet["cold"],
        warm_within=day.fleet["cold_for"],
        fall_multiple=rules["multiple"],
        overload_for=rules["overload_for"],
        over_share_value=0.1,
        tenant=[schema.Tenant(name=name, portion=t["portion"]) for name, t in day.tenants.items()],
        operation=[
            schema.Operation(
                name=name,
                effect=op["effect"],
                slo_time=op["slo"],
                time_limit=op["limit"],
                billed_value=op["value"],
                late_value=op["late"],
                window=op["window"],
                group=op["group"],
            )
            for name, op in day.operations.items()
        ],
        rollout=schema.Rollout(
            machine_share=r["shares"],
            cap=r["caps"],
            soak=r["soak"],
            window=r["window"],
            free=r["free"],
            by_operation=bool(r["by_operation"]),
            guarded=r["guarded"],
            on_votes=r["on"],
            back_votes=r["back"],
            vote_life=r["vote_life"],
            vote_allowance=r["allowance"],
            told_every=r["told_every"],
            tally_period=r["tally"],
            tally_share=r["tally_share"],
            drain=r["drain"],
        ),
    )
    if day.sites:
        fleet.site_fill, fleet.site_acts = day.sites["fill"], bool(day.sites["acts"])
        fleet.protect.extend(day.protected())
        for op in fleet.operation:
            op.work = day.operations[op.name]["work"]
        for zone, capacity, traffic in day.sites_told():
            fleet.site.add(
                zone=zone,
                capacity=capacity,
                traffic=[schema.Traffic(operation=o, rate=r) for o, r in traffic.items()],
            )
    return text_format.MessageToString(fleet)


def read(path):
    try:
        with open(path, encoding="utf-8") as f:
            return Day(f.read(), str(path))
    except (OSError, UnicodeDecodeError) as trouble:
        raise BadScript(f"{path}:1: cannot be read: {trouble}") from None
