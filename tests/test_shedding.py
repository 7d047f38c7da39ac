"""Load shedding while a zone is lost: the core alone, over generated events and at its edges; its settings;
its audit."""

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront.audit import sites as audit
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.duties.returning import MAX_SITES, pack_step, unpack_step
from gannetfront.interface import (
    ROLL_BACK,
    CANCELLED,
    ERROR,
    FULL as SERVER_FULL,
    MOOT,
    PROMOTE,
    RESET,
    SUCCEEDED,
    TIMEOUT,
    UNCONNECTED,
)
from gannetfront.sites import failure_detector as detector, shedding as core
from gannetfront.sites.ramp import (
    LED_SETTLE_TIME,
    LED_STAGE_TIME,
    ORDER_LIFETIME,
    SETTLE_TIME,
    WEIGHTS,
    ReturnOrder,
)
from gannetfront.sites.plan import OperationClass, Sites

CLASSES = {
    "read": OperationClass("read", 60.0, 1.0, None),
    "order": OperationClass("order", 60.0, 5.0, 0),
    "debit": OperationClass("debit", 60.0, 2.0, 1),
}
OPERATIONS, TICK, REFUSAL_ORDER = list(CLASSES), 250.0, [0, 2, 1]  # names; ms; by index
FULL_CAPACITIES = dict(a=4.0, b=4.0, c=4.0)


def make_shedding(load=0.8, zones="abc", scale=1.0):
    """A Shedding of one of 3 proxies with even traffic, at `load` of the fleet's capacity; `scale` is that of
    its planned work."""
    rate = load * 8 * 1000 / 60
    traffic = {z: {"read": 0.5 * rate, "order": 0.3 * rate, "debit": 0.2 * rate} for z in zones}
    sites = Sites({z: 8.0 for z in zones}, traffic, CLASSES, lambda a, b: 0.0)
    return core.Shedding(sites, OPERATIONS, sites.work(traffic["a"]) * scale, TICK, 0.0)


class SteadyTraffic:
    """Ticks of a Shedding with steady traffic and answers: `requests` a tick by operation, `late` of 6
    answers a zone late."""

    def __init__(self, shedding, requests=(13, 8, 5), late=0):
        self.shedding, self.now, self.requests, self.late = shedding, 0.0, requests, late

    def tick(self, states=(), capacities=FULL_CAPACITIES, times=1, **options):
        for _ in range(times):
            for operation, n in enumerate(self.requests):
                for _ in range(n):
                    self.shedding.on_request(operation)
            for zone, weight in self.shedding.weights.items():
                for n in range(6 if weight else 0):
                    self.shedding.on_outcome(zone, self.now, n < self.late, 0.1)
            self.now += TICK
            self.shedding.tick(self.now, dict(states), capacities, **options)
        return self.shedding

    def until(self, condition, max_ticks=400, **options):
        """Ticks until the condition holds; returns the ms that it took."""
        started = self.now
        for _ in range(max_ticks):
            if condition():
                return self.now - started
            self.tick(**options)
        raise AssertionError("the condition did not hold within the given ticks")


STATES = st.sampled_from(
    [
        detector.HEALTHY,
        detector.SLOW,
        detector.PARTIAL,
        detector.UNRESPONSIVE,
        detector.PARTITIONED,
        detector.LOST,
        detector.FLAPPING,
    ]
)
TICKS = st.lists(
    st.tuples(
        st.fixed_dictionaries({z: STATES for z in "abc"}),
        st.fixed_dictionaries({z: st.floats(0, 9) for z in "abc"}),
        st.lists(st.integers(0, 40), min_size=3, max_size=3),
        st.integers(0, 6),
        st.booleans(),
        st.none() | st.fixed_dictionaries({z: st.integers(0, 7) for z in "abc"}),
    ),
    max_size=40,
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(TICKS, st.floats(0.1, 1.4))
def test_whatever_is_seen_some_zone_is_used_none_that_is_away_and_refusals_follow_the_order(ticks, load):
    traffic = SteadyTraffic(make_shedding(load))
    shedding, orders = traffic.shedding, {}
    traffic.tick()
    for states, capacities, traffic.requests, traffic.late, leading, new_orders in ticks:
        if new_orders:
            shedding.on_orders(traffic.now, new_orders)
            orders = new_orders
        before = {name: zone.stage for name, zone in shedding.ramps.items()}
        traffic.tick(states, capacities, leading=leading)
        stages = {name: zone.stage for name, zone in shedding.ramps.items()}
        assert any(shedding.weights.values()) and set(shedding.weights.values()) <= set(WEIGHTS)
        for name, state in states.items():
            forced = orders.get(name) == ReturnOrder.LET_IN and state == detector.FLAPPING
            if (
                state in detector.UNAVAILABLE
                or state == detector.FLAPPING
                and not forced
                or orders.get(name) == ReturnOrder.HELD_OUT
            ):
                assert stages[name] == 0
            elif not new_orders and not orders:
                assert before[name] - 1 <= stages[name] <= before[name] + 1
        if any(stages.values()):
            assert all(shedding.weights[name] == WEIGHTS[stage] for name, stage in stages.items())
        rates = shedding.request_rates()
        shares = [shedding.shares.get(op, 0.0) for op in REFUSAL_ORDER if rates.get(op)]
        assert all(0 <= share <= 1 for share in shares) and all(
            a > 1 - 1e-9 or b == 0 for a, b in zip(shares, shares[1:])
        )
    # When faults and orders have ended, the weights are full again and nothing is refused.
    shedding.on_orders(traffic.now, dict.fromkeys("abc", ReturnOrder.NO_ORDER))
    traffic.requests, traffic.late = (13, 8, 5), 0
    traffic.tick(dict.fromkeys("abc", detector.HEALTHY), times=80)
    assert set(shedding.weights.values()) == {1.0} and not shedding.shares


def test_a_loss_is_met_at_once_by_the_plan_scaled_by_what_is_asked():
    full, quiet = SteadyTraffic(make_shedding(0.8)), SteadyTraffic(make_shedding(0.8), requests=(4, 2, 2))
    for traffic in (full, quiet):
        traffic.tick(times=8)
        assert not traffic.shedding.shares
        traffic.tick(dict(a=detector.LOST))
        assert traffic.shedding.weights == dict(a=0.0, b=1.0, c=1.0)
    # 0.85 of two thirds of the capacity remain for a load of 0.8: 0.29 of the work is refused, all of it
    # reads, which are half of the work. In a quiet hour nothing need be refused.
    assert full.shedding.shares[0] == pytest.approx(0.58, abs=0.05) and not full.shedding.refuses(1, 0.0)
    assert not quiet.shedding.shares
    # A proxy with ten times its planned traffic does not scale the fleet's figures by ten.
    busy = SteadyTraffic(make_shedding(0.8, scale=0.1))
    busy.tick(times=8)
    assert busy.tick(dict(a=detector.LOST)).planned_refusal == pytest.approx(
        1 - 0.85 * 16 / (core.MAX_SCALE * 19.2), abs=0.01
    )


def test_who_has_just_begun_refuses_by_the_plan_until_it_knows_what_is_asked():
    """A proxy that started during a loss refused nothing and overloaded the surviving sites.

    It took its traffic from a window in which its clients had not reconnected yet: after a single read in its
    first tick the scale was 0.0375 and nothing was refused, where the other proxies refused 0.58 of all
    reads.
    """
    traffic = SteadyTraffic(make_shedding(0.8), requests=(1, 0, 0))
    traffic.tick()
    planned = 1 - 0.85 * 16 / 19.2
    assert (
        traffic.tick(dict(a=detector.LOST)).planned_refusal == pytest.approx(planned, abs=0.01)
        and traffic.shedding.shares[0] > 0.2
    )
    traffic.requests = (13, 8, 5)
    for _ in range(3):
        traffic.tick(dict(a=detector.LOST))
        assert (
            traffic.shedding.planned_refusal == pytest.approx(planned, abs=0.01)
            and traffic.shedding.shares[0] > 0.2
        )
    # If few clients reconnect in the end, their traffic counts: in a quiet hour nothing need be refused.
    quiet = SteadyTraffic(make_shedding(0.8), requests=(4, 2, 2))
    quiet.tick(dict(a=detector.LOST), times=12)
    assert quiet.shedding.planned_refusal == 0.0


def test_late_answers_have_more_refused_one_step_an_answer_and_the_lack_of_them_less():
    traffic = SteadyTraffic(make_shedding(0.8))
    traffic.tick(times=8)
    traffic.tick(dict(a=detector.LOST))
    traffic.late, seen = 6, [traffic.shedding.correction]
    while len(seen) < 9 and seen[-1] <= seen[0]:
        seen.append(traffic.tick(dict(a=detector.LOST)).correction)
    before = seen[-2]
    assert traffic.shedding.correction == pytest.approx(before + core.INCREASE)
    # Dispatches sent before that increase do not tell whether it is enough.
    for _ in range(50):
        traffic.shedding.on_outcome("b", traffic.shedding.judged_from - 1.0, True, 2.0)
    traffic.late = 0
    traffic.tick(dict(a=detector.LOST))
    assert traffic.shedding.correction == pytest.approx(
        before + core.INCREASE - core.DECREASE * core.IDLE_FACTOR
    )  # the surviving sites are idle
    traffic.tick(dict(a=detector.LOST), times=200)
    assert traffic.shedding.planned_refusal + traffic.shedding.correction == pytest.approx(
        0.0, abs=0.01
    ) and not traffic.shedding.shares.get(1)


def test_a_return_goes_by_steps_quicker_with_who_leads_it_and_on_without():
    lost, here = dict(a=detector.LOST), dict(a=detector.HEALTHY)
    duration = {}
    for leading in (False, True):
        traffic = SteadyTraffic(make_shedding())
        traffic.tick(lost, leading=leading)
        seen = []
        duration[leading] = traffic.until(
            lambda: seen.append(traffic.shedding.weights["a"]) or seen[-1] == 1.0,
            states=here,
            leading=leading,
        )
        assert sorted(set(seen)) == list(WEIGHTS) and seen == sorted(seen)
    assert duration[True] < duration[False]
    # Under a leader: by stages up to the ordered one and no further. When the order expires, the proxy's own
    # ramp goes on.
    traffic = SteadyTraffic(make_shedding())
    traffic.tick(lost)
    seen = []
    while len(seen) < 3 * ORDER_LIFETIME / TICK:
        traffic.shedding.on_orders(traffic.now, dict(a=3))
        seen.append(traffic.tick(here).weights["a"])
    assert sorted(set(seen)) == list(WEIGHTS[:4]) and seen == sorted(seen)
    assert seen[int((LED_SETTLE_TIME + 2 * LED_STAGE_TIME) / TICK) + 1] == WEIGHTS[3]
    traffic.tick(here, times=int(ORDER_LIFETIME / TICK) - 2)
    assert traffic.shedding.weights["a"] == WEIGHTS[3]
    traffic.until(lambda: traffic.shedding.weights["a"] == 1.0, states=here)
    # A stage back by the leader takes effect at once.
    traffic = SteadyTraffic(make_shedding())
    traffic.tick(lost)
    traffic.until(lambda: traffic.shedding.ramps["a"].stage == 3, states=here)
    traffic.shedding.on_orders(traffic.now, dict(a=1))
    assert traffic.tick(here).weights["a"] == WEIGHTS[1]
    # An overloaded site is put a stage back, and has to settle again.
    traffic = SteadyTraffic(make_shedding())
    traffic.tick(lost)
    traffic.until(lambda: traffic.shedding.ramps["a"].stage == 2, states=here)
    traffic.late = 6
    traffic.until(lambda: traffic.shedding.ramps["a"].stage == 1, states=here)
    traffic.late = 0
    assert traffic.until(lambda: traffic.shedding.ramps["a"].stage == 2, states=here) >= SETTLE_TIME
    # After another loss the ramp starts again.
    assert traffic.tick(lost).weights["a"] == 0.0 and traffic.tick(here).weights["a"] == 0.0


def test_what_operators_say_outlasts_the_holder_and_a_return_by_order_ends_with_the_next_loss():
    traffic, flapping = SteadyTraffic(make_shedding()), dict(a=detector.FLAPPING)
    traffic.shedding.on_orders(traffic.now, dict(a=ReturnOrder.HELD_OUT))
    traffic.tick(dict(a=detector.HEALTHY), times=100)
    assert (
        traffic.shedding.weights["a"] == 0.0
        and traffic.shedding.orders_to_give(dict(a=detector.HEALTHY))["a"] == ReturnOrder.HELD_OUT
    )
    traffic.shedding.on_orders(traffic.now, dict(a=ReturnOrder.LET_IN))
    assert traffic.tick(flapping).weights["a"] == 1.0
    traffic.tick(dict(a=detector.LOST))
    assert (
        traffic.tick(flapping).weights["a"] == 0.0
        and traffic.shedding.orders_to_give(flapping)["a"] == ReturnOrder.NO_ORDER
    )
    assert traffic.shedding.orders_to_give(dict(a=detector.HEALTHY, b=detector.LOST)) == dict(
        a=0, b=ReturnOrder.NO_ORDER, c=ReturnOrder.NO_ORDER
    )


def test_a_rollout_that_fills_all_zones_is_no_loss_and_half_a_site_is():
    traffic = SteadyTraffic(make_shedding(0.95))
    traffic.tick(times=8)
    traffic.tick(capacities=dict(a=8.0, b=8.0, c=8.0), times=40)
    assert traffic.tick(times=4).usable == dict.fromkeys("abc", 1.0) and not traffic.shedding.shares
    traffic.tick(capacities=dict(a=2.0, b=4.0, c=4.0), times=1)
    assert (
        traffic.shedding.usable["a"] == pytest.approx(0.5, abs=0.01)
        and 0 in traffic.shedding.shares
        and traffic.shedding.weights["a"] == 1.0
    )
    traffic.tick(times=60)
    assert not traffic.shedding.shares
    alone = core.Shedding(Sites({"a": 8.0}, {"a": {"read": 10.0}}, CLASSES, None), OPERATIONS, 1.0, TICK, 0.0)
    alone.tick(TICK, dict(a=detector.LOST), dict(a=0.0))
    assert alone.weights == dict(a=1.0)


def test_silence_of_a_lost_zone_is_no_word_on_builds_and_no_stage_moves_over_it():
    shedding = SteadyTraffic(make_shedding()).tick(dict(a=detector.LOST))
    notified = {
        status: (shedding.status_for_decisions("a", status), shedding.status_for_decisions("b", status))
        for status in (TIMEOUT, RESET, UNCONNECTED, ERROR, SERVER_FULL, SUCCEEDED)
    }
    # Whether the dispatch may have run is preserved: a cancelled one may have, a moot one has not.
    assert notified == {
        TIMEOUT: (CANCELLED, TIMEOUT),
        RESET: (CANCELLED, RESET),
        UNCONNECTED: (MOOT, UNCONNECTED),
        ERROR: (ERROR, ERROR),
        SERVER_FULL: (SERVER_FULL, SERVER_FULL),
        SUCCEEDED: (SUCCEEDED, SUCCEEDED),
    }
    assert (
        shedding.withholds_vote(PROMOTE, "ab")
        and not shedding.withholds_vote(ROLL_BACK, "ab")
        and shedding.withholds_vote(ROLL_BACK, "a")
        and not shedding.withholds_vote(PROMOTE, "bc")
    )
    assert not shedding.withholds_vote(PROMOTE, "") and not shedding.withholds_vote(ROLL_BACK, "")


@given(st.integers(0, 2**30), st.lists(st.integers(0, 7), max_size=MAX_SITES))
def test_a_step_carries_an_order_for_each_site_and_rises_with_its_number(number, orders):
    assert unpack_step(pack_step(number, orders), len(orders)) == (number, orders)
    assert pack_step(number + 1, []) > pack_step(number, orders) < 2**64


# ---- settings and audit ----

FLEET = """
zone: "a" zone: "b"
operation { name: "read" effect: "idempotent" work: 60 }
operation { name: "order" effect: "fingerprinted" work: 60 billed_value: 5 window: 4000 }
rollout { machine_share: 1 cap: 1 }
protect: "order" site_acts: true
site { zone: "a" capacity: 8 traffic { operation: "read" rate: 50 } }
"""


def test_a_plan_is_acted_upon_only_where_it_knows_all_zones():
    with pytest.raises(load.BadSetting, match="zone b has no site"):
        load.parse(schema.Fleet, FLEET, "f")
    whole = FLEET + 'site { zone: "b" capacity: 8 }'
    assert load.parse(schema.Fleet, whole, "f").site_acts
    with pytest.raises(load.BadSetting, match="must begin with '/'"):
        load.parse(schema.Fleet, whole + 'site_probe: "x"', "f")
    many = [f"z{n}" for n in range(9)]
    with pytest.raises(load.BadSetting, match="more than 8 sites"):
        load.parse(
            schema.Fleet,
            FLEET.split("site {")[0]
            + "".join(f'zone: "{z}" site {{ zone: "{z}" capacity: 1 }}' for z in many)
            + 'site { zone: "a" capacity: 1 } site { zone: "b" capacity: 1 }',
            "f",
        )


def rows(begin, end, refused, zones, proxy="proxy/0"):
    """Rows of tries and dispatches, fifty a second of each operation, with `refused` {operation: share}
    throttled; zones take turns."""
    tries, dispatches = [], []
    for n in range(int((end - begin) / 20)):
        at = begin + 20.0 * n
        for op in ("read", "order"):
            throttled = (n * 7919 % 100) < 100 * refused.get(op, 0.0)
            request = f"{proxy} {op} {at}"
            tries.append(
                dict(request=request, sent=at, operation=op, answer="throttled" if throttled else "succeeded")
            )
            if not throttled:
                dispatches.append(dict(request=request, came=at, proxy=proxy, zone=zones[n % len(zones)]))
    return tries, dispatches


BOTH, ONLY_B = (0, 1), (1,)


@pytest.mark.parametrize(
    "refused_during, zones_during, zones_first, refused_after, broken_rule",
    [
        (dict(read=0.6), ONLY_B, ONLY_B, {}, None),
        (dict(read=1.0, order=0.3), ONLY_B, ONLY_B, {}, None),
        (dict(read=0.2, order=0.6), ONLY_B, ONLY_B, {}, "order"),
        (dict(read=0.6), BOTH, ONLY_B, {}, "sent"),
        (dict(read=0.6), ONLY_B, ONLY_B, dict(read=0.3), "calm"),
        (dict(read=0.6), ONLY_B, BOTH, {}, "ramp"),
        (dict(read=0.6), ONLY_B, (0, *ONLY_B * 20), {}, None),
    ],
)
def test_the_judge_of_a_lost_site(refused_during, zones_during, zones_first, refused_after, broken_rule):
    """Zone a is lost from 8 to 20 s. Proxy 0 behaves as the case says, proxy 1 correctly until the return."""
    fleet = load.parse(schema.Fleet, FLEET + 'site { zone: "b" capacity: 8 }', "f")
    parts = []
    for proxy, sent_to in (("proxy/0", zones_during), ("proxy/1", ONLY_B)):
        parts += [rows(0, 8000, {}, BOTH, proxy), rows(8000, 20000, refused_during, sent_to, proxy)]
        parts += [rows(20000, 22000, {}, zones_first, proxy), rows(22000, 50000, refused_after, BOTH, proxy)]
    found = audit.judge(
        fleet,
        {0: "b", 1: "b"},
        sum((p[0] for p in parts), []),
        sum((p[1] for p in parts), []),
        [dict(at=8000.0, detail="20000", who="a", what="site struck")],
    )
    assert [rule for rule, (_, stories) in found.items() if stories] == ([broken_rule] if broken_rule else [])
    assert all(checked for checked, _ in found.values())
