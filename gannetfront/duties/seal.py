"""The duty `seal`: the trails of all proxies are sealed one after the other, so that two disks are never busy
with it at once.

A round of sealing is one step. Each proxy persists, next to its trail, the last step that it has done and the
token it was done under, so that after a restart it refuses what it refused before. The holder persists
nothing: each proxy reports its own last step.
"""

from .. import host
from ..trail import sealed
from ..wire import frames
from .acts import Rounds
from .shell import Duty

POLL_INTERVAL = 200.0  # ms between polls
SEAL_TIMEOUT = 600000.0  # ms for one proxy to seal its trail, while it reports that it is alive


class Sealing(Duty):
    """The duty `seal` at one proxy, as its holder and as a proxy whose trail is sealed."""

    name = "seal"

    def __init__(self, settings, trail, log):
        """`settings` is the checked Duty. `trail` is this proxy's own, or None where it keeps none: then a
        step does nothing."""
        self.interval = settings.every
        self.trail = trail
        self.log = log
        self.minimum_size = settings.seal_from
        self.max_segments = settings.seal_keep or None
        self.step_file, self.rounds = trail and f"{trail.folder}/sealed.step", None

    def before(self):
        return self.kept(self.step_file) if self.step_file else (0, None)

    def state(self):
        """For a successor: the current step, as decimal digits."""
        return b"%d" % self.rounds.step() if self.rounds else b""

    # ---- while the duty is held ----

    def work(self, held):
        """Seals the trail of one proxy after the other until the lease ends; raises Lost."""
        started_step = int(held.given) if held.given.isdigit() else 0
        rounds, failed_at = Rounds(sorted(held.shell.streams), self.interval, started_step), {}
        self.rounds = rounds
        while held.left() > 0:
            now, alive = host.now(), held.others()
            failed_at = {proxy: at for proxy, at in failed_at.items() if now - at < 5 * POLL_INTERVAL}
            unreachable = failed_at.keys() | (set(rounds.proxies) - alive)
            for proxy in [p for p in rounds.proxies if p not in rounds.completed and p not in unreachable]:
                self.visit(held, rounds, failed_at, proxy, None)
            due = rounds.next(host.now(), unreachable | failed_at.keys())
            if due:
                self.visit(held, rounds, failed_at, *due)
            else:
                host.sleep(min(POLL_INTERVAL, self.interval / 2))

    def visit(self, held, rounds, failed_at, proxy, step):
        """Asks a proxy for its last step and has it do `step`, unless that is None. A failure is noted in
        `failed_at`."""
        try:
            visit = held.ask(proxy)
            try:
                rounds.record_step(proxy, visit.step)
                if step is not None:
                    how, why = visit.act(step, SEAL_TIMEOUT)
                    rounds.record_step(proxy, visit.step)
                    if how == "refused":
                        failed_at[proxy] = host.now()
            finally:
                visit.close()
        except (OSError, host.Refused, host.Timeout, frames.BadFrame) as error:
            failed_at[proxy] = host.now()
            rounds.completed.pop(proxy, None)
            self.log.info(
                "could not contact proxy",
                duty=self.name,
                place=proxy,
                why=str(error)[:100] or type(error).__name__,
            )

    # ---- at the proxy acted upon ----

    def act(self, step, token):
        if self.trail:
            made, _ = host.Apart(self.seal).wait()
            self.keep(self.step_file, step, token)
            self.log.info("sealed", step=step, segments=made)
        return True

    def seal(self):
        """Seals this proxy's own trail: (segments sealed, old segments removed)."""
        if self.trail.file.size > self.minimum_size:
            self.trail.closes = True  # the open segment ends with its next write
        return sealed.seal(self.trail.folder, self.max_segments)
