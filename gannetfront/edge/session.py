"""One client connection: pipelined queries start as they are read and are answered once each, in order.

A connection is read on whatever its client owes or is owed, so that the client's close is seen: what there is no room
for is dropped as it comes and refused, never left unread.
"""

from collections import deque

from .. import host
from ..interface import SUCCEEDED
from ..memory import Purpose, Reservation
from ..wire import pg
from .budget import (
    BULK_READ,
    BUSY,
    FREE_MESSAGES,
    MAX_READ,
    IDLE,
    IDLE_TIMEOUT,
    MAX_CONSECUTIVE_ERRORS,
    MAX_PENDING,
    MAX_PIPELINED,
    MAX_PIPELINED_IF_SCARCE,
    MESSAGES_PER_TURN,
    OVERDUE_GRACE,
    READ_AHEAD,
    STARTING,
    START_TIMEOUT,
    UNUSED,
    WRITE_SIZE,
    WRITE_TIMEOUT,
)
from .config import MARGIN

ARRIVAL_RESOLUTION = 5.0  # ms within which bytes count as arrived together, with the first of them


class ClientDisconnected(Exception):
    """The client has closed the connection or ended its session."""


class Arrivals:
    """When the bytes of a stream arrived at the latest, by their position. All times are in ms."""

    def __init__(self):
        self.received = 0  # bytes
        self.pieces = deque()  # (position behind the piece, time)

    def add(self, size, time):
        """Records `size` further bytes that arrived at `time` or earlier."""
        self.received += size
        if self.pieces and time - self.pieces[-1][1] < ARRIVAL_RESOLUTION:
            time = self.pieces.pop()[1]
        self.pieces.append((self.received, time))

    def of_last(self, unprocessed):
        """When the last byte before the `unprocessed` newest ones arrived."""
        position = self.received - unprocessed
        while len(self.pieces) > 1 and self.pieces[0][0] < position:
            self.pieces.popleft()
        return self.pieces[0][1]


class Session:
    """One client connection: reads its messages and sends the answers in order."""

    def __init__(self, clients, stream):
        self.clients = clients
        self.stream = stream
        self.reader = pg.ClientReader(self.room_for)
        self.buffer = Reservation(clients.memory, Purpose.REQUEST_IN_PART)
        self.arrivals = Arrivals()
        self.pending = deque()  # answers due: bytes, or the HeldInvocation of an invocation
        self.being_sent = []  # HeldInvocations whose answers are being written
        self.open_count = 0
        self.final_answer_queued = False
        self.ended_from_outside = host.Once()
        self.has_backlog = False  # messages may be left that wait for the connection's next turn
        self.drain_checked = False
        self.consecutive_errors = 0
        self.quiet_since = host.now()
        self.begun_at = None  # when the first byte of a message in part came
        self.read_at = self.quiet_since  # when the newest bytes arrived at the latest
        self.read_size = 0  # bytes of the newest read
        self.unread_since = None  # since when bytes may wait in the socket

    # ---- the connection ----

    def run(self):
        """Serves the connection; returns and raises as serve() does."""
        try:
            return self.serve()
        finally:
            # No client is waiting any more: open invocations are abandoned.
            due = [answer for answer in self.pending if not isinstance(answer, bytes)]
            if due:
                names = [held.context.name for held in due]
                self.record("connection ended with answers due", "client gone", ids=names[:3], due=len(due))
            for held in due:
                self.clients.rounds.abandon(held)
            for held in (*self.being_sent, *due):
                held.context.end(False)
            self.buffer.release()
            self.reader.close()

    def serve(self):
        """Reads and answers until the connection ends.

        Returns True after a final answer, when the client may still be writing, and False when the proxy
        drains and no answer is due. Raises ClientDisconnected, Timeout or OSError when the client ended the
        connection."""
        while True:
            self.handle_messages()
            if self.ended_from_outside.ready() and self.may_be_ended:
                error = pg.throttled(self.clients.shortest_retry_advice(), "too many connections", True)
                self.finish_with(error, "too many connections")
            if self.send_answers():
                self.quiet_since = host.now()
                if self.has_backlog:
                    self.pause()
                continue  # more invocations may have been answered during the write
            if not self.pending and self.final_answer_queued:
                return True
            if self.has_backlog:
                self.pause()
                continue
            if self.ends_by_drain():
                return False
            self.clients.budget.mark(self.stream, self.state())
            # Not kept in a variable here: each connection would hold what it read last while it waits.
            self.take_in(self.read())
            if self.read_size >= BULK_READ:
                self.pause_bulk()

    def record(self, event, reason, **fields):
        self.clients.events.record(event, reason, **fields)

    def pause(self):
        """Lets others have their turn."""
        self.unread_since = self.unread_since or host.now()
        self.clients.wait_for_turn()

    def pause_bulk(self):
        """Lets others have their turn after a read of many bytes."""
        self.read_size = 0
        self.unread_since = self.unread_since or host.now()
        self.clients.wait_for_bulk_turn()

    def ends_by_drain(self):
        """Whether the connection is closed now, as the proxy drains and nothing is due on it.

        Checked right after the answer: a client that sends its next request at once would otherwise never be
        found idle. A request that is present at the first check is served; a later one crosses the close and
        is retried elsewhere."""
        if not self.clients.draining or self.state() not in (UNUSED, IDLE):
            return False
        if self.drain_checked or not self.stream.waiting():
            return True
        self.drain_checked = True
        return False

    def state(self):
        """State of the connection, as budget.py defines them."""
        if self.pending or self.final_answer_queued or self.reader.started and self.reader.begun:
            return BUSY
        if self.reader.started:
            return IDLE
        return STARTING if self.reader.begun or self.reader.wishes else UNUSED

    # ---- reading ----

    def read(self):
        """The next bytes, b"" at the client's end, or None where something else is to be looked at first.

        Raises Timeout for a client that has been idle for too long."""
        time_left = self.time_to_wait()
        if time_left <= 0:
            return self.on_time_over()
        if self.begun_at is not None:
            self.clients.requests_in_part.setdefault(self, self.begun_at)
        done = self.pending[0].context.done if self.pending else self.ended_from_outside
        try:
            if self.clients.draining and self.pending and not self.reader.begun:
                return self.wait_unread(done, time_left)
            size = self.size_to_read()
            if size is None:
                return None
            if self.unread_since is not None and not self.stream.waiting():
                self.unread_since = None
            data = self.stream.recv_or(done, size, time_left)
        except host.Timeout:
            return self.on_time_over()
        self.note_unread(data, size)
        return data

    def time_to_wait(self):
        """The ms until the connection has to be looked at, even if nothing happens on it."""
        ends = []
        if self.pending:
            ends.append(self.pending[0].deadline + OVERDUE_GRACE)
        if self.begun_at is not None and not self.final_answer_queued:
            ends.append(self.begun_at + START_TIMEOUT)
        elif not self.pending:
            ends.append(self.quiet_since + (IDLE_TIMEOUT if self.reader.started else START_TIMEOUT))
        if self.clients.answer_by is not None and not self.final_answer_queued:
            ends.append(self.clients.answer_by)
        return min(ends) - host.now()

    def on_time_over(self):
        """A time limit has passed: ends what is overdue."""
        now, clients = host.now(), self.clients
        if self.pending and now >= self.pending[0].deadline + OVERDUE_GRACE:
            held = self.pending[0]
            # No decision in time, for whatever reason: answer while the client still waits.
            clients.rounds.logger.error("answer overdue", inv=held.invocation_id, id=held.context.name)
            clients.rounds.abandon(held, "terminated", True)
        elif self.final_answer_queued:
            return None
        elif self.begun_at is not None and now >= self.begun_at + START_TIMEOUT:
            self.finish_with(
                pg.error(b"57014", "the message was not whole in time", True), "not whole in time"
            )
        elif clients.answer_by is not None and now >= clients.answer_by:
            self.end_before_kill()
        elif not self.pending:
            self.record("connection closed", "idle" if self.reader.started else "silent")
            raise host.Timeout
        return None

    def end_before_kill(self):
        """The proxy is about to be killed: each request that has come whole gets its answer, and nothing follows.

        An error of its own ends only a connection on which nothing is due: behind an answer it would be read as
        the answer to a request that was never sent."""
        try:
            self.handle_rest()
        except pg.BadMessage as error:
            self.finish_with(pg.error(error.code, error.why, True), error.code.decode())
        for answer in self.pending:
            if not isinstance(answer, bytes):
                self.clients.rounds.abandon(answer, "terminated", True)
        if not self.pending:
            self.finish_with(pg.throttled(0.0, "the proxy stops", True), "stopping")
        elif not self.final_answer_queued:
            self.record("connection closed", "stopping")
            self.finish()

    def handle_rest(self):
        """Handles the complete messages that have come, also those that nobody has read. Raises BadMessage."""
        if self.stream.waiting():
            self.take_in(self.stream.recv(MAX_READ, 0.0))
        while message := self.reader.take():
            self.handle(message)

    def wait_unread(self, done, time_left):
        """While draining, only messages that have begun are read on; the client's close is looked for at each
        dispatch."""
        if self.stream.peek() is None:
            self.stream.until(host.READ, time_left, done)
        else:
            done.wait(time_left)
        if self.stream.waiting():
            if self.stream.peek() == b"":
                return b""
            self.unread_since = self.unread_since or host.now()
        return None

    def size_to_read(self):
        """How many bytes to read next, for which memory is reserved; None where the connection has to be
        looked at again first."""
        if self.final_answer_queued or self.reader.to_skip:
            self.buffer.release()
            return min(MAX_READ, self.reader.to_skip or MAX_READ)
        size = min(self.reader.wanted, MAX_READ)
        held = len(self.reader.held)
        beyond_small = held + size - 2 * pg.SMALL_MESSAGE
        needed = max(self.reader.declared, beyond_small, 0)
        if held >= READ_AHEAD or not self.buffer.resize(needed):
            # Complete messages wait, as too many answers are due: their client writes without reading.
            error = pg.throttled(self.clients.shortest_retry_advice(), "too much is written ahead", True)
            self.finish_with(error, "too much written ahead")
            return None
        return size

    def note_unread(self, data, size):
        """Notes since when bytes may wait in the socket, after a read of up to `size` bytes."""
        if data is None:
            return
        self.read_size = len(data)
        self.read_at = self.unread_since or host.now()
        self.unread_since = self.read_at if len(data) == size else None

    def take_in(self, data):
        """Passes what read() returned on to the reader; drops it behind the final answer."""
        if data == b"":
            raise ClientDisconnected
        if data is None or self.final_answer_queued:
            return
        if not self.reader.begun:
            self.begun_at = self.read_at
        self.arrivals.add(len(data), self.read_at)
        self.reader.feed(data)

    def room_for(self, size):
        """Whether a large message of which a part has come may be kept."""
        return self.clients.make_room_for_request(self, size)

    @property
    def may_be_ended(self):
        """Whether nothing is due on the connection but the rest of a request."""
        return not self.pending and not self.final_answer_queued

    @property
    def may_be_shed(self):
        """Whether a large request is kept of which a part has come."""
        return self.reader.started and self.reader.declared > 0

    def end_from_outside(self):
        """Another connection needs the room: this one ends with a refusal."""
        self.ended_from_outside.set()

    def shed_request_in_part(self):
        """Another request needs the memory: what has come of a large one is dropped; it is refused at its end."""
        self.reader.skip()
        self.buffer.release()
        self.record("request in part dropped", "memory")

    # ---- messages ----

    def handle_messages(self):
        """Handles some of the complete messages among the bytes read, up to MAX_PENDING waiting answers."""
        most = MESSAGES_PER_TURN if self.has_backlog else FREE_MESSAGES
        self.has_backlog = False
        for _ in range(most):
            if self.final_answer_queued or len(self.pending) >= MAX_PENDING:
                self.begun_at = None  # what waits may be whole
                return
            try:
                message = self.reader.take()
                if message is None:
                    self.begun_at = (self.begun_at or self.read_at) if self.reader.begun else None
                    return
                self.handle(message)
            except pg.BadMessage as error:
                # What follows a malformed message cannot be parsed: this answer is the last.
                self.finish_with(pg.error(error.code, error.why, True), error.code.decode())
        self.has_backlog = not self.final_answer_queued and bool(self.reader.held)

    def handle(self, message):
        """Queues the answer to a message. Raises BadMessage after a malformed one."""
        kind = message[0]
        self.clients.budget.mark(self.stream, BUSY)
        self.clients.requests_in_part.pop(self, None)
        self.begun_at = None
        if kind == "plain":
            self.pending.append(pg.PLAIN)
        elif kind == "start":
            self.pending.append(pg.WELCOME)
        elif kind == "end":
            raise ClientDisconnected
        elif kind == "skipped":
            self.pending.append(self.refuse("memory", self.clients.shortest_retry_advice()))
        else:
            self.pending.append(self.handle_query(message[1]))

    def finish_with(self, error, reason):
        """Queues an error as the last answer; whatever comes behind it is dropped."""
        self.record("connection ended with an error", reason)
        self.pending.append(error)
        self.finish()

    def finish(self):
        """Nothing is read any more; the connection ends behind the answers that are due."""
        self.final_answer_queued = True
        self.has_backlog = False
        self.begun_at = None
        self.clients.requests_in_part.pop(self, None)
        self.reader.held.clear()
        self.reader.declared = 0
        self.buffer.release()

    def handle_query(self, sql):
        """The encoded answer, or the HeldInvocation of an invocation that was started.

        Raises pg.BadMessage after MAX_CONSECUTIVE_ERRORS consecutive statements that could not be read."""
        if not sql.strip(b" \t\r\n;"):
            return pg.EMPTY + pg.READY
        try:
            return self.start_invocation(sql)
        except pg.BadMessage as error:
            self.record("statement rejected", error.code.decode())
            self.consecutive_errors += 1
            if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
                raise pg.BadMessage(error.code, error.why, True) from None
            return pg.error(error.code, error.why) + pg.READY

    def start_invocation(self, sql):
        """Hands the statement's invocation to the decisions, or answers that it is throttled.

        Raises pg.BadMessage for a malformed statement and for an id that is not free."""
        clients, now = self.clients, host.now()
        if clients.answer_by is not None and now >= clients.answer_by:
            return self.refuse("stopping", 0.0)
        operation, uid, invocation_id, time_left, _, content = pg.statement(sql, clients.operations)
        if not clients.ids.take(invocation_id, now):
            raise pg.BadMessage(b"23505", "an invocation with this id is open or may still run")
        self.consecutive_errors = 0
        arrived_at = self.arrivals.of_last(len(self.reader.held))
        time_left = min(time_left, clients.limits[operation]) - MARGIN - (now - arrived_at)
        if clients.answer_by is not None:
            time_left = min(time_left, clients.answer_by - now)
        held, reason = None, "too many open invocations"
        if self.open_count < self.max_pipelined():
            held = clients.rounds.accept(operation, 0, uid, max(0.0, time_left), *content)
            reason = clients.rounds.refusal_reason.decode()
        if held is None:
            clients.ids.free(invocation_id)
            return self.refuse(reason, clients.rounds.retry_advice(operation), id=invocation_id.decode())
        held.context.arrived_at = arrived_at
        held.context.client_gone = self.stream.ended
        held.context.on_settled = lambda: self.settle(held, invocation_id)
        self.open_count += 1
        return held

    def max_pipelined(self):
        return MAX_PIPELINED_IF_SCARCE if self.clients.memory.is_scarce() else MAX_PIPELINED

    def refuse(self, reason, retry_delay, **fields):
        """The answer that nothing was done and trying again is harmless."""
        self.record("request refused", reason, **fields)
        return pg.throttled(retry_delay, f"throttled: {reason}") + pg.READY

    def settle(self, held, invocation_id):
        """Nothing is under way for an invocation any more: its id is free once nothing of it can run."""
        if held.context.may_have_run:
            until = held.deadline + max(self.clients.limits)
            self.clients.ids.retain(invocation_id, until)
        else:
            self.clients.ids.free(invocation_id)

    # ---- answers ----

    def send_answers(self):
        """Sends the complete answers at the head of the queue, some at a time; returns whether there were any."""
        answers = self.take_answers()
        if not answers:
            return False
        began = host.now()
        self.stream.send(answers, WRITE_TIMEOUT)
        if host.now() - began > ARRIVAL_RESOLUTION:
            self.unread_since = self.unread_since or began
        for held in self.being_sent:
            held.context.end(held.answer[0] == SUCCEEDED)
        self.being_sent = []
        return True

    def take_answers(self):
        """Removes complete answers from the head of the queue and returns them as bytes."""
        answers, size = [], 0
        while self.pending and size < WRITE_SIZE:
            head = self.pending[0]
            if not isinstance(head, bytes):
                if head.answer is None:
                    break
                self.open_count -= 1
                self.being_sent.append(head)
                head = self.take_answer(head)
            self.pending.popleft()
            answers.append(head)
            size += len(head)
        return b"".join(answers) if len(answers) > 1 else (answers[0] if answers else b"")

    @staticmethod
    def take_answer(held):
        """The encoded answer of an invocation, which keeps only its kind."""
        kind, *details = held.answer
        held.answer = (kind,)
        if kind == SUCCEEDED:
            return details[0] + pg.READY
        if kind == "throttled":
            return pg.throttled(details[0]) + pg.READY
        return pg.terminated(details[0] if details else True) + pg.READY
