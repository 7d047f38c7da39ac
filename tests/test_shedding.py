"""What a lost zone means for dispatches: the core alone, over drawn events and at its edges."""

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront.audit import sites as audit
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.duties.returning import SITES, packed, unpacked
from gannetfront.interface import (
    ROLL_BACK,
    CANCELLED,
    ERROR,
    FULL as TURNED,
    MOOT,
    PROMOTE,
    RESET,
    SUCCEEDED,
    TIMEOUT,
    UNCONNECTED,
)
from gannetfront.sites import failure_detector as r, shedding as s
from gannetfront.sites.ramp import (
    LED_SETTLE_TIME,
    LED_STAGE_TIME,
    ORDER_LIFETIME,
    SETTLE_TIME,
    WEIGHTS,
    ReturnOrder,
)
from gannetfront.sites.plan import Class, Sites

OPS = {
    "read": Class("read", 60.0, 1.0, None),
    "order": Class("order", 60.0, 5.0, 0),
    "debit": Class("debit", 60.0, 2.0, 1),
}
NAMES, LOOK, FIRST = list(OPS), 250.0, [0, 2, 1]  # FIRST: the order of refusal, by index
WELL = dict(a=4.0, b=4.0, c=4.0)


def made(load=0.8, zones="abc", scale=1.0):
    """A Shedding of a proxy that has its even part of 3 proxies, at `load` of the fleet."""
    rate = load * 8 * 1000 / 60
    traffic = {z: {"read": 0.5 * rate, "order": 0.3 * rate, "debit": 0.2 * rate} for z in zones}
    sites = Sites({z: 8.0 for z in zones}, traffic, OPS, lambda a, b: 0.0)
    return s.Shedding(sites, NAMES, sites.work(traffic["a"]) * scale, LOOK, 0.0)


class Runs:
    """Looks on end, with steady traffic and answers."""

    def __init__(self, stand, asked=(13, 8, 5), late=0):
        self.shedding, self.now, self.asked, self.late = stand, 0.0, asked, late

    def look(self, states=(), hefts=WELL, times=1, **facts):
        for _ in range(times):
            for op, n in enumerate(self.asked):
                for _ in range(n):
                    self.shedding.on_request(op)
            for zone, weight in self.shedding.weights.items():
                for n in range(6 if weight else 0):
                    self.shedding.on_outcome(zone, self.now, n < self.late, 0.1)
            self.now += LOOK
            self.shedding.tick(self.now, dict(states), hefts, **facts)
        return self.shedding

    def until(self, true, most=400, **facts):
        """Looks until it is true: ms that it took."""
        begun = self.now
        for _ in range(most):
            if true():
                return self.now - begun
            self.look(**facts)
        raise AssertionError("never")


STATES = st.sampled_from([r.HERE, r.SLOW, r.HALF, r.NODES, r.CUT, r.LOST, r.FLAPS])
LOOKS = st.lists(
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
@given(LOOKS, st.floats(0.1, 1.4))
def test_whatever_is_seen_some_zone_is_used_none_that_is_away_and_refusals_follow_the_order(looks, load):
    runs = Runs(made(load))
    shedding, orders = runs.shedding, {}
    runs.look()
    for states, hefts, runs.asked, runs.late, leading, told in looks:
        if told:
            shedding.on_orders(runs.now, told)
            orders = told
        before = {name: zone.stage for name, zone in shedding.ramps.items()}
        runs.look(states, hefts, leading=leading)
        levels = {name: zone.stage for name, zone in shedding.ramps.items()}
        assert any(shedding.weights.values()) and set(shedding.weights.values()) <= set(WEIGHTS)
        for name, state in states.items():
            forced = orders.get(name) == ReturnOrder.LET_IN and state == r.FLAPS
            if state in r.AWAY or state == r.FLAPS and not forced or orders.get(name) == ReturnOrder.HELD_OUT:
                assert levels[name] == 0
            elif not told and not orders:
                assert before[name] - 1 <= levels[name] <= before[name] + 1
        if any(levels.values()):
            assert all(shedding.weights[name] == WEIGHTS[level] for name, level in levels.items())
        asked = shedding.request_rates()
        shares = [shedding.shares.get(op, 0.0) for op in FIRST if asked.get(op)]
        assert all(0 <= share <= 1 for share in shares) and all(
            a > 1 - 1e-9 or b == 0 for a, b in zip(shares, shares[1:])
        )
    # Faults end, orders too: all is as before, and nothing is refused any more.
    shedding.on_orders(runs.now, dict.fromkeys("abc", ReturnOrder.NO_ORDER))
    runs.asked, runs.late = (13, 8, 5), 0
    runs.look(dict.fromkeys("abc", r.HERE), times=80)
    assert set(shedding.weights.values()) == {1.0} and not shedding.shares


def test_a_loss_is_met_at_once_by_the_plan_scaled_by_what_is_asked():
    full, quiet = Runs(made(0.8)), Runs(made(0.8), asked=(4, 2, 2))
    for runs in (full, quiet):
        runs.look(times=8)
        assert not runs.shedding.shares
        runs.look(dict(a=r.LOST))
        assert runs.shedding.weights == dict(a=0.0, b=1.0, c=1.0)
    # 0.85 of two thirds for 0.8: 0.29 of the work, from reads, which are half of it. At a quiet hour there is room for all.
    assert full.shedding.shares[0] == pytest.approx(0.58, abs=0.05) and not full.shedding.refuses(1, 0.0)
    assert not quiet.shedding.shares
    # One that is asked for ten times its part is not the fleet.
    busy = Runs(made(0.8, scale=0.1))
    busy.look(times=8)
    assert busy.look(dict(a=r.LOST)).need == pytest.approx(1 - 0.85 * 16 / (s.MOST_SCALE * 19.2), abs=0.01)


def test_who_has_just_begun_refuses_by_the_plan_until_it_knows_what_is_asked():
    """A proxy that began in the middle of a loss refused nothing that its plan refuses, and filled the survivors past their room.

    How much is asked was taken at its first look at the loss, from a window in which its clients had not come back yet: with one read
    in its first look the scale was 0.0375 and nothing refused, where the others refuse 0.58 of all reads.
    """
    runs = Runs(made(0.8), asked=(1, 0, 0))
    runs.look()
    planned = 1 - 0.85 * 16 / 19.2
    assert (
        runs.look(dict(a=r.LOST)).need == pytest.approx(planned, abs=0.01) and runs.shedding.shares[0] > 0.2
    )
    runs.asked = (13, 8, 5)
    for _ in range(3):
        runs.look(dict(a=r.LOST))
        assert runs.shedding.need == pytest.approx(planned, abs=0.01) and runs.shedding.shares[0] > 0.2
    # Where few come back in the end, it goes by those: at a quiet hour there is room for all.
    quiet = Runs(made(0.8), asked=(4, 2, 2))
    quiet.look(dict(a=r.LOST), times=12)
    assert quiet.shedding.need == 0.0


def test_late_answers_have_more_refused_one_step_an_answer_and_the_lack_of_them_less():
    runs = Runs(made(0.8))
    runs.look(times=8)
    runs.look(dict(a=r.LOST))
    runs.late, seen = 6, [runs.shedding.correction]
    while len(seen) < 9 and seen[-1] <= seen[0]:
        seen.append(runs.look(dict(a=r.LOST)).correction)
    before = seen[-2]
    assert runs.shedding.correction == pytest.approx(before + s.INCREASE)
    # What was sent before that step says nothing of whether it is enough.
    for _ in range(50):
        runs.shedding.on_outcome("b", runs.shedding.judged_from - 1.0, True, 2.0)
    runs.late = 0
    runs.look(dict(a=r.LOST))
    assert runs.shedding.correction == pytest.approx(
        before + s.INCREASE - s.DECREASE * s.IDLE_FACTOR
    )  # the others are idle
    runs.look(dict(a=r.LOST), times=200)
    assert runs.shedding.need + runs.shedding.correction == pytest.approx(
        0.0, abs=0.01
    ) and not runs.shedding.shares.get(1)


def test_a_return_goes_by_steps_quicker_with_who_leads_it_and_on_without():
    lost, here = dict(a=r.LOST), dict(a=r.HERE)
    took = {}
    for leading in (False, True):
        runs = Runs(made())
        runs.look(lost, leading=leading)
        seen = []
        took[leading] = runs.until(
            lambda: seen.append(runs.shedding.weights["a"]) or seen[-1] == 1.0, states=here, leading=leading
        )
        assert sorted(set(seen)) == list(WEIGHTS) and seen == sorted(seen)
    assert took[True] < took[False]
    # Told by its holder: by steps as far as that is, and no further; its last word ages, and the rest is its own ramp.
    runs = Runs(made())
    runs.look(lost)
    seen = []
    while len(seen) < 3 * ORDER_LIFETIME / LOOK:
        runs.shedding.on_orders(runs.now, dict(a=3))
        seen.append(runs.look(here).weights["a"])
    assert sorted(set(seen)) == list(WEIGHTS[:4]) and seen == sorted(seen)
    assert seen[int((LED_SETTLE_TIME + 2 * LED_STAGE_TIME) / LOOK) + 1] == WEIGHTS[3]
    runs.look(here, times=int(ORDER_LIFETIME / LOOK) - 2)
    assert runs.shedding.weights["a"] == WEIGHTS[3]
    runs.until(lambda: runs.shedding.weights["a"] == 1.0, states=here)
    # A step back of its holder is one at once.
    runs = Runs(made())
    runs.look(lost)
    runs.until(lambda: runs.shedding.ramps["a"].stage == 3, states=here)
    runs.shedding.on_orders(runs.now, dict(a=1))
    assert runs.look(here).weights["a"] == WEIGHTS[1]
    # It does not stand it: a step back, and its time begins anew.
    runs = Runs(made())
    runs.look(lost)
    runs.until(lambda: runs.shedding.ramps["a"].stage == 2, states=here)
    runs.late = 6
    runs.until(lambda: runs.shedding.ramps["a"].stage == 1, states=here)
    runs.late = 0
    assert runs.until(lambda: runs.shedding.ramps["a"].stage == 2, states=here) >= SETTLE_TIME
    # One that went again begins again.
    assert runs.look(lost).weights["a"] == 0.0 and runs.look(here).weights["a"] == 0.0


def test_what_operators_say_outlasts_the_holder_and_a_return_by_order_ends_with_the_next_loss():
    runs, flaps = Runs(made()), dict(a=r.FLAPS)
    runs.shedding.on_orders(runs.now, dict(a=ReturnOrder.HELD_OUT))
    runs.look(dict(a=r.HERE), times=100)
    assert (
        runs.shedding.weights["a"] == 0.0
        and runs.shedding.orders_to_give(dict(a=r.HERE))["a"] == ReturnOrder.HELD_OUT
    )
    runs.shedding.on_orders(runs.now, dict(a=ReturnOrder.LET_IN))
    assert runs.look(flaps).weights["a"] == 1.0
    runs.look(dict(a=r.LOST))
    assert (
        runs.look(flaps).weights["a"] == 0.0
        and runs.shedding.orders_to_give(flaps)["a"] == ReturnOrder.NO_ORDER
    )
    assert runs.shedding.orders_to_give(dict(a=r.HERE, b=r.LOST)) == dict(
        a=0, b=ReturnOrder.NO_ORDER, c=ReturnOrder.NO_ORDER
    )


def test_a_rollout_that_fills_all_zones_is_no_loss_and_half_a_site_is():
    runs = Runs(made(0.95))
    runs.look(times=8)
    runs.look(hefts=dict(a=8.0, b=8.0, c=8.0), times=40)
    assert runs.look(times=4).usable == dict.fromkeys("abc", 1.0) and not runs.shedding.shares
    runs.look(hefts=dict(a=2.0, b=4.0, c=4.0), times=1)
    assert (
        runs.shedding.usable["a"] == pytest.approx(0.5, abs=0.01)
        and 0 in runs.shedding.shares
        and runs.shedding.weights["a"] == 1.0
    )
    runs.look(times=60)
    assert not runs.shedding.shares
    alone = s.Shedding(Sites({"a": 8.0}, {"a": {"read": 10.0}}, OPS, None), NAMES, 1.0, LOOK, 0.0)
    alone.tick(LOOK, dict(a=r.LOST), dict(a=0.0))
    assert alone.weights == dict(a=1.0)


def test_silence_of_a_lost_zone_is_no_word_on_builds_and_no_stage_moves_over_it():
    shedding = Runs(made()).look(dict(a=r.LOST))
    told = {
        status: (shedding.status_for_decisions("a", status), shedding.status_for_decisions("b", status))
        for status in (TIMEOUT, RESET, UNCONNECTED, ERROR, TURNED, SUCCEEDED)
    }
    # Whether it may have run is left as it was: called off may have, moot has not.
    assert told == {
        TIMEOUT: (CANCELLED, TIMEOUT),
        RESET: (CANCELLED, RESET),
        UNCONNECTED: (MOOT, UNCONNECTED),
        ERROR: (ERROR, ERROR),
        TURNED: (TURNED, TURNED),
        SUCCEEDED: (SUCCEEDED, SUCCEEDED),
    }
    assert (
        shedding.withholds_vote(PROMOTE, "ab")
        and not shedding.withholds_vote(ROLL_BACK, "ab")
        and shedding.withholds_vote(ROLL_BACK, "a")
        and not shedding.withholds_vote(PROMOTE, "bc")
    )
    assert not shedding.withholds_vote(PROMOTE, "") and not shedding.withholds_vote(ROLL_BACK, "")


@given(st.integers(0, 2**30), st.lists(st.integers(0, 7), max_size=SITES))
def test_a_step_carries_an_order_for_each_site_and_rises_with_its_number(number, orders):
    assert unpacked(packed(number, orders), len(orders)) == (number, orders)
    assert packed(number + 1, []) > packed(number, orders) < 2**64


# ---- settings, and the judge ----

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
    """Tries and dispatches, fifty a second of each operation, of which `refused` {operation: share} are throttled; by turns to `zones`."""
    tries, sent = [], []
    for n in range(int((end - begin) / 20)):
        at = begin + 20.0 * n
        for op in ("read", "order"):
            no = (n * 7919 % 100) < 100 * refused.get(op, 0.0)
            request = f"{proxy} {op} {at}"
            tries.append(
                dict(request=request, sent=at, operation=op, answer="throttled" if no else "succeeded")
            )
            if not no:
                sent.append(dict(request=request, came=at, proxy=proxy, zone=zones[n % len(zones)]))
    return tries, sent


BOTH, ONLY_B = (0, 1), (1,)


@pytest.mark.parametrize(
    "during, zones, first, after, wrong",
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
def test_the_judge_of_a_lost_site(during, zones, first, after, wrong):
    """Zone a is lost from 8 to 20 s. Proxy 0 does as the case says, proxy 1 as it should until the return."""
    fleet = load.parse(schema.Fleet, FLEET + 'site { zone: "b" capacity: 8 }', "f")
    parts = []
    for proxy, sent_to in (("proxy/0", zones), ("proxy/1", ONLY_B)):
        parts += [rows(0, 8000, {}, BOTH, proxy), rows(8000, 20000, during, sent_to, proxy)]
        parts += [rows(20000, 22000, {}, first, proxy), rows(22000, 50000, after, BOTH, proxy)]
    found = audit.judge(
        fleet,
        {0: "b", 1: "b"},
        sum((p[0] for p in parts), []),
        sum((p[1] for p in parts), []),
        [dict(at=8000.0, detail="20000", who="a", what="site struck")],
    )
    assert [rule for rule, (_, stories) in found.items() if stories] == ([wrong] if wrong else [])
    assert all(checked for checked, _ in found.values())
