"""The receiving side of a duty's acts, without I/O: which acts a proxy allows, and the order of work in
rounds.

A fence on tokens alone stops an old holder only at proxies that have already seen its successor. Every act
therefore starts with a fence check: the proxy issues a nonce, valid for NONCE_TTL ms of its own clock, and
the holder acts only if its lease lasts longer than that. An act that was delayed for longer (the process
stalled between check and act, or the stream was cut and has recovered) arrives with an expired nonce,
whichever proxies the next holder has contacted by then.

Work is done in steps. Their numbers increase at each proxy, and each step is done once, whoever holds the
duty; a repeated step is answered "again".
"""

from .lease import Fence, span_upper_bound

NONCE_TTL = 200.0  # ms that a nonce is valid
MAX_NONCES = 64  # valid nonces at a time; issuing one more discards the oldest


class Gate:
    """One duty at the proxy that is acted upon: its fence, the nonces issued and the last step done."""

    def __init__(self, step=0, token=None):
        """`step` is the last step done and `token` the one it was done under, as far as persisted before a
        restart."""
        self.fence, self.step, self.nonces, self.last_nonce, self.busy = Fence(), step, {}, 0, False
        if token:
            self.fence.accepts(token)

    def issue_nonce(self, now):
        """Issues a nonce: (nonce, highest token, last step done)."""
        self.last_nonce += 1
        self.nonces = (
            dict([*self.nonces.items()][1 - MAX_NONCES :]) if len(self.nonces) >= MAX_NONCES else self.nonces
        )
        self.nonces[self.last_nonce] = now
        return self.last_nonce, self.fence.highest, self.step

    def observe_token(self, token):
        """Raises the fence to a token that another proxy reported."""
        self.fence.accepts(token)

    def act(self, now, nonce, token, step):
        """(outcome, reason). "do": perform the step, then call `done`; "again": it was done before;
        "refused"."""
        issued_at = self.nonces.pop(nonce, None)
        if issued_at is None or now - issued_at > NONCE_TTL:
            return "refused", "late"
        if not self.fence.accepts(token):
            return "refused", "token"
        if step == self.step:
            return "again", ""
        if self.busy:
            return "refused", "busy"
        if step < self.step:
            return "refused", "order"  # a proxy that missed some rounds does only the newest step
        self.busy = True
        return "do", ""

    def done(self, step, succeeded=True):
        """Ends the step that `act` allowed; one that did not succeed may be tried again."""
        self.busy = False
        if succeeded:
            self.step = step


def time_to_act(remaining, rate):
    """True where a lease with `remaining` ms left outlasts any nonce, for all clocks within `rate`."""
    return remaining > span_upper_bound(NONCE_TTL, rate)


class Rounds:
    """The holder's side of work in rounds: every one of `proxies` completes a step before any begins the
    next.

    Each proxy reports its own last step, so a new holder needs no information from its predecessor."""

    def __init__(self, proxies, interval, started_step=0):
        """`interval` is the ms between rounds. `started_step` is a step known to have begun, even
        where the only proxy that has done it is unreachable."""
        self.proxies = list(proxies)
        self.interval = interval
        self.completed = {}
        self.round_ended_at = None
        self.started_step = started_step

    def record_step(self, proxy, step):
        """Records the last step that a proxy reports."""
        self.completed[proxy] = step

    def step(self):
        """The step of the current round: the highest that any proxy has done."""
        return max([self.started_step, *self.completed.values()])

    def next(self, now, unreachable):
        """(proxy, step) to be done now, or None. `unreachable` proxies are skipped, not waited for."""
        step, reachable = self.step(), [p for p in self.proxies if p not in unreachable]
        if any(p not in self.completed for p in reachable):
            return None  # a new holder first asks every proxy for its last step
        behind = [p for p in reachable if self.completed[p] < step]
        if behind:
            self.round_ended_at = None
            return behind[0], step
        if not reachable:
            return None
        self.round_ended_at = now if self.round_ended_at is None else self.round_ended_at
        if now - self.round_ended_at < self.interval and step:
            return None
        self.round_ended_at = None
        return reachable[0], step + 1
