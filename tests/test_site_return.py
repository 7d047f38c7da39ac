"""A site that has recovered gets its traffic back by stages, at every proxy, whoever leads its return.

Clients saw time-outs: after a site was lost for some seconds, several proxies sent its cold servers their
whole load at once. A proxy killed during the loss came back, took the lease of the duty `site-return` 0.2 s
after its start and ordered full traffic for every site, also the lost one, since it took a zone of which
nothing was known for healthy. Followers went to the ordered stage at once, whatever their own was, so that
any order ahead of them skipped their ramp (docs/incidents/newborn-leader.md). gannet-day reported no broken
rule, as none checked the ramp.
"""

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront import records
from gannetfront.interface import READY, SUCCEEDED, TIMEOUT
from gannetfront.sites import failure_detector as detector
from gannetfront.sites.ramp import (
    LED_SETTLE_TIME,
    LED_STAGE_TIME,
    WEIGHTS,
    RampStage,
    ReturnOrder,
)
from gannetfront.sites.monitor import Monitor
from test_audit import play
from test_sites import LOST_DAY, told_by
from test_shedding import TICK, SteadyTraffic, make_shedding

LOST, HERE = dict(a=detector.LOST), dict(a=detector.HEALTHY)
NO_STANDING = dict(alone=None, unheard=None)


class Proxy:
    """A monitor of three zones with two ready nodes each; `tick` advances its clock by one tick."""

    def __init__(self):
        self.monitor, self.now = Monitor(list("abc"), "c", 0.5, 500.0, make_shedding()), 0.0
        self.entries = [
            (f"{zone}{n}", place, 1, 0, n, READY, 1.0, 0.0)
            for place, zone in enumerate("abc")
            for n in range(2)
        ]

    def outcomes(self, zone, status):
        for entry in self.entries:
            if self.monitor.zone_of(entry) == zone:
                for _ in range(2):
                    self.monitor.on_outcome(self.now, entry, status, 50.0, 900.0)

    def tick(self, leading=False):
        self.now += TICK
        self.monitor.tick(self.now, self.entries, {}, NO_STANDING, leading)
        return self.monitor.orders_to_give()


def test_who_has_just_begun_orders_nothing_of_a_site_of_which_it_has_heard_nothing():
    proxy = Proxy()
    assert proxy.tick(leading=True) == dict.fromkeys("abc", ReturnOrder.NO_ORDER)
    proxy.outcomes("b", SUCCEEDED)
    proxy.outcomes("a", TIMEOUT)
    assert proxy.tick(leading=True) == dict(a=ReturnOrder.NO_ORDER, b=RampStage.FULL, c=ReturnOrder.NO_ORDER)
    # An unknown zone is sent dispatches all the same.
    assert proxy.monitor.shedding.weights == dict(a=0.0, b=1.0, c=1.0)


def test_who_is_cut_off_from_its_start_orders_nothing():
    proxy = Proxy()
    proxy.now += TICK
    proxy.monitor.tick(proxy.now, proxy.entries, {}, dict(alone=3000.0, unheard=None), True)
    assert proxy.monitor.orders_to_give() == dict.fromkeys("abc", ReturnOrder.NO_ORDER)


@pytest.mark.parametrize("away_for", [1, 12, 40])
def test_an_order_that_is_ahead_skips_no_step_of_a_follower(away_for):
    traffic = SteadyTraffic(make_shedding())
    for _ in range(away_for):  # its leader already sees a healthy site
        traffic.shedding.on_orders(traffic.now, dict(a=RampStage.FULL))
        traffic.tick(LOST)
    started, seen = traffic.now, []
    while not seen or seen[-1][1] < 1.0:
        traffic.shedding.on_orders(traffic.now, dict(a=RampStage.FULL))
        seen.append((traffic.now - started, traffic.tick(HERE).weights["a"]))
        assert len(seen) < 100
    steps = [seen[0]] + [b for a, b in zip(seen, seen[1:]) if a[1] != b[1]]
    assert [weight for _, weight in steps] == list(WEIGHTS), seen
    # At the leader's pace: no stage earlier, and the last one at most two ticks late.
    assert steps[1][0] >= LED_SETTLE_TIME - TICK and all(
        b[0] - a[0] >= LED_STAGE_TIME for a, b in zip(steps[1:], steps[2:])
    )
    assert steps[-1][0] <= LED_SETTLE_TIME + 3 * LED_STAGE_TIME + 2 * TICK


def test_a_site_whose_nodes_are_others_is_let_in_by_steps_too():
    proxy = Proxy()
    for zone in "abc":
        proxy.outcomes(zone, SUCCEEDED)
    proxy.tick()
    for _ in range(8):
        proxy.outcomes("a", TIMEOUT)
        proxy.outcomes("b", SUCCEEDED)
        proxy.tick()
    assert proxy.monitor.shedding.weights == dict(a=0.0, b=1.0, c=1.0)
    proxy.entries = [("new" + e[0], *e[1:]) if e[1] == 0 else e for e in proxy.entries]
    seen = [proxy.tick(leading=True)["a"]]
    assert seen == [ReturnOrder.NO_ORDER], "nothing is known of the new nodes yet"
    seen = [proxy.monitor.shedding.weights["a"]]
    while seen[-1] < 1.0:
        for zone in "abc":
            proxy.outcomes(zone, SUCCEEDED)
        proxy.tick(leading=True)
        seen.append(proxy.monitor.shedding.weights["a"])
        assert len(seen) < 100
    assert sorted(set(seen)) == list(WEIGHTS) and seen == sorted(seen), seen


def test_who_begins_while_a_site_is_let_in_joins_at_the_step_that_is_ordered():
    proxy = Proxy()
    proxy.monitor.shedding.on_orders(proxy.now, dict(a=1))
    proxy.outcomes("a", SUCCEEDED)
    proxy.tick()
    assert proxy.monitor.shedding.weights == dict(a=WEIGHTS[1], b=1.0, c=1.0)
    # A proxy that has run for long and did not see the loss keeps to its own observations.
    long_running = SteadyTraffic(make_shedding())
    long_running.tick(HERE, times=40)
    long_running.shedding.on_orders(long_running.now, dict(a=1))
    assert long_running.tick(HERE).weights["a"] == 1.0


ORDERS = st.none() | st.fixed_dictionaries(
    {
        zone: st.sampled_from([*range(len(WEIGHTS)), ReturnOrder.NO_ORDER, ReturnOrder.HELD_OUT])
        for zone in "abc"
    }
)
STATES = st.fixed_dictionaries(
    {
        zone: st.sampled_from(
            [
                detector.UNKNOWN,
                detector.HEALTHY,
                detector.SLOW,
                detector.PARTIAL,
                detector.UNRESPONSIVE,
                detector.LOST,
                detector.FLAPPING,
            ]
        )
        for zone in "abc"
    }
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(STATES, ORDERS, st.booleans()), max_size=60))
def test_whatever_is_ordered_no_step_is_skipped(ticks):
    traffic = SteadyTraffic(make_shedding())
    rose_at = dict.fromkeys("abc", -1e18)
    for states, orders, leading in ticks:
        if orders:
            traffic.shedding.on_orders(traffic.now, orders)
        before = {name: zone.stage for name, zone in traffic.shedding.ramps.items()}
        traffic.tick(states, leading=leading)
        for name, zone in traffic.shedding.ramps.items():
            assert zone.stage <= before[name] + 1
            if zone.stage > before[name]:
                assert zone.stage == 1 or traffic.now - rose_at[name] >= LED_STAGE_TIME
                rose_at[name] = traffic.now


# ---- processes ----

# The leader of the return after the loss has just started: two of the three electors are killed, the third is
# cut off with zone b.
NEWBORN_DAY = (
    LOST_DAY.split("at 3")[0].replace("day 19", "day 24").replace("seed 9", "seed 521")
    + """
at 3 for 10 vanish zone=b share=1
at 3 for 7 link src=b dst=proxy cut=1
at 4 for 8 kill proxy=0
at 4 for 8 kill proxy=2
"""
)


def test_no_proxy_skips_a_step_where_who_leads_the_return_has_just_begun(tmp_path):
    code, output = play(tmp_path, NEWBORN_DAY, "proxy", "")
    assert code in (0, 2) and "rules kept 5/5" in output and ", 0 wrong" in output.split("sites lost")[1], (
        output
    )
    killed = {e["who"] for e in records.read(tmp_path, "events") if e["what"] == "proxy killed"}
    assert killed == {"0", "2"}
    for n in (1, 3, 4, 5):
        weights = [e["weights"]["b"] for e in told_by(tmp_path, n, "site weights")]
        assert weights[0] == 0.0 and weights[-1] == 1.0, (n, weights)
        rises = [(a, b) for a, b in zip(weights, weights[1:]) if b > a]
        assert all((a, b) in zip(WEIGHTS, WEIGHTS[1:]) for a, b in rises), (n, weights)
