"""gannet-proxy assembled: listener, rounds, pools, links; start, reload of the list from disk, graceful stop."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from .. import host
from ..balance import Balancer, retry_delay
from ..config import load
from ..interface import CANCELLED, MOOT, SIDE_EFFECTING, SUCCEEDED
from ..keptfile import KeptFile
from ..trail.log import Trail
from ..wire import control_pb2 as c, http, invocation
from .clients import Clients
from .kept import PersistedNodeList
from .links import ControlLink
from .members import Membership
from .pools import Pools
from .rounds import RoundLoop
from .signals import Signals
from .sites import ProxySites
from .tenants import Listed, Tenants


class Proxy:
    def __init__(self, fleet, mine, log, acts=None):
        """`fleet` and `mine` are checked messages of the schema (Fleet, Proxy); `acts` is a Table for what duties had done here."""
        facts = load.deployment(fleet, mine.me, mine.zone, mine.wire_lag)
        self.log, self.stop_limit = log, mine.stop_limit
        self.kept, self.stage, self.began = PersistedNodeList(), None, host.now()
        self.file = KeptFile(mine.state_file, lambda: self.kept.pack(host.now()), "list", log)
        self.pools = Pools(mine.pool_cap, mine.pool_idle, mine.connect_limit)
        self.rounds = RoundLoop(
            lambda: Balancer(mine.seed, facts),
            mine.tick,
            mine.most_held,
            mine.answer_limit,
            self.pools,
            log,
            mine.me,
            invocation,
        )
        self.rounds.on_restart = self.refill
        self.rounds.set_retry_advice(facts, retry_delay, host.chance(mine.seed, 5))
        self.rounds.build_of = lambda addr: self.kept.nodes[addr][0][2] if addr in self.kept.nodes else 0
        self.warm_within = facts.warm_within
        self.ops = [o.name for o in fleet.operation]
        operations = {o.name.encode(): n for n, o in enumerate(fleet.operation)}
        if mine.trail:
            host.make_folder(mine.trail)
            self.rounds.trail = Trail(mine.trail, log, mine.trail_delay, patience=mine.trail_patience)
            self.rounds.needs_trail = [o.effect == SIDE_EFFECTING for o in facts.operations]
        streams, duty = {m.number: m.duties for m in mine.mate}, {d.name: d for d in mine.duty}
        at = streams.get(mine.me, "") if "tenants" in duty else mine.tenants
        self.tenants = (
            Tenants(
                mine,
                facts,
                self.rounds.put_event,
                log,
                host.chance(mine.seed, 4),
                at,
                "tenants" if "tenants" in duty else "",
            )
            if at
            else Listed(fleet.tenant)
        )
        self.clients = Clients(
            self.rounds,
            operations,
            self.tenants.admit,
            (mine.header_limit, mine.body_limit),
            [(o.time_limit, mine.answer_margin) for o in fleet.operation],
            mine.read_limit,
            mine.idle_limit,
            self.inside,
            log,
        )
        self.signals = Signals(mine.me, mine.signal_listen, self.rounds.put_event)
        self.link = ControlLink(
            mine.me,
            mine.control,
            self.kept,
            facts.rollout.answer_wait,
            self.told,
            log,
            self.signals.port.where,
            self.signals.on_peers,
            host.chance(mine.seed, 1),
            self.on_list,
        )
        self.rounds.link, self.rounds.signals = self.link, self.signals
        self.members = Membership(mine, fleet.zone, log, host.chance(mine.seed, 6)) if mine.mate else None
        self.sites = (
            ProxySites(
                fleet, mine, facts, self.rounds, self.kept, self.members, log, host.chance(mine.seed, 9)
            )
            if self.members or fleet.site_acts
            else None
        )
        if self.sites:
            self.sites.staged = lambda: self.stage
        self.duties = duties_of(self, mine, streams, log, acts) if mine.duty else None
        self.done = host.Once()
        self.most_clients, self.listen = mine.most_clients, mine.listen
        self.sampled, self.share, self.period = {}, facts.rollout.tally_share, facts.rollout.tally_period
        self.chance = host.chance(mine.seed, 2)
        self.rounds.on_outcome = (
            self.saw if self.sites else self.sample if self.period else self.rounds.on_outcome
        )

    # ---- lists and stages on their way to the decisions ----

    def told(self, name, *fields):
        if name == "stage_told" and not fields[0]:
            self.stage = fields
        self.rounds.put_event(name, *fields)

    def on_list(self, message):
        if message.failed:
            self.rounds.put_event("listed", "failed", ())
            return
        took = self.kept.apply(message, host.now())
        if took is None:
            self.log.warning("list change missed", held=self.kept.revision, told=message.revision)
            self.link.ask_whole()
            return
        self.file.mark_changed()
        self.log.info("list", kind=took[0], revision=message.revision, nodes=len(self.kept.nodes))
        self.rounds.put_event("listed", took[0], self.seen(took[1]))

    def refill(self):
        self.rounds.put_event(
            "listed", "whole", self.seen(tuple(entry for entry, _ in self.kept.nodes.values()))
        )
        if self.stage:
            self.rounds.put_event("stage_told", *self.stage)
        self.tenants.refill()

    def seen(self, entries):
        """As the decisions are to have them."""
        return self.sites.entries_for_decisions(entries) if self.sites else entries

    def read_kept(self):
        data = host.read_file(self.file.path)
        known = self.kept.unpack(data, host.now())
        if data and not known:
            self.log.warning("kept list unreadable", file=self.file.path)
        self.rounds.put_event("listed", "kept", tuple(entry for entry, _ in self.kept.nodes.values()))

    def sweep(self):
        while True:
            host.sleep(250)
            self.pools.sweep(self.kept.nodes)

    def weather(self):
        """A storm as it begins and ends, in the log."""
        while True:
            host.sleep(500)
            entries = [e for e, _ in self.kept.nodes.values()]
            ready = [e for e in entries if e[5] == "ready"]
            cold = sum(1 for e in ready if e[7] and host.now() - e[7] < self.warm_within)
            self.rounds.watch.on_nodes(len(ready), cold, len(entries))
            for what, facts in self.rounds.watch.tick(host.now()):
                (self.log.warning if what == "storm" else self.log.info)(what, **facts)

    def saw(self, addr, op, status, took):
        """How a dispatch ended: of use for what is said of zones, and, where they are taken, for tallies."""
        self.sites.on_outcome(addr, op, status, took)
        if self.period:
            self.sample(addr, op, status, took)

    # ---- tallies ----

    def sample(self, addr, op, status, took):
        if status in (MOOT, CANCELLED) or addr not in self.kept.nodes or self.chance.random() >= self.share:
            return
        row = self.sampled.setdefault((self.kept.nodes[addr][0][2], op), [0, 0, 0.0])
        row[0] += 1
        if status == SUCCEEDED:
            row[2] += took
        else:
            row[1] += 1

    def send_counts(self):
        while True:
            host.sleep(self.period / 2)
            rows, self.sampled = self.sampled, {}
            if rows:
                self.link.counts(
                    [
                        c.Count(ver=ver, operation=op, dispatches=n, bad=bad, taken=taken)
                        for (ver, op), (n, bad, taken) in rows.items()
                    ]
                )

    # ---- asked of the proxy itself ----

    def inside(self, url, keep):
        if url == b"/-/healthy":
            return http.answer(200, [], b"ok\n", keep), keep
        if url == b"/-/ready":
            ready = any(e[5] == "ready" for e, _ in self.kept.nodes.values()) and not self.clients.stopping
            return http.answer(200 if ready else 503, [], b"ready\n" if ready else b"no nodes\n", keep), keep
        if url == b"/-/metrics":
            return http.answer(
                200, [(b"content-type", b"text/plain; version=0.0.4")], self.metrics(), keep
            ), keep
        if url == b"/-/refused":
            return http.answer(
                200, [(b"content-type", b"text/plain")], self.rounds.watch.report(self.ops).encode(), keep
            ), keep
        return http.answer(404, [], b"not here\n", keep), keep

    def metrics(self):
        return generate_latest(self.registry)

    def collect(self):
        rounds = self.rounds
        ends = CounterMetricFamily("gannet_invocations", "final answers", labels=("operation", "answer"))
        for (kind, op), count in sorted(rounds.answer_counts.items()):
            ends.add_metric((self.ops[op], kind), count)
        yield ends
        for name, what, value in (
            ("held", "open invocations", len(rounds.held)),
            ("in_flight", "dispatches out", len(rounds.flights)),
            ("clients", "client connections", len(self.clients.open)),
            ("node_connections", "connections to nodes", self.pools.size()),
            ("nodes", "nodes listed", len(self.kept.nodes)),
            ("control_up", "link to the controller", self.link.up),
            ("tenant_view", "view of tenants in force", self.tenants.number()),
            ("tenant_view_age_ms", "since the directory confirmed it", min(1e12, self.tenants.age())),
            ("list_revision", "list held", self.kept.revision),
            ("decision_ms", "time spent in decisions", rounds.decision_time),
            ("rounds", "rounds", rounds.round_count),
            ("list_not_kept", "the list held is newer than its file", self.file.unwritten),
            *(
                [
                    (f"members_{state}", "proxies of the roster, as this one sees them", n)
                    for state, n in sorted(self.members.counts().items())
                ]
                + [
                    (
                        "members_sent",
                        "datagrams sent to members, those of duties among them",
                        self.members.sent,
                    ),
                    (
                        "members_dropped",
                        "datagrams of members that could not be heeded",
                        sum(self.members.dropped.values()),
                    ),
                ]
                if self.members
                else []
            ),
            *(
                [
                    ("trail_refuses", "what must be written down is turned away", rounds.trail.refuses()),
                    ("trail_write_ms", "the write that is out, or the last one", rounds.trail.write_ms()),
                    ("trail_waiting", "records not written yet", len(rounds.trail.waiting)),
                    ("trail_lost", "records given up, not told of yet", rounds.trail.lost),
                ]
                if rounds.trail
                else []
            ),
        ):
            yield GaugeMetricFamily("gannet_" + name, what, value=value)
        if self.sites:
            yield from self.sites.metrics()
        if self.duties:
            yield from self.duties.metrics()

    # ---- life ----

    def start(self):
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self.read_kept()
        self.listener = host.Listener(self.listen)
        self.greenlets = [
            host.spawn(call)
            for call in (
                self.rounds.run,
                self.link.run,
                self.signals.run,
                self.sweep,
                self.file.run,
                self.weather,
                *self.tenants.start(),
                *([self.rounds.trail.run] if self.rounds.trail else []),
                *([self.members.run, self.members.hear] if self.members else []),
                *([self.sites.run] if self.sites else []),
                *([self.send_counts] if self.period else []),
            )
        ]
        if self.duties:
            self.greenlets += self.duties.start()
        self.greenlets.append(
            host.spawn(host.serve, self.listener, self.clients.handle, self.log, self.most_clients)
        )
        self.log.info(
            "serving", at=self.listener.where, signals=self.signals.port.where, nodes=len(self.kept.nodes)
        )

    def stop(self):
        """Takes nothing new, answers what it holds, ends within the stop limit."""
        if self.clients.stopping:
            return
        self.clients.stopping = True
        self.log.info("stopping", held=len(self.rounds.held))
        # What the machine has accepted was taken: it gets its answer too.
        for stream in self.listener.backlog():
            host.spawn(self.clients.handle, stream)
        self.listener.close()
        if self.duties:
            self.duties.stop()
        if self.members:
            self.members.stop()
        end = host.now() + self.stop_limit
        host.sleep(0)  # those just spawned are among the open ones
        while host.now() < end and any(s in self.clients.busy or s.waiting() for s in self.clients.open):
            host.sleep(10)
        for held in list(self.rounds.held.values()):
            self.rounds.carrier.finish(held, "terminated", False)
        host.sleep(20)
        for stream in list(self.clients.open):
            stream.close()
        if self.rounds.trail:
            self.rounds.trail.close(max(100.0, end - host.now()))
        self.log.info("stopped", unanswered=len(self.clients.busy))
        self.done.set()


def duties_of(proxy, mine, streams, log, acts):
    """The duties of the settings (checked: config/load.py), made; raises ValueError or BadSetting."""
    # Here: a proxy without duties loads none of it.
    from ..duties.returning import Returning
    from ..duties.seal import Sealing
    from ..duties.shell import Duties
    from ..duties.tenants import Tenants as Reading

    made = {}
    for d in mine.duty:
        if d.name == "seal":
            made[d.name] = Sealing(d, proxy.rounds.trail, log)
        elif d.name == "site-return":
            if not (proxy.sites and proxy.sites.shedding):
                raise ValueError(
                    "duty site-return: the fleet's settings do not have site_acts, so there is nothing to lead"
                )
            made[d.name] = Returning(d, proxy.sites, f"{mine.state_file}.site-return", log)
        else:
            made[d.name] = Reading(
                load.read(load.schema.Directory, d.directory),
                proxy.tenants,
                streams,
                log,
                host.chance(mine.seed, 7),
            )

    def acted(duty, token, step, how, why, at=None):
        if acts:
            acts.add(host.stamp() if at is None else at, duty, str(mine.me), *token, step, how, why)
            acts.flush()

    if "tenants" in made:
        proxy.tenants.acted = lambda *what: acted("tenants", *what)

    def busy():
        return min(1.0, len(proxy.rounds.held) / mine.most_held)

    return Duties(mine, proxy.members, made, busy, log, host.chance(mine.seed, 8, host.birth()), acted)
