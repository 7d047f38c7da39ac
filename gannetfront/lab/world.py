"""A day in virtual time: the real decisions behind the proxy's own carrier, the kitchen's own nodes, the controller's own
stages, the clients' own retries. Only time and the wire are emulated here, by one heap of events.

Events of one moment are played in the order in which they were made: the same script and seed give the same day, byte
for byte. A dispatch costs a fixed number of events, an idle proxy next to none: cost grows with invocations.
"""

from heapq import heappop, heappush

from .. import host
from ..audit.rules import Judge
from ..balance import Balancer
from ..config import load, schema_pb2 as schema
from ..interface import CANCELLED, DRAINING, ERROR, FULL, GONE, READY, RESET, SUCCEEDED, TIMEOUT, UNCONNECTED
from ..kitchen.fleet import Fleet, Place, served_row
from ..kitchen.model import REFUSED, TOPPLED, Job
from ..load.arrivals import draw
from ..load.retry import LINGER, Intent
from ..proxy.carrier import Carrier
from ..release.stages import Stages
from ..script import fleet_text

LIST_EVERY = 100.0  # changes of the list are told together
MARGIN = 20.0  # the proxy's answer margin
CONTROL_EVERY = 25.0


class Shell:
    """One proxy: what the carrier needs, in virtual time."""

    def __init__(self, world, number, make):
        self.world, self.number, self.name, self.make = world, number, f"proxy/{number}", make
        self.zone, self.up, self.poked, self.wakes = number % len(world.day.zones), False, False, -1.0
        self.flights, self.lives, self.carrier, self.kept, self.news_at = {}, 0, None, {}, 0.0

    def start(self, kept):
        """A new process, with the list its disk kept."""
        self.lives += 1
        seed = self.world.day.seed * 1000 + self.number + 7919 * (self.lives - 1)
        self.carrier, self.up, self.flights, self.poked = (
            Carrier(lambda: self.make(self.number, seed), self),
            True,
            {},
            False,
        )
        self.tell("listed", "kept", kept)
        if not self.cut():
            self.tell("listed", "whole", tuple(self.world.entries.values()))
            self.tell("stage_told", False, *self.world.stage_facts())

    def cut(self):
        world = self.world
        return any(self.number in world.struck(t) for t in world.day.during("cut", world.now()))

    def tell(self, *event):
        if self.up:
            if event[0] == "listed":
                self.keep(*event[1:])
            self.carrier.events.append(event)
            self.poke()

    def news(self, delay, call, *fields):
        """From the controller, in the order it was said, as one stream carries it: an answer that overtook the news
        behind it would bring back a cap that no longer holds."""
        self.news_at = max(self.news_at, self.world.time + delay)
        self.world.later(self.news_at - self.world.time, call, *fields)

    def keep(self, kind, entries):
        """The list as its disk holds it."""
        if kind != "changes":
            self.kept = {}
        self.kept.update((e[0], e) for e in entries)
        for e in entries:
            if e[5] == GONE:
                self.kept.pop(e[0], None)

    def poke(self):
        if not self.poked:
            self.poked = True
            self.world.later(0.0, self.step, self.lives)

    def step(self, life):
        if life != self.lives or not self.up:
            return
        self.poked = False
        self.carrier.step(self.world.time)
        if self.carrier.events:
            self.poke()
        due = self.carrier.next_timer_due()
        if due is not None and not self.world.time < self.wakes <= due:
            self.wakes = max(due, self.world.time + 0.001)
            self.world.later(self.wakes - self.world.time, self.wake, life)

    def wake(self, life):
        if life == self.lives:
            self.poke()

    # ---- decisions carried out ----

    def launch(self, held, seq, addr, limit):
        flight = self.flights[held.invocation_id, seq] = self.world.FLIGHT(
            self, held, seq, addr, self.world.time
        )
        self.world.later(limit, flight.land, TIMEOUT)
        self.world.send(flight)

    def cancel_dispatch(self, ident, seq):
        flight = self.flights.get((ident, seq))
        if flight:
            flight.land(CANCELLED)

    def on_answer(self, held, kind, facts):
        if kind != "gone":
            held.context.answered(kind, *facts)

    def vote(self, stage, ver, verdict):
        world = self.world
        if self.cut():
            self.tell("stage_told", True, stage, 0.0, 0.0, ERROR, ver, 0)
        else:
            world.later(world.wire(), world.control, "vote", self.number, self.lives, stage, ver, verdict)

    def signal(self, target, payload):
        world = self.world
        for peer in world.proxies if target == "*" else [world.proxies[int(target)]]:
            if peer is not self and world.chance.random() >= world.loss:
                world.later(world.wire(), peer.tell, "peer", self.number, payload)

    def reload(self):
        self.tell("listed", "whole", tuple(self.world.entries.values()))

    def close_idle(self, addr):
        pass

    def told_as(self, flight, status):
        """As the decisions are to hear of it."""
        return status

    def log_decision(self, line):
        self.world.lines.append((self.world.time, self.number, line))


class Flight:
    def __init__(self, shell, held, seq, addr, begun):
        self.shell, self.held, self.seq, self.addr, self.begun = shell, held, seq, addr, begun
        self.life, self.over, self.job, self.place = shell.lives, False, None, None

    def land(self, status, load=None):
        """The first outcome stands; one that ends the wait here closes the connection, which its node sees."""
        if self.over or self.life != self.shell.lives:
            return
        self.over = True
        world, shell = self.shell.world, self.shell
        del shell.flights[self.held.invocation_id, self.seq]
        if status in (TIMEOUT, CANCELLED) and self.job:
            world.later(world.wire(), world.drop, self.place, self.job)
        if status == SUCCEEDED:
            shell.carrier.finish(self.held, SUCCEEDED)
        shell.carrier.report_outcome(
            self.held,
            self.seq,
            shell.carrier.generation,
            self.addr,
            shell.told_as(self, status),
            world.time - self.begun,
            load or {},
        )
        shell.poke()


class Try:
    """One try of a client, at one proxy."""

    def __init__(self, world, intent):
        self.world, self.intent, self.sent = world, intent, world.time
        self.patience, self.over, self.held = intent.patience(world.time), False, None
        a = self.arrival = intent.arrival
        self.shell, self.request = world.proxies[a.proxy], f"{a.nth}.{intent.nth}"
        if not self.shell.up:
            self.finish("unreachable")
            return
        world.later(world.near, self.arrive, self.shell.lives)
        if a.leaves is not None:
            world.later(min(self.patience, a.leaves), self.leave)
        world.later(self.patience + LINGER, self.finish, "none")

    def arrive(self, life):
        if life != self.shell.lives:
            self.finish("reset")
        elif not self.over:
            a, world = self.arrival, self.world
            left = max(0.0, min(self.patience, self.intent.op["limit"]) - MARGIN - world.near)
            self.held = self.shell.carrier.accept(
                world.op_of[a.operation],
                world.tenant_of.get(a.tenant.rpartition("-")[0] or a.tenant, world.tenant_of.get(a.tenant, 0))
                if a.tenant
                else 0,
                a.key or None,
                world.time + left,
                left,
                self,
            )
            self.shell.poke()

    def leave(self):
        if not self.over:
            self.finish("left")
            if self.held and self.shell.up:
                self.shell.carrier.abandon(self.held)
                self.shell.poke()

    def answered(self, kind, *facts):
        self.world.later(self.world.near, self.finish, kind, facts[0] if kind == "throttled" else 0.0)

    def killed(self):
        self.finish("reset")

    def finish(self, answer, advice=0.0):
        if self.over:
            return
        self.over = True
        world, a = self.world, self.arrival
        world.tries.append(
            (
                self.request,
                str(a.nth),
                a.proxy,
                a.operation,
                a.tenant,
                world.mark(a),
                a.due,
                self.sent,
                self.patience,
                world.time,
                answer,
                0,
                advice,
                self.intent.nth,
                0,
            )
        )
        wait = self.intent.again(world.time, answer, advice)
        if wait is not None:
            world.later(wait, world.TRY, world, self.intent)


class World(Fleet):
    SHELL, FLIGHT, TRY = Shell, Flight, Try

    def __init__(self, day, policy=None, near=0.1, same=0.3, cross=1.0, jitter=0.2, loss=0.0):
        """`policy(seed, deployment)` makes what decides (default: the Balancer). `near`, `same`, `cross` are one-way
        times in ms to a client, within a zone and between zones; `loss` of datagrams."""
        super().__init__(day, 0.0)
        self.time, self.heap, self.made, self.near, self.loss = 0.0, [], 0, near, loss
        self.same, self.cross, self.jitter = same, cross, jitter
        self.facts = load.parse(schema.Fleet, fleet_text(day), day.file)
        self.op_of = {name: n for n, name in enumerate(day.operations)}
        self.tenant_of = {name: n for n, name in enumerate(day.tenants)}
        self.ops, self.chance = list(day.operations), host.chance(day.seed, 71)
        make = policy or Balancer
        deployments = {}

        def one(number, seed):
            zone = day.zones[number % len(day.zones)]
            deployments.setdefault((zone, number), load.deployment(self.facts, number, zone, 5.0))
            return make(seed, deployments[zone, number])

        self.proxies = [self.SHELL(self, n, one) for n in range(day.proxies)]
        rollout = load.deployment(self.facts, 0, "", 1.0).rollout
        rollout.__dict__["vote_allowance"] = self.facts.rollout.vote_allowance
        self.stages = Stages(rollout, day.fleet["nodes"], len(day.zones), day.fleet["cell"])
        self.drain = day.rollout["drain"]
        self.entries, self.listed_as, self.changes, self.controls, self.strikes = {}, {}, [], [], {}
        self.tries, self.served, self.lives, self.told, self.events, self.lines = [], [], [], [], [], []
        self.story, self.by_addr, self.sampled = [], {}, {}

    # ---- time ----

    def clock(self):
        return self.time

    def later(self, span, call, *fields):
        self.made += 1
        heappush(self.heap, (self.time + max(0.0, span), self.made, call, fields))

    def wire(self, zone=None, other=None):
        base = self.cross if zone != other else self.same
        return base * (1 + self.jitter * self.chance.random())

    def run(self):
        """Plays the day to its end and a little on, until all is answered."""
        day, end = self.day, self.day.seconds * 1000
        for shell in self.proxies:
            shell.start(())
            self.events.append((0.0, "proxy started", str(shell.number), ""))
        self.stages.round(0.0, [("begin",)], self)
        self.flush_list()
        self.schedule_troubles()
        for trouble in day.troubles:
            if trouble.kind == "kill":
                self.later(trouble.at, self.kill, trouble.proxy, trouble.until - trouble.at)
            elif trouble.kind == "balancer_roll":
                struck = sorted(day.struck(trouble, day.proxies))
                step = (trouble.until - trouble.at) / max(1, len(struck))
                for nth, n in enumerate(struck):
                    self.later(trouble.at + nth * step, self.kill, n, 0.5 * step)
            elif trouble.kind == "cut":
                self.later(trouble.until - self.time + 1.0, self.resume, trouble)
        for nth, offer in enumerate(day.offers):
            self.later(offer.at, self.control, "offered", nth + 2)
        self.later(CONTROL_EVERY, self.beat)
        self.later(LIST_EVERY, self.list_beat)
        if day.rollout["tally"]:
            self.later(day.rollout["tally"], self.tally)
        arrivals = draw(day)
        chance = host.chance(day.seed, 61)
        for arrival in arrivals:
            self.later(arrival.due, self.arrive, arrival, chance)
        end += max(op["limit"] for op in day.operations.values()) + 2 * LINGER
        while self.heap and self.heap[0][0] <= end:
            self.time, _, call, fields = heappop(self.heap)
            call(*fields)
        for place in self.places.values():
            for job in list(place.jobs.values()):
                self.row(place, job, "lost" if job.began is None else "running", False)
        return self

    def arrive(self, arrival, chance):
        self.TRY(self, Intent(self.day, arrival, 0.0, chance))

    def mark(self, arrival):
        return f"m{arrival.nth}" if self.effects[arrival.operation] == "fingerprinted" else ""

    def struck(self, trouble):
        key = trouble.nth, trouble.kind
        if key not in self.strikes:
            self.strikes[key] = self.day.struck(trouble, self.day.proxies)
        return self.strikes[key]

    # ---- proxies die and come back ----

    def kill(self, n, down):
        shell = self.proxies[n]
        kept, held = shell.kept, list(shell.carrier.held.values())
        shell.up, shell.lives = False, shell.lives + 1
        self.events.append((self.time, "proxy killed", str(n), ""))
        for one in held:
            one.context.killed()
        for flight in list(shell.flights.values()):
            if flight.job:
                self.later(self.wire(), self.drop, flight.place, flight.job)
        self.later(down, self.revive, shell, tuple(kept.values()))

    def revive(self, shell, kept):
        self.events.append((self.time, "proxy started", str(shell.number), ""))
        shell.start(kept)
        self.tell_proxy(shell)

    # ---- the wire to nodes ----

    def send(self, flight):
        place = self.by_addr.get(flight.addr)
        lag = self.lag(place, flight.shell.number) if place else 0.0
        self.later(
            self.wire(flight.shell.zone, place.zone if place else None) + lag, self.reach, flight, place, lag
        )

    def reach(self, flight, place, lag):
        shell = flight.shell
        if flight.over:
            return  # called off before it left its proxy's machine
        if place is None or place.state == "down" or place.at != flight.addr:
            self.later(self.same, flight.land, UNCONNECTED)
            return
        held = flight.held
        a = held.context.arrival
        job = Job(
            held.context.request,
            shell.name,
            flight.seq,
            a.operation,
            self.effects[a.operation],
            self.mark(a),
            a.work,
            self.time,
        )
        job.flight, job.lag = flight, lag
        flight.job, flight.place = job, place
        if place.node.silent or self.severed(place, shell.number):
            place.jobs[id(job)] = job
            self.later(50.0, self.heard, place, place.node, job)
            return
        self.meet(place, job)

    def heard(self, place, node, job):
        """A silent node reads what was sent once it is heard again."""
        if id(job) not in place.jobs or place.node is not node:
            return
        if node.silent or self.severed(place, job.flight.shell.number):
            self.later(50.0, self.heard, place, node, job)
        else:
            self.meet(place, job)

    def meet(self, place, job):
        if self.day.fleet["connections"]:
            # Kept open for as long as the proxies keep theirs: whoever sent within ten seconds.
            place.streams = (
                {n: t for n, t in place.streams.items() if t > self.time - 10000} if place.streams else {}
            )
            place.streams[job.proxy] = self.time
            place.node.connected = len(place.streams)
        verdict, begun = self.met(place, job)
        place.jobs[id(job)] = job
        if verdict == REFUSED:
            del place.jobs[id(job)]
            self.row(place, job, "refused", False)
            self.reply(place, job, FULL)
        elif verdict == TOPPLED:
            self.down(place, "toppled", self.day.fleet["told"])
        for one in begun:
            self.later(one.ends - self.time, self.finish, place, place.node, one)

    def reply(self, place, job, status):
        if self.severed(place, job.flight.shell.number):
            self.later(50.0, self.reply, place, job, status)
            return
        queue, inflight = self.load(place)
        self.later(
            self.wire(place.zone, job.flight.shell.zone) + job.lag,
            job.flight.land,
            status,
            {"queue": float(queue), "inflight": float(inflight)},
        )

    def finish(self, place, node, job):
        if place.node is not node or id(job) not in place.jobs:
            return
        if node.silent:
            self.later(50.0, self.finish, place, node, job)
            return
        del place.jobs[id(job)]
        failed, effect, begun = self.through(place, job)
        self.row(place, job, "error" if failed else "ok", effect)
        self.reply(place, job, ERROR if failed else SUCCEEDED)
        for one in begun:
            self.later(one.ends - self.time, self.finish, place, node, one)

    def drop(self, place, job):
        if id(job) not in place.jobs:
            return
        stops = self.day.fleet["cancelled"] == "stops"
        never = place.node.drop(job, stops)
        if never or stops:
            del place.jobs[id(job)]
            self.row(place, job, "cancelled", False)
            for one in place.node.begin(self.time):
                self.later(one.ends - self.time, self.finish, place, place.node, one)

    def row(self, place, job, outcome, effect):
        self.served.append(served_row(place, job, self.time, outcome, effect))
        if (
            self.day.rollout["tally"]
            and outcome in ("ok", "error")
            and (self.chance.random() < self.day.rollout["tally_share"])
        ):
            sums = self.sampled.setdefault((place.build, self.op_of[job.op]), [0, 0, 0.0])
            sums[0] += 1
            sums[1] += outcome == "error"
            sums[2] += self.time - job.came if outcome == "ok" else 0.0

    # ---- lives of nodes ----

    def up(self, place, warm=False):
        if place.state != "down" or self.places.get(place.slot) is not place:
            return
        if place.at == "127.0.0.1:0":
            place.at = f"10.{place.slot >> 8}.{place.slot & 255}.{place.incarnation % 200}:7000"
            self.by_addr[place.at] = place
        self.equip(place, warm)
        self.report(place, 0 if warm else self.day.fleet["told"])

    def note(self, place, what):
        node = place.node
        self.lives.append(
            (
                self.time,
                place.at,
                place.slot,
                place.incarnation,
                place.build,
                place.zone,
                place.cell,
                what,
                node.cores * node.speed,
                1.0 if node.warm else node.cold,
                0.0 if node.warm else node.cold_for,
            )
        )

    def down(self, place, what, told):
        if place.state == "down":
            return
        place.state = "down"
        for job in list(place.jobs.values()):
            self.row(place, job, "lost", False)
            self.later(self.same, job.flight.land, RESET)
        place.jobs = {}
        self.note(place, what)
        self.report(place, told)

    def report(self, place, delay):
        state = {"up": READY, "draining": DRAINING}.get(place.state, GONE)
        born = 0.0 if place.node.warm else max(0.001, place.node.born)
        entry = (place.at, place.zone, place.build, 0, place.cell, state, 1.0, born)
        self.later(delay, self.reported, place.slot, place.incarnation, entry)

    def reported(self, slot, incarnation, entry):
        addr, known = entry[0], self.listed_as.get(slot)
        if known and known[1] > incarnation:
            return
        if known and known[0] != addr and known[0] in self.entries:
            old = self.entries.pop(known[0])
            self.changes.append(((*old[:5], GONE, *old[6:]), known[1]))
        self.listed_as[slot] = addr, incarnation
        if entry[5] == GONE:
            self.entries.pop(addr, None)
            self.control("gone", slot)
        else:
            self.entries[addr] = entry
            self.control("node", slot, entry[5] == READY)
        self.changes.append((entry, incarnation))

    def late(self):
        return max([t.ms for t in self.day.during("report_late", self.now())], default=0.0)

    def list_beat(self):
        self.flush_list()
        self.later(LIST_EVERY, self.list_beat)

    def flush_list(self):
        if self.changes:
            changes, self.changes = self.changes, []
            for shell in self.proxies:
                if shell.up and not shell.cut():
                    shell.news(self.late(), self.tell_list, shell, changes, shell.lives)

    def tell_list(self, shell, changes, life):
        if life == shell.lives and shell.up:
            shell.tell("listed", "changes", tuple(entry for entry, _ in changes))
            for e, incarnation in changes:
                self.told.append(
                    (self.time, str(shell.number), "node", False, 0, e[0], incarnation, e[2], e[5], 0, 0.0, 0)
                )

    def resume(self, trouble):
        """After a cut: what was missed, as a whole list, and the stage."""
        for n in sorted(self.struck(trouble)):
            if self.proxies[n].up and not self.proxies[n].cut():
                self.tell_proxy(self.proxies[n])

    def tell_proxy(self, shell):
        if shell.cut():
            return
        shell.tell("listed", "whole", tuple(self.entries.values()))
        self.told.append((self.time, str(shell.number), "whole", True, 0, "", 0, 0, "", 0, 0.0, 0))
        of = {addr: incarnation for addr, incarnation in self.listed_as.values()}
        for e in self.entries.values():
            self.told.append(
                (self.time, str(shell.number), "node", True, 0, e[0], of.get(e[0], 0), e[2], e[5], 0, 0.0, 0)
            )
        self.tell_stage(shell, shell.lives)

    # ---- the controller ----

    def control(self, *event):
        self.controls.append(event)

    def beat(self):
        """The controller's round: what came in since the last."""
        events, self.controls = self.controls, []
        self.stages.round(self.time, events, self)
        self.later(CONTROL_EVERY, self.beat)

    def place(self, slot, ver, zone, cell, warm):
        place = self.places[slot] = Place(slot, ver, zone, cell)
        boot = 0.0 if warm else self.day.fleet["boot"] * (0.7 + 0.6 * self.chance.random())
        if warm:
            self.up(place, True)
        else:
            self.later(boot, self.up, place)

    def remove(self, slot):
        place = self.places.get(slot)
        if place and place.state == "up":
            place.state = "draining"
            self.note(place, "draining")
            self.report(place, 0)
            self.later(self.drain + self.late(), self.removed, place)
        elif place:
            self.removed(place)

    def removed(self, place):
        if place.node:
            self.down(place, "stopped", 0)
        self.places.pop(place.slot, None)
        self.control("gone", place.slot)

    def stage_facts(self):
        s = self.stages
        return s.stage, max(0.0, self.time - s.entered_at), s.cap, SUCCEEDED, s.version, s.phase

    def stage(self):
        for shell in self.proxies:
            if shell.up and not shell.cut():
                shell.news(self.late() + self.wire(), self.tell_stage, shell, shell.lives, self.stage_facts())

    def tell_stage(self, shell, life, facts=None):
        if life == shell.lives and shell.up:
            facts = facts or self.stage_facts()
            shell.tell("stage_told", False, *facts)
            self.told.append(
                (
                    self.time,
                    str(shell.number),
                    "stage",
                    False,
                    0,
                    "",
                    0,
                    facts[4],
                    "",
                    facts[0],
                    facts[2],
                    facts[5],
                )
            )

    def answer(self, proxy, life, status):
        shell, facts = self.proxies[proxy], self.stage_facts()
        if life == shell.lives:
            shell.news(self.wire(), shell.tell, "stage_told", True, *facts[:3], status, *facts[4:])

    def log(self, what, facts):
        if what != "vote":
            self.story.append((self.time, what, dict(facts)))

    def tally(self):
        rows, self.sampled = self.sampled, {}
        for (ver, op), (n, bad, taken) in sorted(rows.items()):
            for shell in self.proxies:
                shell.news(self.late(), shell.tell, "tally", n, 0.0, bad, taken / max(1, n - bad), op, ver)
        self.later(self.day.rollout["tally"], self.tally)

    # ---- what crossed the wire, as the audit reads it ----

    def verdict(self):
        """The five rules on this day: {rule: (checked, stories)}. The wire here takes under a millisecond."""
        return Judge(
            self.facts, *map(self.rows, ("tries", "dispatches", "nodes", "told", "events")), 20.0, 1.0
        ).verdict()

    def rows(self, name):
        from ..records import NAMES

        source = dict(
            tries=self.tries, dispatches=self.served, nodes=self.lives, told=self.told, events=self.events
        )[name]
        return [dict(zip(NAMES[name], row)) for row in source]
