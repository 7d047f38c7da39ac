"""Site monitoring at one proxy: feeds the monitor (sites/monitor.py) and applies what it decides, by changed
lists for the decisions, refusals to clients, votes and cancelled dispatches. Probes the nodes of zones that
do not respond.
"""

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from .. import host
from ..interface import HOLD
from ..sites.plan import Sites
from ..sites.monitor import TICK, Monitor
from ..sites.shedding import Shedding
from ..wire import BadAnswer, http

PROBE_TIMEOUT = 250.0  # ms to connect, and to send; twice that for the whole probe
REFUSAL_REASON = b"a site is lost and what is left has no room for this"


def planned_work(sites, mine, fleet):
    """Work, in ms a ms, that this proxy is usually asked for: an even part of its zone's traffic."""
    zone = mine.zone or fleet.zone[0]
    zone_proxies = sum(m.zone == zone for m in mine.mate) or max(1.0, fleet.proxies / len(fleet.zone))
    return sites.work(sites.traffic.get(zone, {})) / zone_proxies


class ProxySites:
    """Site monitoring of one proxy: `node_list` is its node list, `rounds` the round loop, `membership` the
    Membership or None, `random` a random generator. `leading()` is true while this proxy leads the return;
    `staged()` is the last stage received."""

    def __init__(self, fleet, mine, facts, rounds, node_list, membership, log, random):
        self.rounds = rounds
        self.node_list = node_list
        self.membership = membership
        self.log = log
        self.random = random
        self.slo_times = [o.slo_time for o in facts.operations]
        self.operation_names = [o.name for o in fleet.operation]
        self.shedding = None
        self.leading = lambda: False
        self.refused = 0
        self.retry_advice = facts.retry_advice
        self.probe_path = fleet.site_probe.encode()
        if fleet.site_acts:
            sites = Sites.of(fleet)
            self.shedding = Shedding(
                sites, self.operation_names, planned_work(sites, mine, fleet), TICK, host.now()
            )
            rounds.refusal_for = self.refusal
            rounds.status_for_balancer = self.status_for_decisions
            rounds.withholds_vote = self.withholds_vote
        self.staged = lambda: None  # (answer, stage, since, cap, status, build, phase) as last received
        self.monitor = Monitor(
            list(fleet.zone), mine.zone or fleet.zone[0], facts.cold_share, facts.warm_within, self.shedding
        )
        self.detector = self.monitor.detector
        self.entries_for_decisions = self.monitor.entries_for_decisions
        self.orders_to_give = self.monitor.orders_to_give

    def entries(self):
        """All entries of the node list."""
        return [entry for entry, _ in self.node_list.nodes.values()]

    def entry(self, address):
        """The list's entry of a node, or None."""
        return self.node_list.nodes[address][0] if address in self.node_list.nodes else None

    def on_outcome(self, address, operation, status, took):
        """Records how a dispatch ended, after `took` ms."""
        self.monitor.on_outcome(host.now(), self.entry(address), status, took, self.slo_times[operation])

    def tick(self):
        """Logs changed states, votes on the trial if need be, and applies changed weights."""
        now, heard, standing = host.now(), {}, dict(alone=None, unheard=None)
        if self.membership:
            heard, standing = self.membership.core.by_zone(now), self.membership.core.connectivity(now)
        before = self.stages()
        changes, weights_changed, stopped = self.monitor.tick(
            now, self.entries(), heard, standing, self.leading()
        )
        for zone, state, evidence in changes:
            self.log.warning("zone", zone=zone, state=state, evidence=evidence)
        last_stage = self.staged()
        pending_vote = (
            self.shedding
            and last_stage
            and self.monitor.stage_vote(now, last_stage[1], last_stage[5], last_stage[6], self.entries())
        )
        if pending_vote:
            self.rounds.link.vote(
                *pending_vote,
                "a site that carries it is not whole" if pending_vote[2] == HOLD else "its sites are whole",
            )
        if not weights_changed:
            return
        self.log.warning("site weights", weights=self.shedding.weights, before=before, refused=self.shares())
        self.rounds.put_event("listed", "changes", self.entries_for_decisions(self.entries()))
        for flight in list(self.rounds.flights.values()):
            # No answer is expected: what may be retried goes to another zone now, clients of the rest are
            # answered now.
            if self.monitor.zone_of(self.entry(flight.address)) in stopped:
                flight.stop.set()

    def stages(self):
        """{site: name of its ramp's stage}, for the log."""
        return {name: ramp.stage.name for name, ramp in self.shedding.ramps.items()} if self.shedding else {}

    def shares(self):
        """{operation: refused share}, for the log and the status."""
        return {
            self.operation_names[operation]: round(share, 3)
            for operation, share in self.shedding.shares.items()
        }

    # ---- queries of the round loop ----

    def refusal(self, operation):
        """(reason, ms until the client may retry) if the request is refused, else None."""
        self.shedding.on_request(operation)
        if not self.shedding.refuses(operation, self.random.random()):
            return None
        self.refused += 1
        # Half to all of the longest advice, at random: a site takes seconds at least to recover.
        return REFUSAL_REASON, self.retry_advice * (0.5 + 0.5 * self.random.random())

    def status_for_decisions(self, address, status):
        """The status by which the decisions are notified of a dispatch's outcome."""
        return self.monitor.status_for_decisions(self.entry(address), status)

    def withholds_vote(self, verdict, version):
        """True if no vote on the build `version` may be cast now."""
        return self.monitor.withholds_vote(verdict, version, self.entries())

    # ---- greenlets ----

    def probes(self):
        """Starts the probes that are due."""
        in_flight = [
            (self.entry(flight.address), flight.started_at) for flight in self.rounds.flights.values()
        ]
        for zone, address in self.monitor.to_probe(host.now(), self.entries(), in_flight, self.random.random):
            host.spawn(self.probe, zone, address)

    def probe(self, zone, address):
        """Sends a node a request that it answers outside its queue. Any whole answer counts."""
        started, stream, answered = host.now(), None, False
        try:
            stream, reader = host.connect(address, PROBE_TIMEOUT), http.AnswerReader(1 << 16)
            stream.send(
                http.request(
                    self.probe_path,
                    b"node",
                    [(b"connection", b"close"), (b"gannet-from", self.rounds.name)],
                    b"",
                    b"GET",
                ),
                PROBE_TIMEOUT,
            )
            while not reader.whole:
                data = stream.recv(4096, max(1.0, started + 2 * PROBE_TIMEOUT - host.now()))
                reader.feed(data)
                if not data:
                    break
            answered = reader.whole
        except (OSError, host.Refused, host.Timeout, BadAnswer):
            pass
        finally:
            if stream:
                stream.close()
        self.monitor.on_probe(host.now(), zone, address, answered, host.now() - started)

    def run(self):
        """Probes and ticks for ever; starts at a random time, so as not to run in step with other proxies."""
        host.sleep(TICK * self.random.random())
        while True:
            if self.shedding:
                self.probes()
            host.sleep(TICK)
            self.tick()

    def metrics(self):
        """Metric families for Prometheus."""
        unavailable = GaugeMetricFamily(
            "gannet_zone_away",
            "1 where this proxy takes the zone for lost, cut off or silent",
            labels=("zone",),
        )
        for name, is_unavailable in self.monitor.unavailable().items():
            unavailable.add_metric((name,), is_unavailable)
        yield unavailable
        if self.shedding:
            weight = GaugeMetricFamily(
                "gannet_zone_weight",
                "part of its usual share of dispatches that the zone gets",
                labels=("zone",),
            )
            for name, share in self.shedding.weights.items():
                weight.add_metric((name,), share)
            yield weight
            yield CounterMetricFamily(
                "gannet_site_refused", "invocations refused as a site is lost", value=self.refused
            )
