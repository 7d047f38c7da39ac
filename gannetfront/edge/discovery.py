"""Client of the discovery service: long-polls the list of nodes and resumes from the last version it
applied.

Each call runs in a greenlet of its own. One greenlet, run(), owns the list: it applies the answers one after the other
and makes the calls that the WatchSchedule asks for.
"""

from typing import NamedTuple, Optional

from .. import host
from ..interface import DRAINING, GONE, READY
from ..memory import MemoryBudget, Purpose, Reservation
from ..wire import BadAnswer, http
from ..wire.platform import UnreadableEntries, decoded_size
from . import watch_schedule
from .list_order import Freshness, ListOrder
from .watch_schedule import MAX_CALLS, MAX_PATIENCE, Call, WatchSchedule

MAX_LISTING_SIZE = 4 << 20  # bytes
READ_SIZE = 16 << 10  # bytes
SERVER_BYTES = 3 << 10  # of a listed server, here and in the decision module
MEMORY_RETRY = 20.0  # ms between attempts to reserve memory that another answer holds
OUT_OF_DATE = (
    6000.0  # ms without an answer after which that is logged; the platform counts changes as told then
)
MAX_RESULTS = 4 * MAX_CALLS  # of calls that ended, and wake-ups


class CallResult(NamedTuple):
    """How a call ended: with an answer in `reader`, or with `error`."""

    call: Call
    reader: http.AnswerReader
    error: Optional[Exception]


class OpenCall:
    """A call's greenlet and connection, and the memory of its answer. Times are in ms."""

    def __init__(self, memory, stream):
        """`stream` is the connection of the call, if it is made on an idle one."""
        self.memory = Reservation(memory, Purpose.LISTING)
        self.stream = stream
        self.greenlet = None
        self.receiving_since = None
        self.received_at = None

    def on_received(self):
        """Some bytes of the answer have come."""
        self.received_at = host.now()
        self.receiving_since = self.receiving_since or self.received_at


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
        self.order = ListOrder()
        self.schedule = WatchSchedule()
        self.open = {}  # Call -> OpenCall
        self.results = host.Mailbox(MAX_RESULTS)
        self.read_at = host.now()  # when an answer was last read
        self.is_out_of_date = False
        self.wants_whole = False  # the complete list is asked for
        self.unreadable_at = 0.0  # when the last answer came that could not be read
        self.entries = {}  # host -> (entry, dial address, start time)
        self.memory = memory or MemoryBudget()
        self.entries_memory = Reservation(self.memory, Purpose.SERVERS)
        self.entries_at_start = None  # the program's own size counts these

    version = property(lambda self: self.order.version)

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
        self.order.on_applied(version, [entry[0] for entry, _, _ in hosts] if self.awaits_whole() else ())
        received = []
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
        in_force = self.version
        doubtful = [self.as_draining(name) for name in error.names if name in self.entries]
        if again and is_whole and hosts:
            self.take(in_force, True, hosts + doubtful)
        else:
            stopped = [host for host in hosts if host[0][5] != READY and host[0][0] in self.entries]
            if stopped or doubtful:
                self.take(in_force, False, stopped + doubtful)
        self.order.on_applied_in_part(version)

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
        """Switches to a discovery service at another address. Open calls to the earlier one end with the first
        answer of the new one."""
        if at != self.at:
            self.at = at
            self.schedule.on_move()
            if not len(self.results):
                self.results.put(None)  # wakes run()

    def run(self):
        """Watches forever."""
        try:
            while True:
                self.make_calls_due()
                result = self.results.take(self.time_to_wait())
                if result:
                    self.on_result(result)
                self.report_age()
        finally:
            for call in list(self.open):
                self.give_up(call)

    def time_to_wait(self):
        """ms until run() has to do something if no call ends before."""
        wait = self.schedule.next_call_at(self.at) - host.now()
        if not self.is_out_of_date:
            wait = min(wait, self.read_at + OUT_OF_DATE - host.now())
        return max(0.0, wait)

    def list_age(self):
        """ms since an answer of the discovery service was last read."""
        return host.now() - self.read_at

    def report_age(self):
        """Logs once that no answer has been read for long; the list in force goes on to be used."""
        if self.list_age() >= OUT_OF_DATE and not self.is_out_of_date:
            self.is_out_of_date = True
            self.log.warning("list out of date", at=self.at, age_ms=round(self.list_age()), **self.counts())

    def counts(self):
        """Figures of the calls for a log line: open now, and so far made, answered late and given up."""
        schedule = self.schedule
        return {
            "open_calls": len(schedule.calls),
            "calls": schedule.made_count,
            "late": schedule.late_count,
            "given_up": schedule.given_up_count,
        }

    # ---- calls ----

    def awaits_whole(self):
        """Whether a call for the complete list is open."""
        return any(call.is_whole for call in self.open)

    def make_calls_due(self):
        """Makes another call if one is due, on a connection of its own."""
        now = host.now()
        if now >= self.schedule.next_call_at(self.at):
            for call in self.schedule.make_room(now, self.at):
                self.give_up(call)
            self.make_call(None)

    def make_call(self, stream):
        """Makes a call, on the idle connection `stream` if there is one."""
        now = host.now()
        is_whole = self.wants_whole and self.schedule.whole_is_due(now, self.at)
        if is_whole:
            for other in self.schedule.make_room_for_whole(self.at):
                self.give_up(other)
            self.order.on_whole_call(not self.awaits_whole())
        call = Call(self.at, is_whole, self.version, self.order.applied_count, now, stream is not None)
        self.schedule.add(call)
        opened = self.open[call] = OpenCall(self.memory, stream)
        opened.greenlet = host.spawn(self.perform, call, opened)

    def give_up(self, call):
        """Ends a call that the schedule has taken out; its greenlet closes the connection."""
        opened = self.open.pop(call)
        host.stop(opened.greenlet)
        if opened.stream:
            opened.stream.close()
        opened.memory.release()

    def perform(self, call, opened):
        """Carries out a call and hands its result to run(). It has no time limit of its own: run() gives it up."""
        reader, error = http.AnswerReader(MAX_LISTING_SIZE), None
        try:
            opened.stream = opened.stream or host.connect(call.address, MAX_PATIENCE)
            request = http.request(self.path(call), call.address.encode(), [], b"", b"GET")
            opened.stream.send(request, MAX_PATIENCE)
            call.is_connected = True
            self.read_answer(call, opened, reader)
        except (OSError, host.Refused, host.Timeout, BadAnswer) as failure:
            error = failure
        self.results.put(CallResult(call, reader, error))

    def path(self, call):
        """The path of a call's request."""
        if call.is_whole:
            return b"/discovery/hosts"
        return b"/discovery/hosts?since=%d&timeout_ms=%d" % (call.version, watch_schedule.WATCH_TIMEOUT)

    def read_answer(self, call, opened, reader):
        """Reads one answer. Raises BadAnswer where it is not whole, not a success or too large."""
        while not reader.whole:
            if reader.received_size:
                self.reserve(call, opened, reader.received_size + READ_SIZE)
            data = opened.stream.recv(READ_SIZE, MAX_PATIENCE)
            if not data:
                raise BadAnswer("connection closed before the answer was complete")
            opened.on_received()
            reader.feed(data)
        if reader.status != 200:
            raise BadAnswer(f"status {reader.status}")

    def reserve(self, call, opened, size):
        """Reserves memory for an answer, in the order in which answers began to come: a later one waits for an
        earlier one that goes on, and is given up for it. Raises BadAnswer where there is too little for one."""
        while not opened.memory.resize(size):
            others = [other for other in self.open if other is not call and self.open[other].memory.size]
            if not others:
                raise BadAnswer(f"too little memory for a listing of {size} bytes")
            latest = max(others, key=lambda other: self.open[other].receiving_since)
            if self.open[latest].receiving_since >= opened.receiving_since:
                self.take_memory_of(latest)
            elif watch_schedule.is_late(host.now() - self.open[latest].received_at):
                self.take_memory_of(latest)
            else:
                host.sleep(MEMORY_RETRY)

    def take_memory_of(self, call):
        """Gives a call up for the memory that its answer holds."""
        self.schedule.end(call)
        self.schedule.given_up_count += 1
        self.give_up(call)

    # ---- results ----

    def on_result(self, result):
        """Applies what a call was answered, and makes the next one on its connection."""
        call, reader, error = result
        if call not in self.open:
            return  # it was given up in the meantime
        opened = self.open[call]
        try:
            if error:
                raise error
            self.apply(call, opened, reader)
        except (OSError, host.Refused, host.Timeout, BadAnswer) as failure:
            self.on_failure(call, failure)
            continues = False
        else:
            continues = self.on_answer(call) and reader.reusable
        opened.memory.release()
        if self.open.pop(call, None) is None:
            return  # it was given up for the memory of its answer while that was applied
        if continues:
            self.make_call(opened.stream)
        elif opened.stream:
            opened.stream.close()
            self.schedule.on_close(host.now())

    def apply(self, call, opened, reader):
        """Applies an answer. Raises BadAnswer where it cannot be read."""
        self.reserve(call, opened, reader.received_size + decoded_size(reader.body))
        version, is_whole, hosts = self.listing.read(reader.body)
        if call.is_whole and not is_whole:
            raise BadAnswer("got changes, but the complete list was requested")
        freshness = self.order.judge(call, version, is_whole)
        if freshness is Freshness.NEWEST:
            self.apply_newest(call, version, is_whole, hosts)
        elif freshness is Freshness.OLDER_IN_PART:
            self.log.info("list", whole=True, version=version, nodes=len(hosts), newest=self.version)
            self.take(self.version, True, self.merge(call, hosts))
        else:
            self.log.info("outdated list", version=version, newest=self.order.newest_seen)
            return
        if is_whole and call.started_at >= self.unreadable_at:
            self.wants_whole = False

    def apply_newest(self, call, version, is_whole, hosts):
        """Applies a listing that is newer than the list in force."""
        if call.address == self.at and self.order.begins_anew(version):
            for other in self.schedule.end_others(call):
                self.give_up(other)
        if is_whole or hosts:
            self.log.info("list", whole=is_whole, version=version, nodes=len(hosts))
            self.take(version, is_whole, hosts)
        else:
            self.order.on_applied(version)

    def merge(self, call, hosts):
        """The complete list that a call was told, with the entries in force of the nodes that were told of since it
        was made."""
        newer = self.order.told_since(call)
        merged = [host for host in hosts if host[0][0] not in newer]
        for name in sorted(newer & self.entries.keys()):
            entry, dial, start_time = self.entries[name]
            merged.append((entry[:7], dial, start_time))
        return merged

    def on_answer(self, call):
        """An answer was read; returns whether the next call may be made on its connection."""
        self.read_at = host.now()
        self.is_out_of_date = False
        continues, ended = self.schedule.on_answer(call, self.read_at, self.at)
        for other in ended:
            self.give_up(other)
        return continues

    def on_failure(self, call, error):
        """A call failed. After a malformed answer the complete list is asked for."""
        self.schedule.on_failure(call, host.now(), self.at, self.jitter.random())
        if isinstance(error, UnreadableEntries) and self.is_news(call, error):
            self.take_cautiously(error, call.is_whole)
        if call.address != self.at:
            return
        if isinstance(error, BadAnswer):
            self.wants_whole, self.unreadable_at = True, host.now()
        why = str(error)[:200] or type(error).__name__
        self.log.info("discovery connection failed", at=self.at, why=why)

    def is_news(self, call, error):
        """Whether an UnreadableEntries may say something that the list in force does not."""
        version, is_whole, _ = error.listing
        return self.order.judge(call, version, is_whole) is Freshness.NEWEST
