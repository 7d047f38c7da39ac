"""Interface between the decision module (balance.py) and the carriers that run it, such as a proxy.

A carrier creates one Balancer per proxy from a Deployment and a seed, then calls `round(now, events, out)`
with all events received since the last round. An event is a tuple of the name of a Balancer method and its
fields. Decisions are written in order to `out`, a Writer. Times and durations are float milliseconds; ids are
opaque.
"""

from dataclasses import dataclass
from typing import Any, Iterable, Protocol

# Statuses of a dispatch.
SUCCEEDED = "succeeded"
ERROR = "error"
FULL = "full"
TIMEOUT = "timeout"
UNCONNECTED = "unconnected"
RESET = "reset"
CANCELLED = "cancelled"
MOOT = "moot"

# Effects of an operation.
IDEMPOTENT = "idempotent"
FINGERPRINTED = "fingerprinted"
SIDE_EFFECTING = "side-effecting"

# States of a server.
READY = "ready"
DRAINING = "draining"
GONE = "gone"

# Phases of a build.
TRIAL = 0
ROLLING_BACK = 1
RELEASED = 2
WITHDRAWN = 3

# Verdicts that a vote may carry.
NO_VOTE = 0
PROMOTE = 1
HOLD = 2
ROLL_BACK = 3


@dataclass(frozen=True)
class Operation:
    """A kind of invocation."""

    name: str
    effect: str  # IDEMPOTENT, FINGERPRINTED or SIDE_EFFECTING
    slo_time: float  # ms; an answer within it earns the billed value
    time_limit: float  # ms; the longest that a client waits
    billed_value: float
    late_value: float  # fraction of the billed value that is earned after the SLO time
    window: float  # ms; how long a fingerprint is remembered
    group: str  # which servers share fingerprints: "all", "zone" or "cell"


@dataclass(frozen=True)
class Rollout:
    """How a new build is rolled out in stages."""

    caps: tuple  # exposure cap by stage
    machine_shares: tuple  # share of the fleet that runs the new build, by stage
    soak: float  # ms; shortest duration of a stage once its machines run
    window: float  # ms; exposure window
    free: float  # dispatches to a trial build per window that are allowed on top of the cap
    by_operation: bool  # exposure is counted separately for each operation
    guarded: int  # number of first stages that are closed to operations with an effect
    no_return: bool  # a key that the new build answered is not sent to an earlier one
    on_votes: int  # votes needed to promote
    back_votes: int  # votes needed to roll back
    pause_votes: int
    timed: bool  # stages advance without votes
    vote_life: float  # ms; how long a vote is valid
    answer_wait: float  # ms; after which an unanswered vote may have been counted
    told_every: float  # ms between repeated announcements of the stage
    tally_period: float  # ms between tallies of all proxies' samples; 0: none
    tally_share: float  # share of dispatches that are sampled
    contested_share: float
    delay_price: float
    harm_price: float


@dataclass(frozen=True)
class Deployment:
    """The configuration that one proxy's balancer gets at start."""

    balancers: int  # number of balancers expected to take part
    me: int  # index of this balancer
    zone: int  # index of this balancer's zone
    operations: tuple
    tenants: tuple  # (portion, invocations per second within the share) by tenant number
    over_share_value: float  # value of an invocation beyond its tenant's portion, relative to one within it
    rollout: Rollout
    may_probe: bool
    may_signal: bool  # balancers may send each other messages
    may_cancel: bool
    may_duplicate: bool  # two attempts of an invocation may run at once where its effect allows it
    retry_advice: float  # ms; longest retry delay that clients honour, 0 where they cannot be given one
    dispatch_cap: int  # maximum number of dispatches of an invocation
    must_subscribe: bool  # the server list has to be subscribed to by Writer.subscribe()
    report_fields: tuple
    cross_zone_price: float  # price of a dispatch to another zone, as a share of an invocation's value
    drain_grace: float  # ms after the update in which a draining or gone server may still get dispatches
    cold_share: float  # share of its capacity that a server has when it starts
    warm_within: float  # ms after its start, at which a server has its full capacity
    fall_multiple: float  # a cold server fails under this multiple of its capacity ...
    overload_for: float  # ... for this long, in ms
    tick: float  # ms; shortest interval between two rounds


class Writer(Protocol):
    """Receives the decisions of a round. `seq` counts an invocation's dispatches from 0."""

    def dispatch(self, invocation_id: Any, server: str, time_limit: float) -> None: ...
    def cancel(self, invocation_id: Any, seq: int) -> None: ...
    def throttle(self, invocation_id: Any, retry_in: float) -> None: ...
    def terminate(self, invocation_id: Any) -> None: ...
    def vote(self, stage: int, version: int, verdict: int) -> None: ...
    def probe(self, server: str) -> None: ...
    def signal(self, target: str, payload: bytes) -> None: ...
    def subscribe(self, enable: bool) -> None: ...
    def reload(self) -> None: ...
    def close_idle(self, server: str) -> None: ...
    def timer(self, at: float, key: str) -> None: ...
    def log(self, line: str) -> None: ...


class Decisions(Protocol):
    """The decision module as a carrier calls it: `round` with all events since the last one."""

    def round(self, now: float, events: Iterable[tuple], out: Writer) -> None: ...

    def stands(self, now: float, invocation_id: Any, seq: int) -> bool:
        """Whether a dispatch that had to wait may still be sent.

        Called between rounds, before the first byte is sent. False means that the dispatch never ran.
        """
