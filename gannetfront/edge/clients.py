"""Client connections on the platform: pipelined queries start as they are read and are answered once each, in
order."""

from collections import Counter, deque

from .. import host
from ..interface import SUCCEEDED
from ..wire import pg
from .budget import (
    BUSY,
    IDLE,
    IDLE_TIMEOUT,
    LINGER_SIZE,
    LINGER_TIMEOUT,
    MAX_CONSECUTIVE_ERRORS,
    MAX_LINGERING,
    MAX_PENDING,
    MAX_PIPELINED,
    OVERDUE_GRACE,
    READ_AHEAD,
    STARTING,
    START_TIMEOUT,
    UNUSED,
    WRITE_TIMEOUT,
)
from .config import MARGIN


class ClientDisconnected(Exception):
    """The client has closed the connection or ended its session."""


class Clients:
    """All client connections of the proxy, and the ids of the invocations that are open on them."""

    def __init__(self, rounds, operations, limits, budget, log):
        """`operations` has the form that wire/pg.statement takes; `limits` are time limits in ms by operation
        index."""
        self.rounds = rounds
        self.operations = operations
        self.limits = limits
        self.budget = budget
        self.log = log
        self.open = set()
        self.ids = set()
        self.turned_away = Counter()
        self.draining = False  # a connection is closed once all its answers are sent
        self.lingering = host.LingeringCloses(MAX_LINGERING, LINGER_TIMEOUT, LINGER_SIZE)

    def handle(self, stream):
        """Serves one connection until it ends."""
        self.open.add(stream)
        close = stream.close
        try:
            if not self.budget.enter(stream):
                self.turned_away["connection limit reached"] += 1
                # The operation is not known yet, so the shortest delay of any operation is given.
                retry_delay = min(map(self.rounds.retry_advice, range(len(self.limits))))
                stream.send(pg.throttled(retry_delay, "too many connections", True), 0.0)
            elif not Session(self, stream).run():
                return

            # The proxy ends the connection. The client may still be writing and may not have read the last
            # answer.
            def close():
                return self.lingering.close(stream)
        except (OSError, host.Timeout, ClientDisconnected):
            pass  # the client disconnected, was idle too long or does not read: no answer can reach it
        finally:
            self.budget.leave(stream)
            close()
            self.open.discard(stream)


class Session:
    """One client connection: reads its messages and sends the answers in order."""

    def __init__(self, clients, stream):
        self.clients = clients
        self.stream = stream
        self.reader = pg.ClientReader()
        # Encoded answers, and (HeldInvocation, invocation id) of invocations not yet answered.
        self.pending = deque()
        self.open_count = 0
        self.final_answer_queued = False
        self.drain_checked = False
        self.consecutive_errors = 0
        self.discarded_bytes = 0

    def run(self):
        """Serves the connection; returns and raises as serve() does."""
        try:
            return self.serve()
        finally:
            # No client is waiting any more: open invocations are abandoned and their ids may be used again.
            for answer in self.pending:
                if type(answer) is tuple:
                    self.clients.rounds.abandon(answer[0])
                    self.clients.ids.discard(answer[1])

    def serve(self):
        """Reads and answers until the connection ends.

        Returns True after a final answer, when the client may still be writing, and False when the proxy
        drains and no answer is due. Raises ClientDisconnected, Timeout or OSError when the client ended the
        connection."""
        stream, reader, since = self.stream, self.reader, host.now()
        while True:
            self.read_messages()
            answers = self.take_answers()
            if answers:
                stream.send(answers, WRITE_TIMEOUT)
                since = host.now()
                continue  # more invocations may have been answered during the write
            if not self.pending and self.final_answer_queued:
                return True
            state = self.state()
            # Checked right after the answer: a client that sends its next request at once would otherwise
            # never be found idle. A request that is present at the first check is served; a later one crosses
            # the close and is retried elsewhere.
            if self.clients.draining and state in (UNUSED, IDLE):
                if self.drain_checked or not stream.waiting():
                    return False
                self.drain_checked = True
            self.clients.budget.mark(stream, state)
            try:
                if not self.pending:
                    timeout = START_TIMEOUT if not reader.started or reader.begun else IDLE_TIMEOUT
                    data = stream.recv(65536, since + timeout - host.now())
                else:
                    held = self.pending[0][0]
                    time_left = held.deadline + OVERDUE_GRACE - host.now()
                    if time_left <= 0:
                        # No decision in time, for whatever reason: answer while the client still waits.
                        self.clients.log.error("answer overdue", inv=held.invocation_id)
                        self.clients.rounds.abandon(held, "terminated", True)
                        continue
                    next_byte = stream.peek() if self.clients.draining else None
                    if self.unprocessed_bytes >= READ_AHEAD or next_byte:
                        held.context.done.wait(time_left)
                        continue
                    if self.clients.draining and next_byte is None:
                        # Waits only for the client's close: while draining, no more requests are read.
                        stream.until(host.READ, time_left, held.context.done)
                        continue
                    data = stream.recv_or(held.context.done, 65536, time_left)
            except host.Timeout:
                if not self.pending:
                    raise
                continue
            if data is None:
                continue
            if not data:
                raise ClientDisconnected
            if not reader.begun and not self.pending:
                since = host.now()
            # Reading goes on even if the data is not processed now, or ever: otherwise the client's close is
            # not detected.
            if self.final_answer_queued:
                self.discarded_bytes += len(data)
            else:
                reader.feed(data)

    @property
    def unprocessed_bytes(self):
        """Bytes that were read and not yet processed."""
        return self.discarded_bytes if self.final_answer_queued else len(self.reader.held)

    def state(self):
        """State of the connection, as budget.py defines them."""
        if self.pending or self.final_answer_queued or self.reader.started and self.reader.begun:
            return BUSY
        return (
            IDLE if self.reader.started else STARTING if self.reader.begun or self.reader.wishes else UNUSED
        )

    def take_answers(self):
        """Removes the answers that are complete at the head of the queue and returns them as bytes."""
        answers = []
        while self.pending:
            head = self.pending[0]
            if type(head) is tuple:
                held, invocation_id = head
                if held.answer is None:
                    break
                self.clients.ids.discard(invocation_id)
                self.open_count -= 1
                head = self.encode_answer(*held.answer)
            self.pending.popleft()
            answers.append(head)
        return b"".join(answers)

    @staticmethod
    def encode_answer(kind, *details):
        if kind == SUCCEEDED:
            return details[0] + pg.READY
        if kind == "throttled":
            return pg.throttled(details[0]) + pg.READY
        return pg.terminated(details[0] if details else True) + pg.READY

    def read_messages(self):
        """Handles the complete messages among the bytes read, up to MAX_PENDING waiting answers."""
        try:
            while not self.final_answer_queued and len(self.pending) < MAX_PENDING:
                message = self.reader.take()
                if message is None:
                    return
                self.clients.budget.mark(self.stream, BUSY)
                if message[0] == "plain":
                    self.pending.append(pg.PLAIN)
                elif message[0] == "start":
                    self.pending.append(pg.WELCOME)
                elif message[0] == "end":
                    raise ClientDisconnected
                else:
                    self.pending.append(self.handle_query(message[1]))
        except pg.BadMessage as error:
            # What follows a malformed message cannot be parsed: this answer is the last.
            self.clients.turned_away[error.code.decode()] += 1
            self.pending.append(pg.error(error.code, error.why, True))
            self.final_answer_queued = True

    def handle_query(self, sql):
        """The encoded answer, or (HeldInvocation, invocation id) for an invocation that was started.

        Raises pg.BadMessage after MAX_CONSECUTIVE_ERRORS consecutive statements that could not be read."""
        if not sql.strip(b" \t\r\n;"):
            return pg.EMPTY + pg.READY
        try:
            return self.start_invocation(sql)
        except pg.BadMessage as error:
            self.clients.turned_away[error.code.decode()] += 1
            self.consecutive_errors += 1
            if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
                raise pg.BadMessage(error.code, error.why, True) from None
            return pg.error(error.code, error.why) + pg.READY

    def start_invocation(self, sql):
        """Hands the statement's invocation to the decisions, or answers that it is throttled.

        Raises pg.BadMessage for a malformed statement and for an id that is open already."""
        clients = self.clients
        operation, uid, invocation_id, time_left, _, content = pg.statement(sql, clients.operations)
        if invocation_id in clients.ids:
            raise pg.BadMessage(b"23505", "an invocation with this id is open")
        self.consecutive_errors = 0
        time_left = max(0.0, min(time_left, clients.limits[operation]) - MARGIN)
        held = (
            clients.rounds.accept(operation, 0, uid, time_left, *content)
            if self.open_count < MAX_PIPELINED
            else None
        )
        if held is None:
            clients.turned_away["too many open invocations"] += 1
            return (
                pg.throttled(clients.rounds.retry_advice(operation), "throttled: too much is open here")
                + pg.READY
            )
        held.context.client_gone = self.stream.ended
        clients.ids.add(invocation_id)
        self.open_count += 1
        return held, invocation_id
