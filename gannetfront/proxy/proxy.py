"""The proxy process: creates and connects its parts, starts them with the persisted node list, and stops them
gracefully.
"""

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
from .tenants import ConfiguredTenants, Tenants


class Proxy:
    """One proxy: its parts, its metrics and the tallies of outcomes that it sends to the controller."""

    def __init__(self, fleet, mine, log, acts=None):
        """`fleet` and `mine` are checked messages of the schema (Fleet, Proxy).

        `acts` is a Table for the acts that duties had this proxy execute. Raises OSError, ValueError or
        load.BadSetting."""
        facts = load.deployment(fleet, mine.me, mine.zone, mine.wire_lag)
        self.log = log
        self.stop_limit = mine.stop_limit
        self.node_list = PersistedNodeList()
        self.stage = None
        self.started_at = host.now()
        self.file = KeptFile(mine.state_file, lambda: self.node_list.pack(host.now()), "list", log)
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
        self.rounds.on_restart = self.restore_balancer
        self.rounds.set_retry_advice(facts, retry_delay, host.chance(mine.seed, 5))
        self.rounds.build_of = lambda address: (
            self.node_list.nodes[address][0][2] if address in self.node_list.nodes else 0
        )
        self.warm_within = facts.warm_within
        self.operation_names = [o.name for o in fleet.operation]
        operations = {o.name.encode(): n for n, o in enumerate(fleet.operation)}
        if mine.trail:
            host.make_folder(mine.trail)
            self.rounds.trail = Trail(mine.trail, log, mine.trail_delay, patience=mine.trail_patience)
            self.rounds.needs_trail = [o.effect == SIDE_EFFECTING for o in facts.operations]
        streams = {m.number: m.duties for m in mine.mate}
        duties_by_name = {d.name: d for d in mine.duty}
        tenants_address = streams.get(mine.me, "") if "tenants" in duties_by_name else mine.tenants
        self.tenants = (
            Tenants(
                mine,
                facts,
                self.rounds.put_event,
                log,
                host.chance(mine.seed, 4),
                tenants_address,
                "tenants" if "tenants" in duties_by_name else "",
            )
            if tenants_address
            else ConfiguredTenants(fleet.tenant)
        )
        self.clients = Clients(
            self.rounds,
            operations,
            self.tenants.admit,
            (mine.header_limit, mine.body_limit),
            [(o.time_limit, mine.answer_margin) for o in fleet.operation],
            mine.read_limit,
            mine.idle_limit,
            self.internal_page,
            log,
        )
        self.signals = Signals(mine.me, mine.signal_listen, self.rounds.put_event)
        self.link = ControlLink(
            mine.me,
            mine.control,
            self.node_list,
            facts.rollout.answer_wait,
            self.on_control_event,
            log,
            self.signals.port.where,
            self.signals.on_peers,
            host.chance(mine.seed, 1),
            self.on_list,
        )
        self.rounds.link = self.link
        self.rounds.signals = self.signals
        self.members = Membership(mine, fleet.zone, log, host.chance(mine.seed, 6)) if mine.mate else None
        self.sites = (
            ProxySites(
                fleet, mine, facts, self.rounds, self.node_list, self.members, log, host.chance(mine.seed, 9)
            )
            if self.members or fleet.site_acts
            else None
        )
        if self.sites:
            self.sites.staged = lambda: self.stage
        self.duties = make_duties(self, mine, streams, log, acts) if mine.duty else None
        self.done = host.Once()
        self.max_clients = mine.most_clients
        self.listen_address = mine.listen
        self.tallies = {}
        self.sample_share = facts.rollout.tally_share
        self.tally_period = facts.rollout.tally_period
        self.random = host.chance(mine.seed, 2)
        self.rounds.on_outcome = (
            self.record_outcome
            if self.sites
            else self.sample_outcome
            if self.tally_period
            else self.rounds.on_outcome
        )

    # ---- node lists and stages for the balancer ----

    def on_control_event(self, name, *fields):
        """Passes an event of the control link to the balancer; keeps the last stage."""
        if name == "stage_told" and not fields[0]:
            self.stage = fields
        self.rounds.put_event(name, *fields)

    def on_list(self, message):
        """Applies a node list message, whole or changes, and passes it to the balancer."""
        if message.failed:
            self.rounds.put_event("listed", "failed", ())
            return
        applied = self.node_list.apply(message, host.now())
        if applied is None:
            self.log.warning(
                "node list change missed; requesting the whole list",
                held=self.node_list.revision,
                told=message.revision,
            )
            self.link.request_full_list()
            return
        self.file.mark_changed()
        self.log.info("list", kind=applied[0], revision=message.revision, nodes=len(self.node_list.nodes))
        self.rounds.put_event("listed", applied[0], self.adjusted_entries(applied[1]))

    def restore_balancer(self):
        """Gives a restarted balancer the node list, the stage and the tenants' portions."""
        self.rounds.put_event(
            "listed",
            "whole",
            self.adjusted_entries(tuple(entry for entry, _ in self.node_list.nodes.values())),
        )
        if self.stage:
            self.rounds.put_event("stage_told", *self.stage)
        self.tenants.resend_portions()

    def adjusted_entries(self, entries):
        """Returns the entries as the balancer is to have them, with site weights if sites are monitored."""
        return self.sites.entries_for_decisions(entries) if self.sites else entries

    def read_persisted_list(self):
        """Passes the persisted node list, if there is a readable one, to the balancer."""
        data = host.read_file(self.file.path)
        readable = self.node_list.unpack(data, host.now())
        if data and not readable:
            self.log.warning("persisted node list unreadable", file=self.file.path)
        self.rounds.put_event("listed", "kept", tuple(entry for entry, _ in self.node_list.nodes.values()))

    def sweep_pools(self):
        """Closes connections that were idle too long or lead to nodes that are no longer listed."""
        while True:
            host.sleep(250)
            self.pools.sweep(self.node_list.nodes)

    def watch_storms(self):
        """Logs when a storm starts and when it ends."""
        while True:
            host.sleep(500)
            entries = [e for e, _ in self.node_list.nodes.values()]
            ready = [e for e in entries if e[5] == "ready"]
            cold = sum(1 for e in ready if e[7] and host.now() - e[7] < self.warm_within)
            self.rounds.watch.on_nodes(len(ready), cold, len(entries))
            for event, facts in self.rounds.watch.tick(host.now()):
                (self.log.warning if event == "storm" else self.log.info)(event, **facts)

    def record_outcome(self, address, operation, status, duration):
        """Records how a dispatch ended, for the state of zones and, if these are collected, for tallies."""
        self.sites.on_outcome(address, operation, status, duration)
        if self.tally_period:
            self.sample_outcome(address, operation, status, duration)

    # ---- tallies ----

    def sample_outcome(self, address, operation, status, duration):
        """Adds the outcome to the tallies if it is in the random sample."""
        if (
            status in (MOOT, CANCELLED)
            or address not in self.node_list.nodes
            or self.random.random() >= self.sample_share
        ):
            return
        row = self.tallies.setdefault((self.node_list.nodes[address][0][2], operation), [0, 0, 0.0])
        row[0] += 1
        if status == SUCCEEDED:
            row[2] += duration
        else:
            row[1] += 1

    def send_tallies(self):
        """Sends the tallies to the controller twice in each period."""
        while True:
            host.sleep(self.tally_period / 2)
            rows, self.tallies = self.tallies, {}
            if rows:
                self.link.send_tallies(
                    [
                        c.Count(
                            ver=build, operation=operation, dispatches=dispatches, bad=failed, taken=taken
                        )
                        for (build, operation), (dispatches, failed, taken) in rows.items()
                    ]
                )

    # ---- pages of the proxy itself ----

    def internal_page(self, url, keep):
        """Answers a request for a page of the proxy; returns (answer, whether the connection stays open)."""
        if url == b"/-/healthy":
            return http.answer(200, [], b"ok\n", keep), keep
        if url == b"/-/ready":
            ready = (
                any(e[5] == "ready" for e, _ in self.node_list.nodes.values()) and not self.clients.stopping
            )
            return http.answer(200 if ready else 503, [], b"ready\n" if ready else b"no nodes\n", keep), keep
        if url == b"/-/metrics":
            return http.answer(
                200, [(b"content-type", b"text/plain; version=0.0.4")], self.metrics(), keep
            ), keep
        if url == b"/-/refused":
            return http.answer(
                200,
                [(b"content-type", b"text/plain")],
                self.rounds.watch.report(self.operation_names).encode(),
                keep,
            ), keep
        return http.answer(404, [], b"not here\n", keep), keep

    def metrics(self):
        """Returns the metrics in the text format of Prometheus."""
        return generate_latest(self.registry)

    def collect(self):
        """Yields the metric families; called by the registry."""
        rounds = self.rounds
        answers = CounterMetricFamily("gannet_invocations", "final answers", labels=("operation", "answer"))
        for (kind, operation), count in sorted(rounds.answer_counts.items()):
            answers.add_metric((self.operation_names[operation], kind), count)
        yield answers
        for name, description, value in (
            ("held", "open invocations", len(rounds.held)),
            ("in_flight", "dispatches out", len(rounds.flights)),
            ("clients", "client connections", len(self.clients.open)),
            ("node_connections", "connections to nodes", self.pools.size()),
            ("nodes", "nodes listed", len(self.node_list.nodes)),
            ("control_up", "link to the controller", self.link.up),
            ("tenant_view", "view of tenants in force", self.tenants.number()),
            ("tenant_view_age_ms", "since the directory confirmed it", min(1e12, self.tenants.age())),
            ("list_revision", "list held", self.node_list.revision),
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
            yield GaugeMetricFamily("gannet_" + name, description, value=value)
        if self.sites:
            yield from self.sites.metrics()
        if self.duties:
            yield from self.duties.metrics()

    # ---- start and stop ----

    def start(self):
        """Opens the listener and starts all greenlets; raises OSError if an address cannot be used."""
        self.registry = CollectorRegistry()
        self.registry.register(self)
        self.read_persisted_list()
        self.listener = host.Listener(self.listen_address)
        self.greenlets = [
            host.spawn(call)
            for call in (
                self.rounds.run,
                self.link.run,
                self.signals.run,
                self.sweep_pools,
                self.file.run,
                self.watch_storms,
                *self.tenants.start(),
                *([self.rounds.trail.run] if self.rounds.trail else []),
                *([self.members.run, self.members.receive] if self.members else []),
                *([self.sites.run] if self.sites else []),
                *([self.send_tallies] if self.tally_period else []),
            )
        ]
        if self.duties:
            self.greenlets += self.duties.start()
        self.greenlets.append(
            host.spawn(host.serve, self.listener, self.clients.handle, self.log, self.max_clients)
        )
        self.log.info(
            "serving",
            at=self.listener.where,
            signals=self.signals.port.where,
            nodes=len(self.node_list.nodes),
        )

    def stop(self):
        """Stops accepting requests, answers the held ones and ends within the stop limit."""
        if self.clients.stopping:
            return
        self.clients.stopping = True
        self.log.info("stopping", held=len(self.rounds.held))
        # Connections that the kernel has accepted already get their answers too.
        for stream in self.listener.backlog(self.max_clients):
            host.spawn(self.clients.handle, stream)
        self.listener.close()
        if self.duties:
            self.duties.stop()
        if self.members:
            self.members.stop()
        deadline = host.now() + self.stop_limit
        host.sleep(0)  # lets the greenlets just spawned add their connections to the open ones
        while host.now() < deadline and any(s in self.clients.busy or s.waiting() for s in self.clients.open):
            host.sleep(10)
        for held in list(self.rounds.held.values()):
            self.rounds.carrier.finish(held, "terminated", False)
        host.sleep(20)
        for stream in list(self.clients.open):
            stream.close()
        if self.rounds.trail:
            self.rounds.trail.close(max(100.0, deadline - host.now()))
        self.log.info("stopped", unanswered=len(self.clients.busy))
        self.done.set()


def make_duties(proxy, mine, streams, log, acts):
    """Creates the duties of the settings (checked by config/load.py); raises ValueError or BadSetting."""
    # Imported here, so that a proxy without duties does not load these modules.
    from ..duties.returning import Returning
    from ..duties.seal import Sealing
    from ..duties.shell import Duties
    from ..duties.tenants import Tenants as TenantsDuty

    duties = {}
    for settings in mine.duty:
        if settings.name == "seal":
            duties[settings.name] = Sealing(settings, proxy.rounds.trail, log)
        elif settings.name == "site-return":
            if not (proxy.sites and proxy.sites.shedding):
                raise ValueError(
                    "duty site-return needs the fleet's site_acts: without it there is no return to lead"
                )
            duties[settings.name] = Returning(settings, proxy.sites, f"{mine.state_file}.site-return", log)
        else:
            duties[settings.name] = TenantsDuty(
                load.read(load.schema.Directory, settings.directory),
                proxy.tenants,
                streams,
                log,
                host.chance(mine.seed, 7),
            )

    def record_act(duty, token, step, how, why, at=None):
        if acts:
            acts.add(host.stamp() if at is None else at, duty, str(mine.me), *token, step, how, why)
            acts.flush()

    if "tenants" in duties:
        proxy.tenants.acted = lambda *fields: record_act("tenants", *fields)

    def load_share():
        return min(1.0, len(proxy.rounds.held) / mine.most_held)

    return Duties(
        mine, proxy.members, duties, load_share, log, host.chance(mine.seed, 8, host.birth()), record_act
    )
