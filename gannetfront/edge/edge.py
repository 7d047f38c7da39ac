"""The proxy on the users' platform, assembled: clients' side, rounds, pools, discovery, release API, peers; its life."""

from .. import host
from ..balance import Balancer, retry_delay
from ..interface import SUCCEEDED
from ..proxy.pools import Pools
from ..proxy.rounds import RoundLoop
from ..proxy.signals import Signals
from ..wire import BadAnswer, pg
from . import config
from .api import ReleaseApi
from .budget import IDLE, SILENT
from .clients import Clients
from .discovery import Discovery

USER, DATABASE = b"client", b"core"
ACCEPT_GRACE = 600.0  # ms after SIGTERM in which clients still come and use what they have
ANSWER_LIMIT = 1 << 18  # bytes of a node's answer
REPORTED = 5000.0


class Edge:
    def __init__(self, start, path, log):
        self.path, self.log, self.budget = path, log, start.budget
        self.pools = Pools(
            self.budget.nodes_most, start.pool_idle, start.connect_limit, self.connect, self.room
        )
        self.rounds = RoundLoop(
            lambda: Balancer(start.seed, start.facts),
            0.0,
            start.most_held,
            ANSWER_LIMIT,
            self.pools,
            log,
            start.me,
            pg,
        )
        self.rounds.on_restart, self.rounds.build_of = self.refill, lambda name: self.discovery.build(name)
        jitter = host.Jitter(start.seed + 1)
        self.rounds.set_retry_advice(start.facts, retry_delay, jitter)
        self.discovery = Discovery(
            start.discovery,
            start.listing,
            lambda *told: self.rounds.put_event("listed", *told),
            self.pools,
            jitter,
            log,
        )
        self.api = ReleaseApi(
            start.release_api,
            start.by_name,
            start.facts.rollout.answer_wait,
            self.rounds.put_event,
            jitter,
            log,
        )
        self.rounds.link = self.api
        self.clients = Clients(self.rounds, start.operations, start.limits, self.budget, log)
        self.signals, self.done, self.drains, self.listen = None, host.Once(), False, start.listen
        if start.facts.may_signal and start.peer_listen:
            self.signals = Signals(start.me, start.peer_listen, self.rounds.put_event, bare=True)
            self.signals.set_peers(start.peers)
            self.rounds.signals = self.signals
        self.discovery.take(*start.known, "kept")
        self.api.state(False, SUCCEEDED, start.news)

    # ---- connections to nodes ----

    def connect(self, name, limit):
        """A stream on which a node waits for a query. Until it does nothing was asked of it."""
        end = host.now() + limit
        stream, greeting = host.connect(self.discovery.address(name), limit), pg.Greeting()
        try:
            stream.send(pg.startup(USER, DATABASE), limit)
            while not greeting.ready:
                data = stream.recv(65536, end - host.now())
                if data:
                    greeting.feed(data)
                if not data or greeting.code:
                    raise host.Refused("turned away")
            return stream
        except (OSError, BadAnswer):
            # It answered the call and then broke off: not a process that is gone, as one that refuses calls is.
            stream.close()
            raise host.Refused("turned away") from None
        except host.Timeout:
            stream.close()
            raise host.Refused("no greeting") from None
        except BaseException:
            stream.close()
            raise

    def room(self):
        return self.pools.size() < self.budget.nodes_most or self.pools.close_oldest_idle()

    def refill(self):
        self.rounds.put_event(
            "listed", "whole", tuple(entry for entry, _, _ in self.discovery.entries.values())
        )
        self.api.state(False, SUCCEEDED)

    # ---- life ----

    def start(self):
        self.greenlets = [host.spawn(self.rounds.run)]
        host.sleep(0)  # the decisions know the list before anybody comes
        self.listener = host.Listener(self.listen, 4096)
        self.greenlets += [
            host.spawn(call)
            for call in (
                self.discovery.run,
                self.api.run,
                self.api.listen,
                self.tend,
                *([self.signals.run] if self.signals else []),
            )
        ]
        self.greenlets.append(host.spawn(host.serve, self.listener, self.clients.handle, self.log))
        self.log.info(
            "serving",
            at=self.listener.where,
            nodes=len(self.discovery.entries),
            clients=self.budget.clients_most,
            to_nodes=self.budget.nodes_most,
        )

    def tend(self):
        """Idle connections in time; every few seconds a line of how things stand."""
        told, spent = host.now(), 0.0
        while True:
            host.sleep(500)
            self.pools.sweep(self.discovery.entries)
            if host.now() - told >= REPORTED:
                rounds, told = self.rounds, host.now()
                away, self.clients.turned_away = (
                    dict(self.clients.turned_away),
                    type(self.clients.turned_away)(),
                )
                self.log.info(
                    "standing",
                    held=len(rounds.held),
                    out=len(rounds.flights),
                    clients=len(self.clients.open),
                    to_nodes=self.pools.size(),
                    bound=min(1e6, round(rounds.balancer.open_limit, 1)),
                    rounds=rounds.round_count,
                    decisions_ms=round(rounds.decision_time - spent),
                    turned_away=away,
                    ends={f"{k} {o}": n for (k, o), n in sorted(rounds.answer_counts.items())},
                )
                spent = rounds.decision_time

    def reload(self):
        """SIGHUP: the addresses of the file as it is now; one that cannot be read leaves those in force."""
        try:
            discovery, release_api = config.moved(config.read(self.path))
        except config.BadSetting as bad:
            self.log.error("configuration not taken", why=str(bad))
            return
        self.log.info("configuration", discovery=discovery, release_api=release_api)
        self.discovery.move(discovery)
        self.api.move(release_api)

    def drain(self):
        """SIGTERM: clients are still taken for a moment; then idle ones are let go, and all that was taken is answered."""
        if self.drains:
            return
        self.drains = True
        self.log.info("stopping", held=len(self.rounds.held))
        host.sleep(ACCEPT_GRACE)
        # What the machine has accepted meanwhile was taken, and a loop that was held up has not met it yet.
        for stream in self.listener.backlog():
            host.spawn(self.clients.handle, stream)
        self.listener.close()
        self.clients.draining = True
        self.budget.evict_idle((SILENT, IDLE))
        host.sleep(0)  # those just spawned are among the open ones
        while self.clients.open:
            host.sleep(5)
        self.log.info("stopped")
        self.done.set()
