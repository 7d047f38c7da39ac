"""Hundreds of balancers that share no state: each sends little, and a server receives the sum."""

from collections import Counter

from gannetfront import interface as i
from helpers import BalancerHarness


def send_all(stages, invocations):
    """Gives each balancer that many invocations at once; returns (dispatches by server, number throttled)."""
    by_server, throttled = Counter(), 0
    for number, stage in enumerate(stages):
        stage.balancer.random_state = 1000003 * (number + 1)
        stage.do_take(invocations, "debit")
        by_server.update(decision[2] for decision in stage.dispatches())
        throttled += sum(decision[0] == "throttle" for decision in stage.out.decisions)
    return by_server, throttled


def ready_servers(count, age, build=1, first=0, zone=0):
    """Entries of ready servers that started `age` ms ago, named from `s<first>` on."""
    return tuple(
        (f"s{n}", zone, build, 0, 0, i.READY, 1.0, 100000.0 - age) for n in range(first, first + count)
    )


def balancers_with(*entries, balancers=200, cap=0.0, zones=1, **deployment):
    """Balancers that all received the same list, while build 2 is rolled back."""
    stages = [
        BalancerHarness({"balancers": balancers, "zone": n % zones} | deployment) for n in range(balancers)
    ]
    for stage in stages:
        stage.now = 100000.0
        stage.queue += [
            ("stage_told", False, 1, 0.0, cap, i.SUCCEEDED, 2, i.ROLLING_BACK),
            ("listed", "whole", entries),
        ]
        stage.flush()
    return stages


def test_cold_servers_are_not_overloaded_by_all_balancers_together():
    """A build is rolled back: its 20 servers may get nothing, the 10 of the earlier one have just started."""
    by_server, throttled = send_all(
        balancers_with(*ready_servers(10, 500), *ready_servers(20, 90000, build=2, first=10)), 5
    )
    assert not {f"s{n}" for n in range(10, 30)} & by_server.keys()
    # The fair part of a warm server would be 33 of 1,000; a cold one bears three times 0.39 of its capacity.
    assert 0 < max(by_server.values()) <= 33 and throttled > 500
    # With only warm servers nothing is throttled.
    assert send_all(balancers_with(*ready_servers(30, 90000)), 5)[1] == 0


def test_a_few_cold_servers_among_many_get_their_part():
    by_server, throttled = send_all(
        balancers_with(*ready_servers(27, 90000), *ready_servers(3, 500, first=27)), 5
    )
    assert throttled == 0 and all(3 <= by_server[f"s{n}"] <= 33 for n in (27, 28, 29))


def test_balancers_spread_over_the_few_responsive_servers():
    """All but three servers have stopped answering, and those three have just started.

    Guards against all balancers choosing the same one of them."""
    stages = balancers_with(*ready_servers(12, 90000), *ready_servers(3, 2500, first=12))
    for stage in stages:
        for server in list(stage.balancer.servers.values())[:12]:
            server.recent_outcomes, server.in_flight = [(stage.now, 900.0, True)] * 3, {(0, 0): stage.now}
    by_server, throttled = send_all(stages, 1)
    assert (
        by_server.keys() == {"s12", "s13", "s14"}
        and max(by_server.values()) <= 45
        and sum(by_server.values()) + throttled == 200
    )


def test_first_servers_of_a_returning_zone_are_not_overloaded():
    """Three of twelve servers of the home zone are back, 0.5 s after their start.

    There are 24 warm servers elsewhere, and crossing zones has a price: the three must not get all."""
    by_server, throttled = send_all(
        balancers_with(
            *ready_servers(3, 500), *ready_servers(24, 90000, first=3, zone=1), zones=2, cross_zone_price=0.1
        ),
        5,
    )
    # The fair part of a warm server would be 37 of 1,000; a cold one bears three times 0.39 of its capacity.
    assert throttled == 0 and max(by_server[f"s{n}"] for n in range(3)) <= 37
