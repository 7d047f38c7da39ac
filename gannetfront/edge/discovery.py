"""The link to discovery: the list as it is at the start, then a watch that resumes by version."""

from .. import host
from ..interface import GONE, READY
from ..wire import BadAnswer, http

# What a silent watch misses counts as told 6 s after it fell silent, which may be right after its call. By then it was given up, so
# was a connection that was silent as well, and another has answered: 3 + 0.5 + 1 s, which leaves 1.5 s to a slow loop.
WATCH = 3000.0  # ms that a watch may wait
SILENT = 500.0  # ms past that, after which the agent is asked on a new connection: it answers at once
CONNECT_TIMEOUT = 1000.0  # ms for a connection, and for a call to be written
LONGEST = 4 << 20  # bytes of a listing
MIN_BACKOFF, MAX_BACKOFF = 10.0, 500.0  # ms between failures: a watch is broken by 200


class Discovery:
    def __init__(self, at, listing, tell, pools, jitter, log):
        """`tell(kind, entries)` passes a listing on to the decisions."""
        self.at, self.listing, self.tell, self.pools, self.jitter, self.log = (
            at,
            listing,
            tell,
            pools,
            jitter,
            log,
        )
        self.version, self.entries, self.moved = 0, {}, host.Once()  # host -> (entry, dial, born)

    def address(self, name):
        """Where a node listens; one that a list has just left out or called gone is sent nothing."""
        if name not in self.entries or self.entries[name][0][5] == GONE:
            raise host.Refused("not listed")
        return self.entries[name][1]

    def build(self, name):
        return self.entries[name][0][2] if name in self.entries else 0

    def take(self, version, whole, hosts, kind=None):
        """A listing that was read: dials first, as the decisions may send at once. Clock times cross machines; a start becomes
        one of this program's own clock, once for each incarnation, or it would wander."""
        told, self.version = [], version
        for entry, dial, born in hosts:
            old = self.entries.get(entry[0])
            if old and (old[0][2], old[2]) == (entry[2], born):
                entry = (*entry, old[0][7])
            else:
                entry = (*entry, host.now() - (1000.0 * host.wall() - born) if born else 0.0)
            # Another process answers there from now on, or nothing new may go there: no open connection is used for it.
            if old and ((old[0][2], *old[1:]) != (entry[2], dial, born) or entry[5] != READY):
                self.pools.retire(entry[0])
            self.entries[entry[0]] = entry, dial, born
            told.append(entry)
        if whole:
            for name in self.entries.keys() - {entry[0] for entry in told}:
                self.pools.retire(name)
                del self.entries[name]
        self.tell(kind or ("whole" if whole else "changes"), tuple(told))

    def move(self, at):
        if at != self.at:
            self.at = at
            self.moved.set()

    def run(self):
        wait, whole = MIN_BACKOFF, False
        while True:
            stream = None
            self.moved = moved = host.Once()
            try:
                stream = host.connect(self.at, CONNECT_TIMEOUT)
                more = True
                while more:
                    more = self.ask(stream, moved, whole)
                    wait, whole = MIN_BACKOFF, False
            except (OSError, host.Refused, host.Timeout, BadAnswer) as trouble:
                # What could not be read is dropped whole; the next answer is the whole list.
                whole = whole or isinstance(trouble, BadAnswer)
                if not moved.ready():
                    self.log.info(
                        "discovery lost", at=self.at, why=str(trouble)[:200] or type(trouble).__name__
                    )
            finally:
                if stream:
                    stream.close()
            if not moved.ready():
                host.sleep(wait * (0.5 + self.jitter.random()))
                wait = min(MAX_BACKOFF, 2 * wait)

    def ask(self, stream, moved, whole):
        """One call; its answer is in force. False where its connection cannot carry another."""
        path = b"/discovery/hosts"
        if not whole:
            path += b"?since=%d&timeout_ms=%d" % (self.version, WATCH)
        reader = http.AnswerReader(LONGEST)
        stream.send(http.request(path, self.at.encode(), [], b"", b"GET"), CONNECT_TIMEOUT)
        end = host.now() + WATCH + SILENT
        while not reader.whole:
            data = stream.recv_or(moved, 65536, end - host.now())
            if data is None:
                raise host.Timeout()
            if not data:
                raise BadAnswer("it ended before its answer was whole")
            reader.feed(data)
        if reader.status != 200:
            raise BadAnswer(f"status {reader.status}")
        version, is_whole, hosts = self.listing.read(reader.body)
        if whole and not is_whole:
            raise BadAnswer("changes where the whole list was asked for")
        if is_whole or hosts:
            self.log.info("list", whole=is_whole, version=version, nodes=len(hosts))
            self.take(version, is_whole, hosts)
        self.version = version
        return reader.reusable
