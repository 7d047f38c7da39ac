"""What stands between a Balancer and whatever carries it, without I/O: invocations held, dispatches out, timers.

The shell (proxy/rounds.py on sockets, lab/world.py in virtual time) puts events in, calls `step`, and gives the
functions by which decisions are carried out:
  launch(held, seq, addr, limit)   send a dispatch; its outcome comes back through `landed`
  call_off(ident, seq)             stop waiting for one
  ended(held, kind, facts)         the one final answer stands
  vote, signal, reload, close_idle, line       as the Writer's, `line` for its log
"""

from heapq import heappop, heappush

from ..interface import MOOT


class Held:  # an invocation that is owed its answer
    __slots__ = "ident", "op", "deadline", "seq", "answer", "extra"

    def __init__(self, ident, op, deadline, extra):
        self.ident, self.op, self.deadline, self.extra = ident, op, deadline, extra
        self.seq, self.answer = 0, None


class Carrier:
    def __init__(self, make, shell):
        """`make()` gives a fresh Balancer; `shell` has the functions named above."""
        self.make, self.shell, self.balancer = make, shell, make()
        self.held, self.timers, self.acts, self.events = {}, [], [], []
        self.count, self.life, self.ends = 0, 0, {}

    # ---- what comes in ----

    def take(self, op, tenant, key, deadline, left, extra):
        """A Held; the decisions hear of it in the next step."""
        self.count += 1
        held = self.held[self.count] = Held(self.count, op, deadline, extra)
        self.events.append(("invocation", held.ident, key, op, tenant, left))
        return held

    def end(self, held, kind, *facts):
        """The one final answer; False if there was one already."""
        if held.answer is not None:
            return False
        held.answer = (kind, *facts)
        self.ends[kind, held.op] = self.ends.get((kind, held.op), 0) + 1
        self.shell.ended(held, kind, facts)
        return True

    def leave(self, held, kind="gone", *facts):
        """The client is gone or its time is up: the decisions are told that nothing is owed any more."""
        if self.end(held, kind, *facts):
            self.events.append(("client_gone", held.ident))

    def landed(self, held, seq, life, addr, status, took, load):
        """The outcome of a dispatch; one of an earlier life is nobody's."""
        if life == self.life:
            self.events.append(
                ("outcome", held.ident, seq, addr, status, took, held.answer is not None, load)
            )

    def stands(self, held, seq, life, now):
        """Whether a dispatch that waited for something is still to be sent: asked right before its first byte."""
        return life == self.life and held.answer is None and self.balancer.stands(now, held.ident, seq)

    def due(self):
        """When the next timer is due, or None."""
        return self.timers[0][0] if self.timers else None

    # ---- the round ----

    def step(self, now):
        """One round with all that came in; then the decisions are carried out."""
        events, self.events = self.events, []
        while self.timers and self.timers[0][0] <= now:
            events.append(("timer", heappop(self.timers)[1]))
        self.acts = []
        self.balancer.round(now, events, self)
        for event in events:
            # Held until the decisions know its end: only then do they send nothing more for it.
            if event[0] == "client_gone" or event[0] == "outcome" and event[6]:
                self.held.pop(event[1], None)
        acts, self.acts = self.acts, []
        for act, fields in acts:
            act(*fields)

    def restart(self):
        """Fresh decisions: all that is held ends at once, terminated; what is out reports to nobody, as the fresh
        ones know neither it nor, perhaps, its node. Nothing is sent again: what ran is not known any more."""
        held, self.held, self.life = self.held, {}, self.life + 1
        for one in held.values():
            self.end(one, "terminated", False)
        self.balancer, self.timers, self.acts, self.events = self.make(), [], [], []

    # ---- the writer: decisions are carried out after the round that made them ----

    def dispatch(self, ident, addr, limit):
        held = self.held[ident]
        self.acts.append((self.do_dispatch, (held, held.seq, addr, limit)))
        held.seq += 1

    def do_dispatch(self, held, seq, addr, limit):
        if held.answer is not None:
            # Ended between the round's events and now: the dispatch is never sent.
            self.events.append(("outcome", held.ident, seq, addr, MOOT, 0.0, True, {}))
        else:
            self.shell.launch(held, seq, addr, limit)

    def cancel(self, ident, seq):
        self.acts.append((self.shell.call_off, (ident, seq)))

    def throttle(self, ident, retry_in):
        self.acts.append((self.do_end, (ident, "throttled", retry_in)))

    def terminate(self, ident):
        self.acts.append((self.do_end, (ident, "terminated")))

    def do_end(self, ident, kind, *facts):
        held = self.held.pop(ident, None)
        if held:
            self.end(held, kind, *facts)

    def vote(self, stage, ver, verdict):
        self.acts.append((self.shell.vote, (stage, ver, verdict)))

    def signal(self, target, payload):
        self.acts.append((self.shell.signal, (target, payload)))

    def subscribe(self, enable):
        self.reload()

    def reload(self):
        self.acts.append((self.shell.reload, ()))

    def close_idle(self, addr):
        self.acts.append((self.shell.close_idle, (addr,)))

    def probe(self, addr):
        """Never asked for: settings do not offer probes."""

    def timer(self, at, key):
        heappush(self.timers, (at, key))

    def log(self, line):
        self.shell.line(line)
