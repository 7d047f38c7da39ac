"""A site that is back is let in by steps, at every proxy, whoever leads its return.

What callers saw: with a site lost for some seconds, the cold servers of the returned site got their whole load at once from several
proxies, and timed out. `gannet-day` said that all rules were kept, as no judge looked at the ramp.

What happened: proxy 2 was killed in the loss, came back, held the duty `site-return` 0.2 s after its start and ordered "let in fully" for
every site, the lost one too: a zone of which nothing was known counted as whole. From the log of one play (s): 41.64 proxy 2 `serving`;
41.85 `duty held ... taken as it was free`; 41.86 `site return orders={'a': 4, 'b': 4, 'c': 4}`; 44.43 first `zone=a state=its nodes are
silent` there; 44.56 proxy 3 `site weights ... 'a': 1.0 before={'a': 0}`, 44.58 proxy 1 the same. Followers took the order's step at once,
however far they were themselves, so any order that was ahead of them skipped their ramp. Mended: docs/incidents/newborn-leader.md.
"""

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront import records
from gannetfront.interface import READY, SUCCEEDED, TIMEOUT
from gannetfront.sites import failure_detector as r
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
from test_shedding import LOOK, Runs, made

LOST, HERE = dict(a=r.LOST), dict(a=r.HERE)
CALM = dict(alone=None, unheard=None)


class Proxy:
    """A monitor of three zones with two ready nodes each; `look` lets its clock go on by one look."""

    def __init__(self):
        self.monitor, self.now = Monitor(list("abc"), "c", 0.5, 500.0, made()), 0.0
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

    def look(self, leading=False):
        self.now += LOOK
        self.monitor.tick(self.now, self.entries, {}, CALM, leading)
        return self.monitor.orders_to_give()


def test_who_has_just_begun_orders_nothing_of_a_site_of_which_it_has_heard_nothing():
    proxy = Proxy()
    assert proxy.look(leading=True) == dict.fromkeys("abc", ReturnOrder.NO_ORDER)
    proxy.outcomes("b", SUCCEEDED)
    proxy.outcomes("a", TIMEOUT)
    assert proxy.look(leading=True) == dict(a=ReturnOrder.NO_ORDER, b=RampStage.FULL, c=ReturnOrder.NO_ORDER)
    # It serves meanwhile: nothing known is no reason to send nothing.
    assert proxy.monitor.shedding.weights == dict(a=0.0, b=1.0, c=1.0)


def test_who_is_cut_off_from_its_start_orders_nothing():
    proxy = Proxy()
    proxy.now += LOOK
    proxy.monitor.tick(proxy.now, proxy.entries, {}, dict(alone=3000.0, unheard=None), True)
    assert proxy.monitor.orders_to_give() == dict.fromkeys("abc", ReturnOrder.NO_ORDER)


@pytest.mark.parametrize("away_for", [1, 12, 40])
def test_an_order_that_is_ahead_skips_no_step_of_a_follower(away_for):
    runs = Runs(made())
    for _ in range(away_for):  # its leader sees the site whole already
        runs.shedding.on_orders(runs.now, dict(a=RampStage.FULL))
        runs.look(LOST)
    begun, seen = runs.now, []
    while not seen or seen[-1][1] < 1.0:
        runs.shedding.on_orders(runs.now, dict(a=RampStage.FULL))
        seen.append((runs.now - begun, runs.look(HERE).weights["a"]))
        assert len(seen) < 100
    steps = [seen[0]] + [b for a, b in zip(seen, seen[1:]) if a[1] != b[1]]
    assert [weight for _, weight in steps] == list(WEIGHTS), seen
    # At the pace of who leads, not sooner and hardly later.
    assert steps[1][0] >= LED_SETTLE_TIME - LOOK and all(
        b[0] - a[0] >= LED_STAGE_TIME for a, b in zip(steps[1:], steps[2:])
    )
    assert steps[-1][0] <= LED_SETTLE_TIME + 3 * LED_STAGE_TIME + 2 * LOOK


def test_a_site_whose_nodes_are_others_is_let_in_by_steps_too():
    proxy = Proxy()
    for zone in "abc":
        proxy.outcomes(zone, SUCCEEDED)
    proxy.look()
    for _ in range(8):
        proxy.outcomes("a", TIMEOUT)
        proxy.outcomes("b", SUCCEEDED)
        proxy.look()
    assert proxy.monitor.shedding.weights == dict(a=0.0, b=1.0, c=1.0)
    proxy.entries = [("new" + e[0], *e[1:]) if e[1] == 0 else e for e in proxy.entries]
    seen = [proxy.look(leading=True)["a"]]
    assert seen == [ReturnOrder.NO_ORDER], "nothing is known of the new ones yet"
    seen = [proxy.monitor.shedding.weights["a"]]
    while seen[-1] < 1.0:
        for zone in "abc":
            proxy.outcomes(zone, SUCCEEDED)
        proxy.look(leading=True)
        seen.append(proxy.monitor.shedding.weights["a"])
        assert len(seen) < 100
    assert sorted(set(seen)) == list(WEIGHTS) and seen == sorted(seen), seen


def test_who_begins_while_a_site_is_let_in_joins_at_the_step_that_is_ordered():
    proxy = Proxy()
    proxy.monitor.shedding.on_orders(proxy.now, dict(a=1))
    proxy.outcomes("a", SUCCEEDED)
    proxy.look()
    assert proxy.monitor.shedding.weights == dict(a=WEIGHTS[1], b=1.0, c=1.0)
    # One that has been there for long, and has not seen the site go, goes by what it sees.
    old = Runs(made())
    old.look(HERE, times=40)
    old.shedding.on_orders(old.now, dict(a=1))
    assert old.look(HERE).weights["a"] == 1.0


ORDERS = st.none() | st.fixed_dictionaries(
    {
        zone: st.sampled_from([*range(len(WEIGHTS)), ReturnOrder.NO_ORDER, ReturnOrder.HELD_OUT])
        for zone in "abc"
    }
)
STATES = st.fixed_dictionaries(
    {zone: st.sampled_from([r.UNKNOWN, r.HERE, r.SLOW, r.HALF, r.NODES, r.LOST, r.FLAPS]) for zone in "abc"}
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(STATES, ORDERS, st.booleans()), max_size=60))
def test_whatever_is_ordered_no_step_is_skipped(looks):
    runs = Runs(made())
    rose = dict.fromkeys("abc", -1e18)
    for states, orders, leading in looks:
        if orders:
            runs.shedding.on_orders(runs.now, orders)
        before = {name: zone.stage for name, zone in runs.shedding.ramps.items()}
        runs.look(states, leading=leading)
        for name, zone in runs.shedding.ramps.items():
            assert zone.stage <= before[name] + 1
            if zone.stage > before[name]:
                assert zone.stage == 1 or runs.now - rose[name] >= LED_STAGE_TIME
                rose[name] = runs.now


# ---- processes ----

# Whoever leads the return after the loss has just begun: two of the three electors are killed, the third is cut off with zone b.
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
    code, said = play(tmp_path, NEWBORN_DAY, "proxy", "")
    assert code in (0, 2) and "rules kept 5/5" in said and ", 0 wrong" in said.split("sites lost")[1], said
    killed = {e["who"] for e in records.read(tmp_path, "events") if e["what"] == "proxy killed"}
    assert killed == {"0", "2"}
    for n in (1, 3, 4, 5):
        weights = [e["weights"]["b"] for e in told_by(tmp_path, n, "site weights")]
        assert weights[0] == 0.0 and weights[-1] == 1.0, (n, weights)
        rises = [(a, b) for a, b in zip(weights, weights[1:]) if b > a]
        assert all((a, b) in zip(WEIGHTS, WEIGHTS[1:]) for a, b in rises), (n, weights)
