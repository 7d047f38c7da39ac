"""Hundreds of balancers that share nothing: what each sends is little, what a server gets is the sum."""

from collections import Counter

from gannetfront import interface as i
from helpers import BalancerHarness


def sent(stages, takes):
    """Dispatches by server, and how many invocations were given up, of so many takes at each balancer at once."""
    at, gave_up = Counter(), 0
    for number, stage in enumerate(stages):
        stage.balancer.random_state = 1000003 * (number + 1)
        stage.do_take(takes, "debit")
        at.update(act[2] for act in stage.dispatches())
        gave_up += sum(act[0] == "throttle" for act in stage.out.decisions)
    return at, gave_up


def listed(count, age, build=1, first=0, zone=0):
    return tuple(
        (f"s{n}", zone, build, 0, 0, i.READY, 1.0, 100000.0 - age) for n in range(first, first + count)
    )


def fleet(*entries, balancers=200, cap=0.0, zones=1, **facts):
    stages = [BalancerHarness({"balancers": balancers, "zone": n % zones} | facts) for n in range(balancers)]
    for stage in stages:
        stage.now = 100000.0
        stage.queue += [
            ("stage_told", False, 1, 0.0, cap, i.SUCCEEDED, 2, i.ROLLING_BACK),
            ("listed", "whole", entries),
        ]
        stage.flush()
    return stages


def test_all_together_do_not_push_over_what_is_cold_and_all_there_is():
    """A released build goes back: its 20 servers may get nothing more, the 10 of the earlier build have just started."""
    at, gave_up = sent(fleet(*listed(10, 500), *listed(20, 90000, build=2, first=10)), 5)
    assert not {f"s{n}" for n in range(10, 30)} & at.keys()
    # Of 1,000 that come at once 33 would be each warm server's; a cold one stands three times 0.39 of what it can do.
    assert 0 < max(at.values()) <= 33 and gave_up > 500
    # With all of them warm nothing is held off.
    assert sent(fleet(*listed(30, 90000)), 5)[1] == 0


def test_a_few_cold_ones_among_many_get_their_part():
    at, gave_up = sent(fleet(*listed(27, 90000), *listed(3, 500, first=27)), 5)
    assert gave_up == 0 and all(3 <= at[f"s{n}"] <= 33 for n in (27, 28, 29))


def test_where_none_drawn_will_do_hundreds_do_not_meet_at_one():
    """All but three servers have fallen silent, and those have just started: without a fault, but not the same for all."""
    stages = fleet(*listed(12, 90000), *listed(3, 2500, first=12))
    for stage in stages:
        for server in list(stage.balancer.servers.values())[:12]:
            server.recent_outcomes, server.in_flight = [(stage.now, 900.0, True)] * 3, {(0, 0): stage.now}
    at, gave_up = sent(stages, 1)
    assert at.keys() == {"s12", "s13", "s14"} and max(at.values()) <= 45 and sum(at.values()) + gave_up == 200


def test_the_first_of_a_zone_that_comes_back_do_not_get_all_that_is_asked_for_there():
    """Three of twelve servers of the home zone are back, 0.5 s after their start; 24 elsewhere are warm, crossing costs."""
    at, gave_up = sent(
        fleet(*listed(3, 500), *listed(24, 90000, first=3, zone=1), zones=2, cross_zone_price=0.1), 5
    )
    # Of 1,000, 37 would be each warm server's; a cold one stands three times 0.39 of what it can do.
    assert gave_up == 0 and max(at[f"s{n}"] for n in range(3)) <= 37
