"""A fleet of emulated nodes without I/O: places, effects, marks, and what a script's troubles do to them.

Two faces carry it: sockets (serve.py) and virtual time (lab/world.py). A face gives `clock()` (ms), `later(span, call,
*fields)`, `up(place, warm)`, `down(place, what, told)`, `report(place, delay)` and `note(place, what)`.
"""

from .. import host
from .model import Marks, Node, Shared

EFFECTS = {"idempotent": False, "fingerprinted": True, "side-effecting": True}


class Place:
    def __init__(self, slot, build, zone, cell):
        self.slot, self.build, self.zone, self.cell = slot, build, zone, cell
        self.at, self.incarnation, self.listener, self.node, self.streams = (
            "127.0.0.1:0",
            0,
            None,
            None,
            set(),
        )
        self.state, self.jobs, self.stuck, self.report = "down", {}, False, None


def served_row(place, job, ended, outcome, effect):
    """A dispatch that a server is through with, as records.TABLES has the columns of dispatches; `ended` in ms."""
    return (
        job.request,
        job.proxy,
        job.seq,
        job.op,
        job.mark,
        place.at,
        place.incarnation,
        place.build,
        place.zone,
        place.cell,
        job.came,
        job.began,
        ended,
        outcome,
        effect,
        job.work,
    )


class Fleet:
    def __init__(self, day, start):
        """`start` is the clock reading at which the script's day begins."""
        self.day, self.start, self.places, self.marks, self.shared = day, start, {}, {}, Shared()
        self.chance, self.over = host.chance(day.seed, 21), False
        self.zone_of = [day.zones[n % len(day.zones)] for n in range(day.proxies)]
        self.effects = {name: op["effect"] for name, op in day.operations.items()}
        self.timeline, self.lags = [], []  # (scripted ms, kind, begins, places), and how late each came
        self.shared_size = max((o.size for o in day.offers if o.form == "shared"), default=0.0)

    def now(self):
        return self.clock() - self.start

    def schedule_troubles(self):
        for trouble in self.day.troubles:
            if hasattr(self, "on_" + trouble.kind):
                self.later(trouble.at - self.now(), self.trouble, trouble, True)
                self.later(trouble.until - self.now(), self.trouble, trouble, False)

    def equip(self, place, warm):
        """A new process at its place: its incarnation, its node, the troubles that are on."""
        fleet, rules = self.day.fleet, self.day.rules
        bad = self.day.offers[place.build - 2] if 2 <= place.build < 2 + len(self.day.offers) else None
        place.incarnation += 1
        spread = 1 + fleet["spread"] * (2 * host.chance(self.day.seed, 31, place.slot).random() - 1)
        place.node = Node(
            fleet["cores"],
            fleet["speed"] * spread,
            fleet["queue"],
            fleet["cold"],
            fleet["cold_for"],
            rules["multiple"],
            rules["overload_for"],
            self.clock(),
            warm,
            (bad.form, bad.size, bad.operation) if bad else ("", 0.0, ""),
            host.chance(self.day.seed, 41, place.slot, place.incarnation),
            fleet["warm_by"],
            fleet["thrash"],
            fleet["connections"],
        )
        place.state, place.jobs = "up", {}
        self.note(place, "up")
        for trouble in self.day.troubles:
            if trouble.at <= self.now() < trouble.until and trouble.kind not in ("crash", "drain"):
                self.trouble(trouble, True, place)

    def told_timeline(self):
        """Scripted events that happened, in time order; those of one moment by name, as clocks do not order them."""
        return sorted(self.timeline)

    # ---- work ----

    def met(self, place, job):
        """A job reaches its node: (verdict, jobs that began)."""
        now, node = self.clock(), place.node
        if job.effect == "fingerprinted" and self.group(place, job.op).known(job.mark, now):
            job.work = 1.0  # a repeat of what has had its effect is known and dropped
        if node.form == "shared":
            self.shared.lately.append(now)
        base = node.slow
        node.slow = base * self.shared.slow(now, self.shared_size, self.day.traffic["rate"])
        met = node.arrive(now, job)
        node.slow = base
        return met

    def through(self, place, job):
        """A running job ends: (failed, had its effect, jobs that began)."""
        now, node = self.clock(), place.node
        failed, begun = node.finish(now, job)
        if self.day.fleet["errors"] and node.chance.random() < self.day.fleet["errors"]:
            failed = True
        effect, marks = False, self.group(place, job.op)
        if EFFECTS[job.effect] and (not failed or not job.fails and node.chance.random() < 0.5):
            effect = True
            if job.effect == "fingerprinted":
                effect = not marks.known(job.mark, now)
                if effect:
                    marks.keep(job.mark, now, self.day.operations[job.op]["window"])
        return failed, effect, begun

    def group(self, place, op):
        kind = self.day.operations.get(op, {}).get("group", "all")
        key = (op, place.zone, place.cell if kind == "cell" else -1) if kind != "all" else (op,)
        return self.marks.setdefault(key, Marks())

    def lag(self, place, proxy):
        """What a slow link adds to one way between a node and a proxy (by number), ms."""
        home, here, more = (
            self.zone_of[proxy] if 0 <= proxy < len(self.zone_of) else None,
            self.day.zones[place.zone],
            0.0,
        )
        for trouble in self.day.during("slow_link", self.now()):
            if home and home != here and trouble.zone in (home, here):
                more += trouble.ms / 2
        return more

    def severed(self, place, proxy):
        """True while a node and a proxy (by number) do not hear each other, as one of them lives in a zone that is cut off."""
        home, here = (
            self.zone_of[proxy] if 0 <= proxy < len(self.zone_of) else None,
            self.day.zones[place.zone],
        )
        return (
            bool(home)
            and home != here
            and any(t.zone in (home, here) for t in self.day.during("sever", self.now()))
        )

    def load(self, place):
        """(waiting, running) as it reports them: refreshed now and then, a little noisy, false where stuck."""
        if place.stuck:
            return 0, 0  # a false report: idle, whatever it holds
        fleet, now = self.day.fleet, self.clock()
        if not place.report or now - place.report[0] >= fleet["report_every"]:
            noise = (
                1 + fleet["report_noise"] * (2 * place.node.chance.random() - 1)
                if fleet["report_noise"]
                else 1
            )
            place.report = now, round(len(place.node.waiting) * noise), round(len(place.node.running) * noise)
        return place.report[1:]

    # ---- troubles of the script ----

    def trouble(self, trouble, begins, only=None):
        if not hasattr(self, "on_" + trouble.kind) or self.over:
            return
        base, struck = self.day.fleet["nodes"], self.day.hit(trouble)
        if only is None:
            at = trouble.at if begins else trouble.until
            self.timeline.append((at, trouble.kind, begins, sorted(struck)))
            self.lags.append(self.now() - at)
        for place in [only] if only else list(self.places.values()):
            if (
                place.slot % base in struck
                and place.node
                and getattr(trouble, "build", 0) in (0, place.build)
            ):
                getattr(self, "on_" + trouble.kind)(trouble, place, begins)
        if trouble.kind == "shared_slow":
            self.shared.x = trouble.x if begins else 1.0

    def on_crash(self, trouble, place, begins):
        if begins:
            self.down(place, "crashed", self.day.fleet["told"])
        elif place.state == "down" and place.slot in self.places:
            self.later(self.day.fleet["boot"], self.up, place)

    def on_vanish(self, trouble, place, begins):
        place.node.silent = begins
        self.note(place, "silent" if begins else "heard")

    def on_pause(self, trouble, place, begins):
        """It stands still for a while, again and again, then works through what it holds, waited for or not."""
        node = place.node

        def still(on):
            if place.node is not node:
                return
            node.silent = on and self.now() < trouble.until
            if on and node.silent:
                self.later(trouble.ms, still, False)
            elif self.now() + trouble.every < trouble.until:
                self.later(trouble.every, still, True)

        if begins:
            still(True)

    def on_leak(self, trouble, place, begins):
        """Each job leaves a little behind; only a new process is free of it."""
        rate = self.day.traffic["rate"] / self.day.fleet["nodes"] / 1000
        place.node.leak_per = (
            (trouble.x - 1) / max(1.0, rate * (trouble.until - trouble.at)) if begins else 0.0
        )

    def on_slow(self, trouble, place, begins):
        place.node.slow *= trouble.x if begins else 1 / trouble.x

    def on_neighbour(self, trouble, place, begins):
        """A greedy program takes the machine in bursts, every so often, for half the time."""
        node = place.node

        def swing(high):
            if self.now() >= trouble.until or place.node is not node:
                high = False
            node.slow *= trouble.x if high else 1.0 if node.pulsed is False else 1 / trouble.x
            node.pulsed = high
            if self.now() < trouble.until and place.node is node:
                self.later(trouble.every / 2, swing, not high)

        if begins:
            node.pulsed = False
            swing(True)

    def on_fast_errors(self, trouble, place, begins):
        place.node.fail_fast = trouble.p if begins else 0.0

    def on_heavy_tail(self, trouble, place, begins):
        place.node.tail[trouble.operation] = (trouble.p, trouble.x) if begins else (0.0, 1.0)

    def on_slow_class(self, trouble, place, begins):
        place.node.extra[trouble.operation] = trouble.ms if begins else 0.0

    def on_false_reports(self, trouble, place, begins):
        place.stuck = begins

    def on_shared_slow(self, trouble, place, begins):
        pass  # of the fleet, not of a place

    def on_drain(self, trouble, place, begins):
        if begins and place.state == "up":
            place.state = "draining"
            self.note(place, "draining")
            self.report(place, 0)
            self.later(self.day.rollout["drain"], self.renew, place)

    def renew(self, place):
        """Drained: stopped, then back at another address."""
        self.down(place, "stopped", 0)
        place.at = "127.0.0.1:0"
        self.later(self.day.fleet["boot"], self.up, place)
