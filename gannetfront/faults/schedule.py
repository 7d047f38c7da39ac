"""What a link does to what crosses it, by a schedule of faults, without I/O: the relay asks, and does as it is told.

Times are ms of the machine's one monotonic clock. A fault is (begin, until, sources, destinations, ways, facts): it strikes what goes
from one of `sources` to one of `destinations` ("there"), the answers on the same links ("back"), or "both". Facts, all optional:
  cut=1           nothing crosses; a stream keeps what was sent until the cut ends, a datagram is lost
  reset=1         streams are reset, also new ones, as by a box in between that forgot them
  ms, jitter      crosses so much later, and up to `jitter` more by chance
  loss, twice     share of datagrams lost, or crossing twice; streams repeat by themselves what is lost: `loss` costs them RETRY ms
  shuffle         share of datagrams that others overtake
  rate            bytes a second at most; 0: any
  flap            the fault stands for the first half of each so many ms only; 0: all the time
"""

from ..host import Jitter

RETRY = 200.0  # ms that a lost segment costs a stream, as the least time until it is sent again
BEHIND = 40.0  # ms by which a datagram is overtaken
FACTS = dict(cut=0, reset=0, ms=0.0, jitter=0.0, loss=0.0, twice=0.0, shuffle=0.0, rate=0.0, flap=0.0)


class Schedule:
    def __init__(self, faults, seed):
        """Chance is drawn by link, so that what crosses one does not move the draws of another."""
        self.faults, self.seed, self.draws = faults, seed, {}

    def chance(self, source, target):
        if (source, target) not in self.draws:
            mixed = self.seed
            for byte in f"{source}>{target}".encode():
                mixed = (mixed * 1099511628211 + byte) % 2**64
            self.draws[source, target] = Jitter(mixed)
        return self.draws[source, target].random()

    def standing(self, now, source, target):
        """The facts of all faults that strike what goes from source to target now, the worst of each."""
        found = dict(FACTS)
        for begin, until, sources, targets, ways, facts in self.faults:
            there = source in sources and target in targets and ways in ("there", "both")
            back = target in sources and source in targets and ways in ("back", "both")
            flap = facts.get("flap", 0.0)
            if begin <= now < until and (there or back) and not (flap and (now - begin) % flap >= flap / 2):
                for name, value in facts.items():
                    least = name == "rate" and found[name]
                    found[name] = min(found[name], value) if least and value else max(found[name], value)
        return found

    def datagram(self, now, source, target):
        """After how many ms each of its copies arrives; none: it is lost."""
        facts = self.standing(now, source, target)
        if facts["cut"] or facts["reset"] or facts["loss"] and self.chance(source, target) < facts["loss"]:
            return []
        copies = 1 + bool(facts["twice"] and self.chance(source, target) < facts["twice"])
        return [
            facts["ms"]
            + (facts["jitter"] * self.chance(source, target) if facts["jitter"] else 0.0)
            + (BEHIND if facts["shuffle"] and self.chance(source, target) < facts["shuffle"] else 0.0)
            for _ in range(copies)
        ]

    def chunk(self, now, source, target, size):
        """What becomes of bytes of a stream: ("held", None), ("reset", None), or ("goes", ms until they arrive)."""
        facts = self.standing(now, source, target)
        if facts["reset"]:
            return "reset", None
        if facts["cut"]:
            return "held", None
        late = facts["ms"] + (facts["jitter"] * self.chance(source, target) if facts["jitter"] else 0.0)
        if facts["loss"] and self.chance(source, target) < facts["loss"]:
            late += RETRY
        return "goes", late + (1000.0 * size / facts["rate"] if facts["rate"] else 0.0)

    def ends(self):
        return max((until for _, until, *_ in self.faults), default=0.0)
