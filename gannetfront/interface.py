"""What passes between the decisions (balance.py) and whatever carries them (benchlink, later a proxy).

The carrier makes one Balancer per proxy from a Deployment and a seed, then calls `round(now, events, out)`
with all that came in. An event is a tuple: the name of a Balancer method, then its fields. Decisions are
written into `out`, a Writer, in order. Times are float milliseconds; ids are opaque.
"""

from dataclasses import dataclass
from typing import Any, Iterable, Protocol

SUCCEEDED, ERROR, FULL, TIMEOUT, UNCONNECTED, RESET, CANCELLED, MOOT = (
    "succeeded",
    "error",
    "full",
    "timeout",
    "unconnected",
    "reset",
    "cancelled",
    "moot",
)
IDEMPOTENT, FINGERPRINTED, SIDE_EFFECTING = "idempotent", "fingerprinted", "side-effecting"
READY, DRAINING, GONE = "ready", "draining", "gone"
TRIAL, GOING_BACK, RELEASED, WITHDRAWN = 0, 1, 2, 3  # phases of a build
NO_VOTE, ON, HOLD, BACK = 0, 1, 2, 3  # verdicts


@dataclass(frozen=True)
class Operation:
    name: str
    effect: str  # IDEMPOTENT, FINGERPRINTED or SIDE_EFFECTING
    slo_time: float
    time_limit: float
    billed_value: float
    late_value: float  # fraction still earned after the SLO time
    window: float  # how long a fingerprint is remembered
    group: str  # which servers share fingerprints: "all", "zone" or "cell"


@dataclass(frozen=True)
class Rollout:
    caps: tuple  # exposure cap by stage
    machine_shares: tuple  # share of the fleet by stage
    soak: float
    window: float  # exposure window
    free: float  # dispatches at a trial build beside the cap
    by_operation: bool  # exposure counted for each operation
    guarded: int  # first stages closed to operations with an effect
    no_return: bool
    on_votes: int
    back_votes: int
    pause_votes: int
    timed: bool  # stages move by themselves
    vote_life: float
    answer_wait: float
    told_every: float
    tally_period: float
    tally_share: float
    contested_share: float
    delay_price: float
    harm_price: float


@dataclass(frozen=True)
class Deployment:
    """The facts one proxy is given at start; the decisions keep only figures derived from them."""

    balancers: int
    me: int
    zone: int
    operations: tuple
    tenants: tuple  # (portion, invocations a second within the share)
    over_share_value: float
    rollout: Rollout
    may_probe: bool
    may_signal: bool
    may_cancel: bool
    may_duplicate: bool
    retry_advice: float  # longest wait clients honour; 0 where none can be told
    dispatch_cap: int
    must_subscribe: bool
    report_fields: tuple
    cross_zone_price: float
    drain_grace: float
    cold_share: float
    warm_within: float
    fall_multiple: float
    overload_for: float
    tick: float


class Writer(Protocol):
    def dispatch(self, inv: Any, server: str, time_limit: float) -> None: ...
    def cancel(self, inv: Any, seq: int) -> None: ...
    def throttle(self, inv: Any, retry_in: float) -> None: ...
    def terminate(self, inv: Any) -> None: ...
    def vote(self, stage: int, ver: int, verdict: int) -> None: ...
    def probe(self, server: str) -> None: ...
    def signal(self, target: str, payload: bytes) -> None: ...
    def subscribe(self, enable: bool) -> None: ...
    def reload(self) -> None: ...
    def close_idle(self, server: str) -> None: ...
    def timer(self, at: float, key: str) -> None: ...
    def log(self, line: str) -> None: ...


class Decisions(Protocol):
    def round(self, now: float, events: Iterable[tuple], out: Writer) -> None: ...

    def stands(self, now: float, ident: Any, seq: int) -> bool:
        """Between rounds, before the first byte of a dispatch that had to wait: False means that it never ran."""
