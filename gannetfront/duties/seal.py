"""The duty `seal`: the trails of all proxies are sealed one after the other, so that never two disks are busy with it at once.

A round is a step. Each proxy writes down, beside its trail, the last step that it has done and under which token: a proxy that starts
anew refuses what it refused before. A holder keeps nothing: how far each proxy is, it hears from them.
"""

from .. import host
from ..trail import sealed
from ..wire import frames
from .acts import Rounds
from .shell import Duty

LOOK, DONE = (
    200.0,
    600000.0,
)  # ms: between looks; for one proxy's sealing, as long as it says that it is there


class Sealing(Duty):
    name = "seal"

    def __init__(self, d, trail, log):
        """`trail` is this proxy's, or None: there is nothing to seal, and a step is done with that."""
        self.every, self.trail, self.log, self.least, self.most_kept = (
            d.every,
            trail,
            log,
            d.seal_from,
            d.seal_keep or None,
        )
        self.file, self.rounds = trail and f"{trail.folder}/sealed.step", None

    def before(self):
        return self.kept(self.file) if self.file else (0, None)

    def state(self):
        """For a successor: the step that is under way."""
        return b"%d" % self.rounds.step() if self.rounds else b""

    # ---- held ----

    def work(self, held):
        floor = int(held.given) if held.given.isdigit() else 0
        rounds, away = Rounds(sorted(held.shell.streams), self.every, floor), {}
        self.rounds = rounds
        while held.left() > 0:
            now, alive = host.now(), held.others()
            away = {place: at for place, at in away.items() if now - at < 5 * LOOK}
            asked = away.keys() | (set(rounds.places) - alive)
            for place in [p for p in rounds.places if p not in rounds.known and p not in asked]:
                self.visit(held, rounds, away, place, None)
            due = rounds.next(host.now(), asked | away.keys())
            if due:
                self.visit(held, rounds, away, *due)
            else:
                host.sleep(min(LOOK, self.every / 2))

    def visit(self, held, rounds, away, place, step):
        try:
            visit = held.ask(place)
            try:
                rounds.told(place, visit.step)
                if step is not None:
                    how, why = visit.act(step, DONE)
                    rounds.told(place, visit.step)
                    if how == "refused":
                        away[place] = host.now()
            finally:
                visit.close()
        except (OSError, host.Refused, host.Timeout, frames.BadFrame) as trouble:
            away[place] = host.now()
            rounds.known.pop(place, None)
            self.log.info(
                "not reached", duty=self.name, place=place, why=str(trouble)[:100] or type(trouble).__name__
            )

    # ---- acted upon ----

    def act(self, step, token):
        if self.trail:
            made, _ = host.Apart(self.seal).wait()
            self.keep(self.file, step, token)
            self.log.info("sealed", step=step, segments=made)
        return True

    def seal(self):
        if self.trail.file.size > self.least:
            self.trail.closes = True  # the segment that grows ends with its next write
        return sealed.seal(self.trail.folder, self.most_kept)
