"""Client connections on the platform, and what they share: ids, requests in part, turns and counts."""

from .. import host
from ..wire import pg
from .budget import (
    BULK_PAUSE,
    BULK_READS_PER_TURN,
    LINGER_SIZE,
    LINGER_TIMEOUT,
    MAX_LINGERING,
    MIN_SHED_AGE,
    STATE_NAMES,
    TURN_PAUSE,
)
from .open_ids import OpenIds
from .session import ClientDisconnected, Session


class Clients:
    """All client connections of the proxy, and the ids of the invocations that are open on them."""

    def __init__(self, rounds, operations, limits, budget, events):
        """`operations` has the form that wire/pg.statement takes; `limits` are time limits in ms by operation
        index. `events` is the EventLog."""
        self.rounds = rounds
        self.operations = operations
        self.limits = limits
        self.budget = budget
        self.memory = budget.memory
        self.events = events
        self.open = set()
        self.ids = OpenIds(self.memory)
        self.requests_in_part = {}  # session with a request in part -> ms since when, the oldest first
        budget.make_room = self.make_room_for_connection
        budget.on_eviction = lambda state: events.record("connection evicted", STATE_NAMES[state])
        self.turns = host.Turnstile()
        self.bulk_turns = host.Turnstile()
        self.bulk_reads = 0
        self.draining = False  # a connection is closed once all its answers are sent
        self.answer_by = None  # ms by which everything must be answered, once the proxy stops
        self.lingering = host.LingeringCloses(MAX_LINGERING, LINGER_TIMEOUT, LINGER_SIZE)

    def handle(self, stream):
        """Serves one connection until it ends."""
        self.open.add(stream)
        close = stream.close
        session = Session(self, stream)
        try:
            if not self.budget.enter(stream):
                self.events.record("connection refused", "connection limit reached")
                retry_delay = self.shortest_retry_advice()
                stream.send(pg.throttled(retry_delay, "too many connections", True), 0.0)
            elif not session.run():
                return

            # The proxy ends the connection. The client may still be writing and may not have read the last
            # answer.
            def close():
                return self.lingering.close(stream)
        except (OSError, host.Timeout, ClientDisconnected):
            pass  # the client disconnected, was idle too long or does not read: no answer can reach it
        finally:
            self.requests_in_part.pop(session, None)
            self.budget.leave(stream)
            close()
            self.open.discard(stream)

    def shortest_retry_advice(self):
        """Retry advice in ms for a request whose operation is not known."""
        return min(map(self.rounds.retry_advice, range(len(self.limits))))

    def wait_for_turn(self):
        """Waits until a connection that has more to be handled may go on; one after the other passes."""
        with self.turns:
            host.sleep(TURN_PAUSE)

    def wait_for_bulk_turn(self):
        """Waits after a read of many bytes, so that all connections together leave time for small requests."""
        with self.bulk_turns:
            self.bulk_reads += 1
            if self.bulk_reads % BULK_READS_PER_TURN == 0:
                host.sleep(BULK_PAUSE)

    # ---- requests in part: the oldest give way to others ----

    def make_room_for_request(self, session, size):
        """Reserves `size` bytes for a large request of which a part has come; the oldest others give way.

        Returns False where there is no room: the request is then read and dropped, and refused at its end."""
        while not session.buffer.resize(size):
            other = self.oldest_request_in_part(lambda one: one is not session and one.may_be_shed)
            if not other:
                return False
            other.shed_request_in_part()
        return True

    def make_room_for_connection(self):
        """Ends the connection whose request has been in part the longest; False if none is old enough."""
        session = self.oldest_request_in_part(lambda one: one.may_be_ended)
        if session:
            del self.requests_in_part[session]
            self.budget.forget(session.stream)
            session.end_from_outside()
        return session is not None

    def oldest_request_in_part(self, fits):
        """The session that fits and whose request has been in part the longest, at least MIN_SHED_AGE; or None."""
        for session, since in self.requests_in_part.items():
            if host.now() - since < MIN_SHED_AGE:
                return None
            if fits(session):
                return session
        return None
