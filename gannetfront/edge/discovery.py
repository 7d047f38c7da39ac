"""Client of the discovery service: long-polls the list of nodes and resumes from the last version it
applied."""

from .. import host
from ..interface import DRAINING, GONE, READY
from ..memory import MemoryBudget, Purpose, Reservation
from ..wire import BadAnswer, http
from ..wire.platform import UnreadableEntries, decoded_size

# A change counts as delivered 6 s after the watch became unresponsive, which may be right after its request.
# By then the watch has timed out (3 + 0.5 s), an unresponsive connection attempt after it has timed out too
# (1 s), and another connection has answered. This leaves 1.5 s for a slow event loop.
WATCH_TIMEOUT = 3000.0  # ms that a watch request may wait for changes
RESPONSE_GRACE = (
    500.0  # ms beyond WATCH_TIMEOUT before a new connection is opened, on which the agent answers at once
)
CONNECT_TIMEOUT = 1000.0  # ms to connect, and to write a request
MAX_LISTING_SIZE = 4 << 20  # bytes
READ_SIZE = 16 << 10  # bytes
SERVER_BYTES = 3 << 10  # of a listed server, here and in the decision module
MIN_BACKOFF, MAX_BACKOFF = 10.0, 500.0  # ms between failed attempts; a watch is broken by 200


class Discovery:
    """The nodes that the discovery service lists, with the addresses at which they listen."""

    def __init__(self, at, listing, publish, pools, jitter, log, memory=None):
        """`publish(kind, entries)` passes a listing on to the decision module; `memory` is the MemoryBudget."""
        self.at = at
        self.listing = listing
        self.publish = publish
        self.pools = pools
        self.jitter = jitter
        self.log = log
        self.version = 0
        self.wants_whole = False  # the next request asks for the complete list
        self.entries = {}  # host -> (entry, dial address, start time)
        memory = memory or MemoryBudget()
        self.answer_memory = Reservation(memory, Purpose.LISTING)
        self.entries_memory = Reservation(memory, Purpose.SERVERS)
        self.entries_at_start = None  # the program's own size counts these
        self.moved = host.Once()

    def address(self, name):
        """Address at which a node listens. Raises host.Refused for a node that is no longer listed or is
        listed as gone."""
        if name not in self.entries or self.entries[name][0][5] == GONE:
            raise host.Refused("not listed")
        return self.entries[name][1]

    def build(self, name):
        """Build that a node runs; 0 if the node is not listed."""
        return self.entries[name][0][2] if name in self.entries else 0

    def take(self, version, whole, hosts, kind=None):
        """Applies a listing. Addresses are stored before the listing is published, as the decision module may
        dispatch at once.

        Start times are wall-clock times of other machines. Each is converted to this process's monotonic
        clock once per incarnation; repeated conversion would make it drift."""
        received, self.version = [], version
        for entry, dial, start_time in hosts:
            previous = self.entries.get(entry[0])
            if previous and (previous[0][2], previous[2]) == (entry[2], start_time):
                entry = (*entry, previous[0][7])
            else:
                entry = (*entry, host.now() - (1000.0 * host.wall() - start_time) if start_time else 0.0)
            # Another process now answers at the address, or the node accepts no new dispatches: open
            # connections are retired.
            if previous and (
                (previous[0][2], *previous[1:]) != (entry[2], dial, start_time) or entry[5] != READY
            ):
                self.pools.retire(entry[0])
            self.entries[entry[0]] = entry, dial, start_time
            received.append(entry)
        named = {entry[0] for entry in received}
        omitted = self.entries.keys() - named if whole else ()
        for name in [*omitted, *(name for name in named if self.entries[name][0][5] == GONE)]:
            self.pools.retire(name)
            del self.entries[name]
        self.count_entries()
        self.publish(kind or ("whole" if whole else "changes"), tuple(received))

    def take_cautiously(self, error, again):
        """Applies an UnreadableEntries as far as it stops dispatches: nodes that it lists as draining or gone, and
        nodes of which it has an unreadable entry, which may say so. Its other entries are not taken from an
        answer that may be spoilt, unless `again` says that the answer before it could not be read either and this
        is the complete list."""
        version, is_whole, hosts = error.listing
        doubtful = [self.as_draining(name) for name in error.names if name in self.entries]
        if again and is_whole and hosts:
            self.take(self.version, True, hosts + doubtful)
            return
        stopped = [host for host in hosts if host[0][5] != READY and host[0][0] in self.entries]
        if stopped or doubtful:
            self.take(self.version, False, stopped + doubtful)

    def as_draining(self, name):
        """The listing's entry of a known node, as one that accepts no new dispatches."""
        entry, dial, start_time = self.entries[name]
        return (*entry[:5], DRAINING, entry[6]), dial, start_time

    def count_entries(self):
        """Counts the memory of the entries that came after the first list."""
        if self.entries_at_start is None:
            self.entries_at_start = len(self.entries)
        self.entries_memory.charge(SERVER_BYTES * max(0, len(self.entries) - self.entries_at_start))

    def move(self, at):
        """Switches to a discovery service at another address; an open watch is interrupted."""
        if at != self.at:
            self.at = at
            self.moved.set()

    def run(self):
        """Watches forever; reconnects with exponential backoff and jitter."""
        backoff = MIN_BACKOFF
        while True:
            stream = None
            self.moved = moved = host.Once()
            try:
                stream = host.connect(self.at, CONNECT_TIMEOUT)
                reusable = True
                while reusable:
                    reusable = self.poll(stream, moved)
                    backoff, self.wants_whole = MIN_BACKOFF, False
            except (OSError, host.Refused, host.Timeout, BadAnswer) as error:
                # After a malformed answer the next request asks for the complete list.
                if isinstance(error, UnreadableEntries):
                    self.take_cautiously(error, self.wants_whole)
                self.wants_whole = self.wants_whole or isinstance(error, BadAnswer)
                if not moved.ready():
                    self.log.info(
                        "discovery connection failed",
                        at=self.at,
                        why=str(error)[:200] or type(error).__name__,
                    )
            finally:
                if stream:
                    stream.close()
            if not moved.ready():
                host.sleep(backoff * (0.5 + self.jitter.random()))
                backoff = min(MAX_BACKOFF, 2 * backoff)

    def poll(self, stream, moved):
        """Sends one request and applies its answer. Returns whether the connection can carry another
        request."""
        path = b"/discovery/hosts"
        if not self.wants_whole:
            path += b"?since=%d&timeout_ms=%d" % (self.version, WATCH_TIMEOUT)
        reader = http.AnswerReader(MAX_LISTING_SIZE)
        stream.send(http.request(path, self.at.encode(), [], b"", b"GET"), CONNECT_TIMEOUT)
        try:
            self.read_answer(stream, reader, moved)
            self.reserve(reader.received_size + decoded_size(reader.body))
            version, is_whole, hosts = self.listing.read(reader.body)
        finally:
            self.answer_memory.release()
        if self.wants_whole and not is_whole:
            raise BadAnswer("got changes, but the complete list was requested")
        if is_whole or hosts:
            self.log.info("list", whole=is_whole, version=version, nodes=len(hosts))
            self.take(version, is_whole, hosts)
        self.version = version
        return reader.reusable

    def read_answer(self, stream, reader, moved):
        """Reads one answer. Raises BadAnswer where it is not whole, not a success or too large, Timeout where it
        is late."""
        deadline = host.now() + WATCH_TIMEOUT + RESPONSE_GRACE
        while not reader.whole:
            self.reserve(reader.received_size + READ_SIZE)
            data = stream.recv_or(moved, READ_SIZE, deadline - host.now())
            if data is None:
                raise host.Timeout()
            if not data:
                raise BadAnswer("connection closed before the answer was complete")
            reader.feed(data)
        if reader.status != 200:
            raise BadAnswer(f"status {reader.status}")

    def reserve(self, size):
        """Reserves memory for an answer. Raises BadAnswer where there is too little."""
        if not self.answer_memory.resize(size):
            raise BadAnswer(f"too little memory for a listing of {size} bytes")
