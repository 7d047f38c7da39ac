"""The proxy on the users' platform: assembles its parts, connects to nodes, and starts, reloads and drains
the process.

The parts are client connections, round loop, connection pools, discovery, release API and signals to
peers."""

from .. import host
from ..balance import Balancer, retry_delay
from ..interface import SUCCEEDED
from ..proxy.pools import Pools
from ..proxy.rounds import RoundLoop
from ..proxy.signals import Signals
from ..wire import BadAnswer, pg
from . import config
from .api import ReleaseApi
from .budget import IDLE, MAX_TURNED_AWAY, UNUSED
from .clients import Clients
from .discovery import Discovery
from .event_log import EventLog

USER, DATABASE = b"client", b"core"
ACCEPT_GRACE = 600.0  # ms after SIGTERM in which new connections and requests are still accepted
ANSWER_LIMIT = 1 << 18  # bytes of a node's answer
BACKLOG_LIMIT = 300.0  # ms to accept what the kernel has accepted by then
# SIGKILL comes after SIGTERM no sooner than the longest time limit, counted as LONGEST_COUNTED_LIMIT where it is
# longer, and KILL_DELAY.
LONGEST_COUNTED_LIMIT, KILL_DELAY = 3000.0, 700.0  # ms
KILL_MARGIN = 100.0  # ms before that in which the last answers are written
MIN_RELOAD_BACKOFF, MAX_RELOAD_BACKOFF = 50.0, 1000.0  # ms between readings of a file that cannot be read
STATUS_INTERVAL = 5000.0  # ms between status lines in the log


class Edge:
    """One proxy process on the platform."""

    def __init__(self, start, path, log):
        """`start` is a config.Start; `path` names the configuration file, which reload() reads again."""
        self.path, self.log, self.budget = path, log, start.budget
        self.pools = Pools(
            self.budget.max_node_connections,
            start.pool_idle,
            start.connect_limit,
            self.connect,
            self.make_room,
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
            start.memory,
        )
        self.events = EventLog(log, host.now)
        self.rounds.on_dispatch_end = self.record_dispatch_end
        self.rounds.on_restart, self.rounds.build_of = self.refill, lambda name: self.discovery.build(name)
        jitter = host.Jitter(start.seed + 1)
        self.rounds.set_retry_advice(start.facts, retry_delay, jitter)
        self.discovery = Discovery(
            start.discovery,
            start.listing,
            lambda *listing: self.rounds.put_event("listed", *listing),
            self.pools,
            jitter,
            log,
            start.memory,
        )
        self.api = ReleaseApi(
            start.release_api,
            start.operation_indexes,
            start.facts.rollout.answer_wait,
            self.rounds.put_event,
            jitter,
            log,
        )
        self.rounds.link = self.api
        self.clients = Clients(self.rounds, start.operations, start.limits, self.budget, self.events)
        self.signals, self.done, self.draining, self.listen = None, host.Once(), False, start.listen
        if start.facts.may_signal and start.peer_listen:
            self.signals = Signals(start.me, start.peer_listen, self.rounds.put_event, bare=True)
            self.signals.set_peers(start.peers)
            self.rounds.signals = self.signals
        self.reloads = 0
        self.discovery.take(*start.initial_listing, "kept")
        if start.unreadable_listing:
            self.log.warning("known list unreadable", why=str(start.unreadable_listing)[:200])
            self.discovery.wants_whole = True
        if start.unreadable_state:
            self.api.lose_state("configuration", start.unreadable_state)
        else:
            self.api.state(False, SUCCEEDED, start.initial_state)

    # ---- connections to nodes ----

    def connect(self, name, limit):
        """Opens a connection to a node and returns it once the node is ready for a query. No query was sent
        if it fails.

        Raises host.Refused if the node is not listed, rejects the connection or does not greet within `limit`
        ms."""
        deadline = host.now() + limit
        stream, greeting = host.connect(self.discovery.address(name), limit), pg.Greeting()
        try:
            stream.send(pg.startup(USER, DATABASE), limit)
            while not greeting.ready:
                data = stream.recv(65536, deadline - host.now())
                if data:
                    greeting.feed(data)
                if not data or greeting.code:
                    raise host.Refused("turned away")
            return stream
        except (OSError, BadAnswer):
            # The node accepted the connection and then closed it, so its process runs, unlike one that
            # refuses connections.
            stream.close()
            raise host.Refused("turned away") from None
        except host.Timeout:
            stream.close()
            raise host.Refused("no greeting") from None
        except BaseException:
            stream.close()
            raise

    def make_room(self):
        """Whether one more node connection may be opened; closes an idle one if necessary."""
        return self.pools.size() < self.budget.max_node_connections or self.pools.close_oldest_idle()

    def refill(self):
        """Gives a restarted balancer the release state and the list of nodes, in a greenlet of its own: the caller
        empties the mailbox, for room in which this may wait."""
        host.spawn(self.tell_state_and_nodes)

    def tell_state_and_nodes(self):
        # The state first: without it a build on trial gets the first stage's cap.
        self.api.state(False, SUCCEEDED)
        self.rounds.put_event(
            "listed", "whole", tuple(entry for entry, _, _ in self.discovery.entries.values())
        )

    # ---- lifecycle ----

    def start(self):
        """Starts the loops and listens for clients. Raises OSError if an address cannot be bound."""
        self.greenlets = [host.spawn(self.rounds.run)]
        host.sleep(0)  # the round loop applies the list before the first client connects
        self.listener = host.Listener(self.listen, 4096)
        self.greenlets += [
            host.spawn(loop)
            for loop in (
                self.discovery.run,
                self.api.run,
                self.api.listen,
                self.maintain,
                *([self.signals.run] if self.signals else []),
            )
        ]
        # As many as may be open, and those that are being turned away.
        most = self.budget.max_clients + MAX_TURNED_AWAY
        self.greenlets.append(
            host.spawn(host.serve, self.listener, self.clients.handle, self.log, most, True)
        )
        self.log.info(
            "serving",
            at=self.listener.where,
            nodes=len(self.discovery.entries),
            clients=self.budget.max_clients,
            to_nodes=self.budget.max_node_connections,
        )

    def maintain(self):
        """Closes idle node connections and logs a status line every STATUS_INTERVAL."""
        reported_at, decision_time_before = host.now(), 0.0
        while True:
            host.sleep(500)
            self.pools.sweep(self.discovery.entries)
            if host.now() - reported_at >= STATUS_INTERVAL:
                rounds, reported_at = self.rounds, host.now()
                self.log.info(
                    "status",
                    held=len(rounds.held),
                    out=len(rounds.flights),
                    clients=len(self.clients.open),
                    to_nodes=self.pools.size(),
                    bound=min(1e6, round(rounds.balancer.open_limit, 1)),
                    rounds=rounds.round_count,
                    decisions_ms=round(rounds.decision_time - decision_time_before),
                    resident_kb=host.resident_size() >> 10,
                    memory=self.budget.memory.describe(),
                    list_age_ms=round(self.discovery.list_age()),
                    discovery=self.discovery.counts(),
                    events=self.events.take_counts(),
                    ends={
                        f"{kind} {operation}": count
                        for (kind, operation), count in sorted(rounds.answer_counts.items())
                    },
                )
                decision_time_before = rounds.decision_time

    def record_dispatch_end(self, held, seq, address, status, duration):
        """Logs a dispatch without a success; a further one may follow it."""
        if status != SUCCEEDED:
            self.events.record(
                "dispatch ended", status, id=held.context.name, seq=seq, node=address, ms=round(duration)
            )

    def reload(self):
        """SIGHUP: applies the addresses of the configuration file. A file that is not valid changes nothing and is
        read again until it is: it may still be being written."""
        self.reloads += 1
        if not self.apply_addresses():
            host.spawn(self.retry_reload, self.reloads)

    def retry_reload(self, number):
        """Reads the file again with exponential backoff, until it is valid or another SIGHUP takes over."""
        backoff = MIN_RELOAD_BACKOFF
        while True:
            host.sleep(backoff)
            if number != self.reloads or self.apply_addresses():
                return
            backoff = min(MAX_RELOAD_BACKOFF, 2 * backoff)

    def apply_addresses(self):
        """Applies the addresses of the file; returns whether it is valid."""
        try:
            discovery, release_api = config.runtime_addresses(config.read(self.path))
        except config.BadSetting as error:
            self.log.error("configuration rejected", why=str(error))
            return False
        self.log.info("configuration reloaded", discovery=discovery, release_api=release_api)
        self.discovery.move(discovery)
        self.api.move(release_api)
        return True

    def drain(self):
        """SIGTERM: accepts clients for ACCEPT_GRACE, then closes idle connections and answers all requests
        that were read."""
        if self.draining:
            return
        self.draining = True
        self.log.info("stopping", held=len(self.rounds.held))
        longest = min(max(self.clients.limits), LONGEST_COUNTED_LIMIT)
        self.clients.answer_by = host.now() + longest + KILL_DELAY - KILL_MARGIN
        host.sleep(ACCEPT_GRACE)
        self.take_backlog()
        self.listener.close()
        self.clients.draining = True
        self.budget.evict_idle((UNUSED, IDLE))
        host.sleep(0)  # the handlers just spawned register in clients.open
        while self.clients.open:
            host.sleep(5)
        self.log.info("stopped")
        self.done.set()

    def take_backlog(self):
        """Serves the connections that the kernel has accepted and a delayed accept loop has not yet seen."""
        deadline = host.now() + BACKLOG_LIMIT
        while True:
            room = self.budget.max_clients + MAX_TURNED_AWAY - len(self.clients.open)
            streams = self.listener.backlog(max(0, room))
            for stream in streams:
                host.spawn(self.clients.handle, stream)
            if not self.listener.ready(host.READ) or host.now() >= deadline:
                return
            host.sleep(0 if streams else 2)
