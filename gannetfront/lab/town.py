"""Many members in virtual time, with faults between them: the production core, one heap of events, no sockets."""

from heapq import heappop, heappush

from ..faults.schedule import Schedule
from ..duties.post import Post
from ..host import Jitter
from ..members.core import Members

TRIP = 1.0  # ms that a datagram is on its way, beside what the schedule adds


class Town:
    """`roster` is {number: zone}. `held` are the numbers of members that are stopped: they neither tick nor hear, and what comes
    waits for them. `lost` hold no process at all."""

    def __init__(self, roster, period=1000.0, seed=1, faults=()):
        self.now, self.heap, self.count, self.sent, self.bytes = 0.0, [], 0, {}, 0
        self.schedule, self.roster, self.period, self.seed = (
            Schedule(list(faults), seed),
            roster,
            period,
            seed,
        )
        self.cores, self.held, self.lost, self.waiting, self.seen = {}, set(), set(), {}, []
        self.measure = None
        for number in roster:
            self.start(number)

    def at(self, when, call, *fields):
        self.count += 1
        heappush(self.heap, (when, self.count, call, fields))

    def start(self, number):
        """A process with nothing kept from an earlier one."""
        self.lost.discard(number)
        core = self.cores[number] = self.make(number, Jitter(self.seed * 7919 + number))
        self.at(core.due_at(), self.tick, number, core)

    def make(self, number, chance):
        return Members(number, self.roster, self.period, chance, self.now)

    def kill(self, number):
        self.lost.add(number)

    def hold(self, number, span):
        self.held.add(number)
        self.at(self.now + span, self.go_on, number)

    def go_on(self, number):
        self.held.discard(number)
        core = self.cores[number]
        core.tick(self.now, Out(self, number))  # its own timer is first: it is long due
        for source, message in self.waiting.pop(number, ()):
            core.receive(self.now, source, message, Out(self, number))

    def tick(self, number, core):
        if self.cores[number] is not core or number in self.lost:
            return
        if number not in self.held and self.now >= core.due_at():
            core.tick(self.now, Out(self, number))
        self.at(max(self.now + 1.0, core.due_at()), self.tick, number, core)

    def arrive(self, source, target, message):
        if target in self.lost:
            return
        if target in self.held:
            self.waiting.setdefault(target, []).append((source, message))
            return
        core = self.cores[target]
        core.receive(self.now, source, message, Out(self, target))
        if core.due_at() > self.now:
            self.at(core.due_at(), self.tick_once, target, core)

    def tick_once(self, number, core):
        if self.cores[number] is core and number not in self.held | self.lost and self.now >= core.due_at():
            core.tick(self.now, Out(self, number))

    def run(self, span):
        end = self.now + span
        while self.heap and self.heap[0][0] <= end:
            self.now, _, call, fields = heappop(self.heap)
            call(*fields)
        self.now = end

    def views(self, of):
        """How those that run see a member: {state: how many}."""
        found = {}
        for number, core in self.cores.items():
            if number != of and number not in self.lost | self.held:
                state = core.members[of].state
                found[state] = found.get(state, 0) + 1
        return found

    def agree(self, gone=()):
        return all(
            set(core.alive()) == set(self.roster) - set(gone)
            for n, core in self.cores.items()
            if n not in self.lost
        )


class Council(Town):
    """The same for a duty's posts: who holds it, with every member thought to be there."""

    def __init__(self, roster, electors, span=1000.0, settle=200.0, rate=0.01, **facts):
        self.electors, self.span, self.settle, self.rate, self.lives = electors, span, settle, rate, 0
        super().__init__(roster, **facts)

    def make(self, number, chance):
        self.lives += 1
        return Seat(
            Post(
                "duty",
                number,
                self.lives,
                self.roster,
                self.electors,
                self.span,
                self.rate,
                chance,
                self.now,
                settle=self.settle,
            ),
            set(self.roster),
        )

    def holders(self):
        return [
            n for n, core in self.cores.items() if n not in self.lost and core.post.candidate.holds(self.now)
        ]


class Seat:
    """A post with what it asks of its surroundings."""

    def __init__(self, post, alive):
        self.post, self.alive, self.due_at, self.receive = post, alive, post.due_at, post.hear

    def tick(self, now, out):
        self.post.tick(now, 0.0, self.alive, out)


class Out:
    __slots__ = "town", "me"

    def __init__(self, town, me):
        self.town, self.me = town, me

    def send(self, to, message):
        town = self.town
        town.sent[self.me] = town.sent.get(self.me, 0) + 1
        if town.measure:
            town.bytes = max(town.bytes, town.measure(self.me, message))
        for late in town.schedule.datagram(town.now, str(self.me), str(to)):
            town.at(town.now + TRIP + late, town.arrive, self.me, to, message)

    def gained(self, token, state):
        self.town.seen.append((self.town.now, self.me, token, "gained"))

    def lost(self, token, why):
        self.town.seen.append((self.town.now, self.me, token, why))

    def heard(self, token):
        """A fence's business; there is none here."""

    def changed(self, number, state):
        self.town.seen.append((self.town.now, self.me, number, state))
