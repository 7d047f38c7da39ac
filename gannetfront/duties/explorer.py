"""All that can happen to a lease within bounds: the production core, every order of deliveries, losses, doubles, restarts and stalls.

A state is the electors, the candidates, what is on its way and what the bounds still allow; states that were met are not gone through
again. In each it must hold that at most one candidate holds by its own clock, and that tokens of holders that followed one another
rise. Found or not, it says how many states it saw; a breach comes with the shortest way there (breadth first).
"""

from collections import deque

from .lease import Candidate, Elector

STEP = 2.0  # ms of real time that an advance takes


class Bounds:
    """How often each kind of trouble may come on one way: `late` messages wait for any moment, while those that are not are
    exchanged, question and answer, before time goes on."""

    def __init__(
        self,
        losses=1,
        late=1,
        doubles=0,
        elector_restarts=1,
        candidate_restarts=0,
        stalls=0,
        cuts=0,
        advances=8,
        hands=0,
    ):
        self.left = (
            losses,
            late,
            doubles,
            elector_restarts,
            candidate_restarts,
            stalls,
            cuts,
            advances,
            hands,
        )


class Same:
    """Chance that is no chance: every candidate's own, so that both ways of a race are met by the orders of events."""

    def __init__(self, value):
        self.value = value

    def random(self):
        return self.value


class Out:
    def __init__(self, world, me):
        self.world, self.me = world, me

    def send(self, elector, message):
        self.world.fresh += ((self.me, elector, message),)

    def gained(self, token):
        if token < self.world.highest:
            self.world.fell = (self.world.highest, token)
        self.world.highest = max(self.world.highest, token)

    def lost(self, why):
        pass


class World:
    """Electors are "e0", "e1", ..; candidates 0, 1, ..; `rates` how fast each one's clock runs."""

    def __init__(self, kinds, rates, span, rate, bounds, forgetful=True):
        elector, candidate = kinds
        self.rates, self.span, self.rate, self.kinds, self.now = rates, span, rate, kinds, 0.0
        self.names = [n for n in rates if isinstance(n, str)]
        # Electors that have long been there: their silence after a start is over.
        self.electors = {n: elector(-10 * span, span, rate) for n in self.names}
        self.candidates = {
            n: candidate(n, 0, self.names, span, rate, Same(0.25 * n), 0.0)
            for n in rates
            if n not in self.names
        }
        self.fresh, self.late, self.left, self.stalled, self.cut = (
            (),
            (),
            bounds.left,
            frozenset(),
            frozenset(),
        )
        self.highest, self.fell = (0, -1, 0), None

    def clock(self, name):
        return self.now * self.rates[name]

    def copy(self):
        other = object.__new__(World)
        other.__dict__.update(self.__dict__)
        other.electors = {n: clone(x) for n, x in self.electors.items()}
        other.candidates = {n: clone(x) for n, x in self.candidates.items()}
        return other

    def key(self):
        """Electors of one clock are each other's like: worlds that differ by their names only are one."""

        def of(name):
            return tuple(
                sorted(
                    repr((kind, s if t == name else t, s == name, m))
                    for kind, some in (("f", self.fresh), ("l", self.late))
                    for s, t, m in some
                    if name in (s, t)
                )
            )

        return (
            self.now,
            self.left,
            self.stalled,
            self.cut,
            self.highest,
            tuple(picture(x) for x in self.candidates.values()),
            tuple(
                sorted(
                    repr((picture(x), of(n), [c.responses.get(n) for c in self.candidates.values()]))
                    for n, x in self.electors.items()
                )
            ),
        )

    def spend(self, which):
        self.left = tuple(n - (at == which) for at, n in enumerate(self.left))

    def steps(self):
        """(what, world after it) of all that may come next."""
        losses, late, doubles, restarts, reborn, stalls, cuts, advances, hands = self.left
        for one in dict.fromkeys(self.fresh):
            yield f"exchange {one}", self.after(self.exchange, one, ())
            if losses:
                yield f"lose {one}", self.after(self.exchange, one, ("lost",))
                yield f"lose the answer to {one}", self.after(self.exchange, one, ("answer lost",))
            if late:
                yield f"keep for later {one}", self.after(self.exchange, one, ("late",))
                yield f"keep for later the answer to {one}", self.after(self.exchange, one, ("answer late",))
            if doubles:
                yield f"exchange, and keep a copy of {one}", self.after(self.exchange, one, ("double",))
        for one in dict.fromkeys(self.late):
            yield f"now comes {one}", self.after(self.comes, one)
        if restarts:
            for name in self.names:
                yield f"restart {name}", self.after(self.restart, name)
        if reborn:
            for name in self.candidates:
                yield f"restart candidate {name}", self.after(self.be_reborn, name)
        if stalls:
            for name in self.candidates:
                if name not in self.stalled:
                    yield f"stall {name}", self.after(self.stall, name)
        if cuts:
            for name in self.candidates:
                if name not in self.cut:
                    yield f"cut off {name}", self.after(self.cut_off, name)
        for name, one in self.candidates.items():
            for to in (
                self.candidates if hands and name not in self.stalled and one.holds(self.clock(name)) else ()
            ):
                if to != name:
                    yield f"{name} hands over to {to}", self.after(self.hand, name, to)
        for name in sorted(self.cut):
            yield f"no longer cut off {name}", self.after(self.join, name)
        for name in sorted(self.stalled):
            yield f"go on {name}", self.after(self.go_on, name)
        if advances and not self.fresh:
            yield f"{STEP:g} ms", self.after(self.advance)

    def after(self, call, *fields):
        other = self.copy()
        getattr(other, call.__name__)(*fields)
        return other

    def exchange(self, one, how):
        self.fresh = without(self.fresh, one)
        source, target, message = one
        if "lost" in how:
            return self.spend(0)
        if target in self.candidates and not ("late" in how or "double" in how):
            return self.told(source, target, message)
        if "late" in how or "double" in how:
            self.spend(1 if "late" in how else 2)
            self.late += (one,)
        if "late" in how:
            return
        if target in self.candidates:
            return self.told(source, target, message)
        answer = self.electors[target].receive(self.clock(target), source, message)
        if answer and "answer lost" in how:
            self.spend(0)
        elif answer and "answer late" in how:
            self.spend(1)
            self.late += ((target, source, answer),)
        elif answer:
            self.told(target, source, answer)

    def told(self, source, target, answer):
        if target in self.stalled:  # it waits to be read
            self.late += ((source, target, answer),)
        elif answer[0] == "over":
            self.candidates[target].lease_ended(self.clock(target), answer[1])
        else:
            self.candidates[target].receive(self.clock(target), source, answer, Out(self, target))

    def comes(self, one):
        self.late = without(self.late, one)
        source, target, message = one
        if target in self.electors:
            answer = self.electors[target].receive(self.clock(target), source, message)
            if answer:
                self.told(target, source, answer)
        else:
            self.told(source, target, message)

    def hand(self, name, to):
        """As the shell does it: the duty is let go, then the successor is told."""
        self.spend(8)
        token = self.candidates[name].token
        self.candidates[name].release(self.clock(name), "handed over", Out(self, name))
        self.fresh += ((name, to, ("over", token)),)

    def restart(self, name):
        self.spend(3)
        self.electors[name] = self.kinds[0](self.clock(name), self.span, self.rate)

    def be_reborn(self, name):
        self.spend(4)
        old = self.candidates[name]
        self.candidates[name] = self.kinds[1](
            name, old.life + 1, self.names, self.span, self.rate, old.random, self.clock(name)
        )

    def stall(self, name):
        self.spend(5)
        self.stalled |= {name}

    def go_on(self, name):
        self.stalled -= {name}

    def cut_off(self, name):
        self.spend(6)
        self.cut |= {name}
        self.fresh = tuple(m for m in self.fresh if m[0] != name)

    def join(self, name):
        self.cut -= {name}

    def calm(self):
        """Candidate 0 has come first, and holds."""
        self.now += STEP
        self.candidates[0].tick(self.clock(0), Out(self, 0))
        while self.fresh:
            self.exchange(self.fresh[0], ())

    def advance(self):
        self.spend(7)
        self.now += STEP
        for name, one in self.candidates.items():
            if name not in self.stalled:
                one.tick(self.clock(name), Out(self, name))
        self.fresh = tuple(m for m in self.fresh if m[0] not in self.cut)

    def breach(self):
        holders = [n for n, one in self.candidates.items() if one.holds(self.clock(n)) is not None]
        if len(holders) > 1:
            return f"{holders} hold at once"
        if self.fell:
            return f"token {self.fell[1]} after {self.fell[0]}"
        return None


def without(some, one):
    at = some.index(one)
    return some[:at] + some[at + 1 :]


def clone(one):
    other = object.__new__(type(one))
    other.__dict__.update(one.__dict__)
    if "responses" in other.__dict__:
        other.responses = dict(one.responses)
    return other


def picture(one):
    return tuple(
        (n, v)
        for n, v in sorted(one.__dict__.items())
        if n
        not in (
            "random",
            "electors",
            "quorum_sets",
            "reported_token",
            "start_delay",
            "lost_reason",
            "generation",
            "responses",
        )
    )


def explore(
    kinds=(Elector, Candidate),
    candidates=2,
    electors=3,
    span=10.0,
    rate=0.1,
    bounds=None,
    most=10**6,
    extremes=True,
    held=False,
):
    """(states seen, breach or None, [steps to it], whether all within the bounds was seen). `held`: from candidate 0 holding on."""
    slow, fast = (1 - rate, 1 + rate) if extremes else (1.0, 1.0)
    rates = {f"e{n}": fast for n in range(electors)} | {
        n: slow if n == 0 else fast for n in range(candidates)
    }
    first = World(kinds, rates, span, rate, bounds or Bounds())
    if held:
        first.calm()
    met, line = {first.key(): (None, None)}, deque([first])
    while line:
        world = line.popleft()
        here = world.key()
        for what, after in world.steps():
            key = after.key()
            if key in met:
                continue
            met[key] = here, what
            wrong = after.breach()
            if wrong:
                way = []
                while key is not None and met[key][1] is not None:
                    way.append(met[key][1])
                    key = met[key][0]
                return len(met), wrong, way[::-1], False
            if len(met) >= most:
                return len(met), None, [], False
            line.append(after)
    return len(met), None, [], True
