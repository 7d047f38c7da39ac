"""The loss of a site at one proxy: what it sees goes to the cores (sites/monitor.py), what they say goes to the decisions as lists and to
clients as refusals. Nodes that answer nothing are asked whether they are there."""

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from .. import host
from ..interface import HOLD
from ..sites.plan import Sites
from ..sites.monitor import TICK, Monitor
from ..sites.shedding import Shedding
from ..wire import BadAnswer, http

PROBE_LIMIT = 250.0  # ms for a node's answer
AWAY_WHY = b"a site is lost and what is left has no room for this"


def planned(sites, mine, fleet):
    """Work a ms that this proxy is usually asked for: its part of what its zone's clients ask for."""
    zone = mine.zone or fleet.zone[0]
    mates = sum(m.zone == zone for m in mine.mate) or max(1.0, fleet.proxies / len(fleet.zone))
    return sites.work(sites.traffic.get(zone, {})) / mates


class AtProxy:
    """`kept` is the list held, `rounds` the round loop, `membership` the Membership or None."""

    def __init__(self, fleet, mine, facts, rounds, kept, membership, log, chance):
        self.rounds, self.kept, self.membership, self.log, self.chance = rounds, kept, membership, log, chance
        self.slo_times, self.ops, self.shedding = (
            [o.slo_time for o in facts.operations],
            [o.name for o in fleet.operation],
            None,
        )
        self.leading, self.refused, self.longest, self.probe_path = (
            lambda: False,
            0,
            facts.retry_advice,
            fleet.site_probe.encode(),
        )
        if fleet.site_acts:
            sites = Sites.of(fleet)
            self.shedding = Shedding(sites, self.ops, planned(sites, mine, fleet), TICK, host.now())
            rounds.refusal_for, rounds.status_for_balancer, rounds.withholds_vote = (
                self.turned_away,
                self.told_as,
                self.holds,
            )
        self.staged = lambda: None  # (answer, stage, since, cap, status, build, phase) as told last
        self.monitor = Monitor(
            list(fleet.zone), mine.zone or fleet.zone[0], facts.cold_share, facts.warm_within, self.shedding
        )
        self.detector = self.monitor.detector
        self.entries_for_decisions = self.monitor.entries_for_decisions
        self.orders_to_give = self.monitor.orders_to_give

    def entries(self):
        return [entry for entry, _ in self.kept.nodes.values()]

    def entry(self, addr):
        return self.kept.nodes[addr][0] if addr in self.kept.nodes else None

    def on_outcome(self, addr, op, status, took):
        """How a dispatch ended."""
        self.monitor.on_outcome(host.now(), self.entry(addr), status, took, self.slo_times[op])

    def tick(self):
        now, heard, standing = host.now(), {}, dict(alone=None, unheard=None)
        if self.membership:
            heard, standing = self.membership.core.by_zone(now), self.membership.core.standing(now)
        before = self.stages()
        told, moved, gone = self.monitor.tick(now, self.entries(), heard, standing, self.leading())
        for zone, state, evidence in told:
            self.log.warning("zone", zone=zone, state=state, evidence=evidence)
        told = self.staged()
        word = (
            self.shedding and told and self.monitor.stage_vote(now, told[1], told[5], told[6], self.entries())
        )
        if word:
            self.rounds.link.vote(
                *word, "a site that carries it is not whole" if word[2] == HOLD else "its sites are whole"
            )
        if not moved:
            return
        self.log.warning("site weights", weights=self.shedding.weights, before=before, refused=self.shares())
        self.rounds.put_event("listed", "changes", self.entries_for_decisions(self.entries()))
        for flight in list(self.rounds.flights.values()):
            # Nobody answers there: what may run again elsewhere goes there now, of the rest its client hears now.
            if self.monitor.zone_of(self.entry(flight.address)) in gone:
                flight.stop.set()

    def stages(self):
        return {name: ramp.stage.name for name, ramp in self.shedding.ramps.items()} if self.shedding else {}

    def shares(self):
        return {self.ops[op]: round(share, 3) for op, share in self.shedding.shares.items()}

    # ---- asked by the round loop ----

    def turned_away(self, op):
        """(why, ms until a client may come back) for what is refused now, or None."""
        self.shedding.on_request(op)
        if not self.shedding.refuses(op, self.chance.random()):
            return None
        self.refused += 1
        # The longest that clients heed, spread: it is seconds at the least until the site is back.
        return AWAY_WHY, self.longest * (0.5 + 0.5 * self.chance.random())

    def told_as(self, addr, status):
        return self.monitor.status_for_decisions(self.entry(addr), status)

    def holds(self, verdict, ver):
        return self.monitor.withholds_vote(verdict, ver, self.entries())

    # ---- greenlets ----

    def probes(self):
        out = [(self.entry(flight.address), flight.started_at) for flight in self.rounds.flights.values()]
        for zone, addr in self.monitor.to_probe(host.now(), self.entries(), out, self.chance.random):
            host.spawn(self.probe, zone, addr)

    def probe(self, zone, addr):
        """Asks a node, beside its queue, whether it is there: any answer says so."""
        begun, stream, fine = host.now(), None, False
        try:
            stream, reader = host.connect(addr, PROBE_LIMIT), http.AnswerReader(1 << 16)
            stream.send(
                http.request(
                    self.probe_path,
                    b"node",
                    [(b"connection", b"close"), (b"gannet-from", self.rounds.name)],
                    b"",
                    b"GET",
                ),
                PROBE_LIMIT,
            )
            while not reader.whole:
                data = stream.recv(4096, max(1.0, begun + 2 * PROBE_LIMIT - host.now()))
                reader.feed(data)
                if not data:
                    break
            fine = reader.whole
        except (OSError, host.Refused, host.Timeout, BadAnswer):
            pass
        finally:
            if stream:
                stream.close()
        self.monitor.on_probe(host.now(), zone, addr, fine, host.now() - begun)

    def run(self):
        """Not in step with other proxies: each begins at a moment of its own."""
        host.sleep(TICK * self.chance.random())
        while True:
            if self.shedding:
                self.probes()
            host.sleep(TICK)
            self.tick()

    def metrics(self):
        away = GaugeMetricFamily(
            "gannet_zone_away",
            "1 where this proxy takes the zone for lost, cut off or silent",
            labels=("zone",),
        )
        for name, gone in self.monitor.away().items():
            away.add_metric((name,), gone)
        yield away
        if self.shedding:
            weight = GaugeMetricFamily(
                "gannet_zone_weight",
                "part of its usual share of dispatches that the zone gets",
                labels=("zone",),
            )
            for name, part in self.shedding.weights.items():
                weight.add_metric((name,), part)
            yield weight
            yield CounterMetricFamily(
                "gannet_site_refused", "invocations refused as a site is lost", value=self.refused
            )
