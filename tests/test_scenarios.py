"""Runs the scenario files, and checks the statistics of the verdict and the errors of the line protocol."""

import json
from math import isclose, log, sqrt
from pathlib import Path
from statistics import NormalDist

import pytest

from gannetfront.benchlink import codec
from gannetfront.benchlink.__main__ import Link
from edge_rig import SETTINGS
from helpers import BalancerHarness

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


def facts(words):
    """The settings `NAME=VALUE` of a scenario, each a boolean or a number."""
    booleans = {"True": True, "False": False}
    return {
        name: booleans[value] if value in booleans else float(value)
        for name, value in (word.split("=") for word in words)
    }


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda p: p.stem)
def test_scenario(path):
    lines = [line.split("#")[0].strip() for line in path.read_text().splitlines()]
    lines = [line for line in lines if line]
    settings = lines.pop(0).split()[1:] if lines[0].startswith("set ") else []
    harness = BalancerHarness(facts(settings))
    for line in lines:
        harness.run(line)
    ended = [decision[1] for decision in harness.out.decisions if decision[0] in ("throttle", "terminate")]
    assert len(ended) == len(set(ended)), "an invocation got two final answers"


@pytest.fixture
def judge():
    return BalancerHarness({}).balancer


def test_jackknife_against_hand_figures(judge):
    # Ten groups of two, one bad outcome in each of the first two: leaving one of those out gives 1/18, any
    # other 2/18, about a mean of 0.1.
    outcomes = [(group, group < 2 and half == 0, 1) for group in range(10) for half in (0, 1)]
    size, mean, variance = judge.estimate(outcomes)
    jackknife = 0.9 * (2 * (1 / 18 - 0.1) ** 2 + 8 * (2 / 18 - 0.1) ** 2)
    rate = 3 / 22
    assert (size, mean) == (20, 0.1) and isclose(variance, max(jackknife, rate * (1 - rate) / 20))
    # With all bad outcomes in one group the jackknife variance is the larger one.
    clustered = [(group, group == 0, 1) for group in range(10) for _ in (0, 1)]
    assert isclose(judge.estimate(clustered)[2], 0.9 * ((0 - 0.1) ** 2 + 9 * (2 / 18 - 0.1) ** 2))


def test_interval_against_the_paper(judge):
    alpha, variance = 0.05 / (2 * 3), 0.004
    tau = NormalDist().inv_cdf(1 - alpha / 2) ** 2 * variance
    half_width = sqrt(
        variance * (variance + tau) / tau * (-2 * log(alpha) - log(variance / (variance + tau)))
    )
    assert isclose(judge.own_interval_factor * sqrt(variance), half_width)


def test_no_failures_leave_some_variance(judge):
    good = [(group, False, 1) for group in range(10) for _ in (0, 1)]
    judge.interval_factor = judge.own_interval_factor
    size, difference, low = judge.compare(good, good)[:3]
    assert judge.estimate(good)[2] > 0 and difference < 0 and -1 < low < 0


def test_immediate_failure_does_not_count_as_a_fast_answer():
    harness = BalancerHarness({})
    for line in ("server a", "take 1 look", "answer 1 error 2"):
        harness.run(line)
    pace, failure_rate = harness.balancer.servers["a"].health(harness.now, 500.0)
    assert pace >= 500.0 and failure_rate > 0


def test_new_portions_apply_to_the_arrivals_already_counted():
    from gannetfront.balance import Invocation

    harness = BalancerHarness({"tenants": ((0.5, 0.0), (0.5, 0.0)), "over_share_value": 0.1})
    for line in ("server a", "take 30 look"):
        harness.run(line)
    balancer = harness.balancer
    balancer.open_limit, invocation = 31.0, Invocation(0, 1, None, balancer.now, balancer.now + 1000)
    # The arrivals are over their tenant's portion and worth less: they give way to this invocation.
    assert not balancer.exceeds_limit(invocation)
    before = dict(balancer.arrivals.counts)
    harness.queue.append(("tenants_listed", ((1.0, 0.0), (0.5, 0.0))))
    harness.flush()
    assert balancer.exceeds_limit(invocation) and balancer.arrivals.counts == before


@pytest.mark.parametrize(
    "lines, error",
    [
        ((), "begins with round"),
        (("round now",), "begins with round"),
        (("inbound x",), "cannot read 'inbound x"),
        (("inbound 7 - 0 - 3 0 900.0",), "class 3 of 3"),
        (("ship_state 0 2 0.0 0.5 100 2 0",), "stage 2 of 2"),
        (("tally 9 1.0 1 9.0 -1 1",), "class -1 of 3"),
        (("announce 3 1 snapshot",), "cannot read 'announce 3"),
        (('start 5 {"classes": []}',), "settings.classes: must be a list of at least one class"),
        (("reply 7 9.0 nobody:1 0 0 100 -",), "round of proxy/1 at 1.000 .outcome.: KeyError 'nobody:1'"),
    ],
)
def test_unreadable_line_is_reported(lines, error):
    link = Link()
    link.batch(["round 1.0", "on proxy/1", f"start 5 {json.dumps(SETTINGS)}"])
    lines = ["round 1.0", "on proxy/1", *lines] if lines and "round" not in lines[0] else list(lines)
    with pytest.raises(codec.BadLine, match=error):
        link.batch(lines)


def test_unknown_events_are_skipped_and_the_last_duplicate_entry_wins():
    link = Link()
    link.batch(
        [
            "round 1.0",
            "on proxy/1",
            f"start 5 {json.dumps(SETTINGS | {'new': 1})}",
            "table 0 3",
            "entry a:1 0 1 0 0 Ready 1 -",
            "entry b:1 0 1 0 0 Resting 1 -",
            "entry a:1 0 1 0 0 Terminating 1 -",
            "announce 0 1 snapshot",
        ]
    )
    assert [server.state for server in link.balancers["proxy/1"].servers.values()] == ["draining", "gone"]
    assert link.batch(["round 2.0", "on proxy/1", "sneezed 4", "inbound 7 - 0 - 0 0 900.0"]) == [
        "at proxy/1",
        "log unknown event sneezed",
        "overload_reply 7 -",
    ]
