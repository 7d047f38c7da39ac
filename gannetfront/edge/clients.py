"""The clients' side on the platform: queries read ahead, begun when read, answered in their order, each once."""

from collections import Counter, deque

from .. import host
from ..interface import SUCCEEDED
from ..wire import pg
from .budget import (
    BAD_IN_A_ROW,
    BUSY,
    IDLE,
    IDLE_TIMEOUT,
    LINGER_SIZE,
    LINGER_TIMEOUT,
    MAX_LINGERING,
    MAX_PENDING,
    MAX_PIPELINED,
    OVERDUE,
    READ_AHEAD,
    SILENT,
    START_TIMEOUT,
    STARTING,
    WRITE_TIMEOUT,
)
from .config import MARGIN


class Left(Exception):
    """The client has gone."""


class Clients:
    def __init__(self, rounds, operations, limits, budget, log):
        """`operations` as wire/pg.statement takes them; `limits` are time limits in ms by operation."""
        self.rounds, self.operations, self.limits, self.budget, self.log = (
            rounds,
            operations,
            limits,
            budget,
            log,
        )
        self.open, self.ids, self.turned_away = set(), set(), Counter()
        self.draining = False  # connections end with the answer after which nothing is owed on them
        self.lingering = host.LingeringCloses(MAX_LINGERING, LINGER_TIMEOUT, LINGER_SIZE)

    def handle(self, stream):
        self.open.add(stream)
        close = stream.close
        try:
            if not self.budget.enter(stream):
                self.turned_away["no descriptor"] += 1
                soonest = min(
                    map(self.rounds.retry_advice, range(len(self.limits)))
                )  # what it wants is not known
                stream.send(pg.throttled(soonest, "too many connections", True), 0.0)
            elif not Session(self, stream).run():
                return

            # It ended here, with a last answer that the client may not have read while it still writes.
            def close():
                return self.lingering.close(stream)
        except (OSError, host.Timeout, Left):
            pass  # a client that left, broke off, says nothing or does not read: nobody is there to be told
        finally:
            self.budget.leave(stream)
            close()
            self.open.discard(stream)


class Session:
    """One connection."""

    def __init__(self, clients, stream):
        self.all, self.stream, self.reader = clients, stream, pg.ClientReader()
        self.pending, self.count, self.last, self.looked = (
            deque(),
            0,
            False,
            False,
        )  # pending: bytes, or (Held, id)
        self.bad, self.dropped = 0, 0

    def run(self):
        try:
            return self.converse()
        finally:
            # Whatever ended it, nobody waits here any more: dispatches are called off, ids may come again.
            for answer in self.pending:
                if type(answer) is tuple:
                    self.all.rounds.abandon(answer[0])
                    self.all.ids.discard(answer[1])

    def converse(self):
        """True once a last answer was sent behind which more may have been written; False where nothing is owed and the proxy
        drains; raises Left, Timeout or OSError where the client ended it."""
        stream, reader, since = self.stream, self.reader, host.now()
        while True:
            self.read()
            out = self.settled()
            if out:
                stream.send(out, WRITE_TIMEOUT)
                since = host.now()
                continue  # others may have been answered meanwhile
            if not self.pending and self.last:
                return True
            state = self.state()
            # Here and not a look later: a client that asks again as soon as it is answered would never be found idle. What is
            # there at the first look is taken; what comes after it crosses the close and is asked elsewhere.
            if self.all.draining and state in (SILENT, IDLE):
                if self.looked or not stream.waiting():
                    return False
                self.looked = True
            self.all.budget.mark(stream, state)
            try:
                if not self.pending:
                    limit = START_TIMEOUT if not reader.started or reader.begun else IDLE_TIMEOUT
                    data = stream.recv(65536, since + limit - host.now())
                else:
                    held = self.pending[0][0]
                    left = held.deadline + OVERDUE - host.now()
                    if left <= 0:
                        # Nothing decided in time, whatever the reason: the client must hear something while it listens.
                        self.all.log.error("answer overdue", inv=held.invocation_id)
                        self.all.rounds.abandon(held, "terminated", True)
                        continue
                    next_byte = stream.peek() if self.all.draining else None
                    if self.ahead >= READ_AHEAD or next_byte:
                        held.context.done.wait(left)
                        continue
                    if self.all.draining and next_byte is None:
                        stream.until(host.READ, left, held.context.done)  # for its end: nothing more is taken
                        continue
                    data = stream.recv_or(held.context.done, 65536, left)
            except host.Timeout:
                if not self.pending:
                    raise
                continue
            if data is None:
                continue
            if not data:
                raise Left
            if not reader.begun and not self.pending:
                since = host.now()
            # Read on though nothing more of it is taken for now, or ever: only so the client's close is seen.
            if self.last:
                self.dropped += len(data)
            else:
                reader.feed(data)

    @property
    def ahead(self):
        """Bytes read that nothing was begun for."""
        return self.dropped if self.last else len(self.reader.held)

    def state(self):
        if self.pending or self.last or self.reader.started and self.reader.begun:
            return BUSY
        return (
            IDLE if self.reader.started else STARTING if self.reader.begun or self.reader.wishes else SILENT
        )

    def settled(self):
        """What the answers at the head of the line come to, in bytes."""
        out = []
        while self.pending:
            head = self.pending[0]
            if type(head) is tuple:
                held, ident = head
                if held.answer is None:
                    break
                self.all.ids.discard(ident)
                self.count -= 1
                head = self.worded(*held.answer)
            self.pending.popleft()
            out.append(head)
        return b"".join(out)

    @staticmethod
    def worded(kind, *facts):
        if kind == SUCCEEDED:
            return facts[0] + pg.READY
        if kind == "throttled":
            return pg.throttled(facts[0]) + pg.READY
        return pg.terminated(facts[0] if facts else True) + pg.READY

    def read(self):
        """All that is whole among the bytes read, as far as answers may wait."""
        try:
            while not self.last and len(self.pending) < MAX_PENDING:
                got = self.reader.take()
                if got is None:
                    return
                self.all.budget.mark(self.stream, BUSY)
                if got[0] == "plain":
                    self.pending.append(pg.PLAIN)
                elif got[0] == "start":
                    self.pending.append(pg.WELCOME)
                elif got[0] == "end":
                    raise Left
                else:
                    self.pending.append(self.query(got[1]))
        except pg.BadMessage as bad:
            # Nothing behind it can be read: this answer is the last.
            self.all.turned_away[bad.code.decode()] += 1
            self.pending.append(pg.error(bad.code, bad.why, True))
            self.last = True

    def query(self, sql):
        if not sql.strip(b" \t\r\n;"):
            return pg.EMPTY + pg.READY
        try:
            return self.begin(sql)
        except pg.BadMessage as bad:
            self.all.turned_away[bad.code.decode()] += 1
            self.bad += 1
            if self.bad >= BAD_IN_A_ROW:
                raise pg.BadMessage(bad.code, bad.why, True) from None
            return pg.error(bad.code, bad.why) + pg.READY

    def begin(self, sql):
        every = self.all
        op, uid, ident, left, _, content = pg.statement(sql, every.operations)
        if ident in every.ids:
            raise pg.BadMessage(b"23505", "an invocation with this id is open")
        self.bad = 0
        left = max(0.0, min(left, every.limits[op]) - MARGIN)
        held = every.rounds.accept(op, 0, uid, left, *content) if self.count < MAX_PIPELINED else None
        if held is None:
            every.turned_away["too much is open"] += 1
            return pg.throttled(every.rounds.retry_advice(op), "throttled: too much is open here") + pg.READY
        held.context.client_gone = self.stream.ended
        every.ids.add(ident)
        self.count += 1
        return held, ident
