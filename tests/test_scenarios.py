import json
from math import isclose, log, sqrt
from pathlib import Path
from statistics import NormalDist

import pytest

from gannetfront.benchlink import codec
from gannetfront.benchlink.__main__ import Link
from edge_rig import SETTINGS
from helpers import Stage

SCENARIOS = sorted((Path(__file__).parent / "scenarios").glob("*.txt"))


def facts(words):
    read = {"True": True, "False": False}
    return {k: read[v] if v in read else float(v) for k, v in (w.split("=") for w in words)}


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda p: p.stem)
def test_scenario(path):
    lines = [x.split("#")[0].strip() for x in path.read_text().splitlines()]
    lines = [x for x in lines if x]
    head = lines.pop(0).split()[1:] if lines[0].startswith("set ") else []
    stage = Stage(facts(head))
    for line in lines:
        stage.play(line)
    ends = [a[1] for a in stage.out.acts if a[0] in ("throttle", "terminate")]
    assert len(ends) == len(set(ends)), "an invocation got two final answers"


@pytest.fixture
def judge():
    return Stage({}).balancer


def test_jackknife_against_hand_figures(judge):
    # Ten groups of two, one bad outcome in each of the first two: leaving one of those out gives 1/18, any
    # other 2/18, about a mean of 0.1.
    kept = [(g, g < 2 and half == 0, 1) for g in range(10) for half in (0, 1)]
    n, mean, v = judge.spread(kept)
    jack = 0.9 * (2 * (1 / 18 - 0.1) ** 2 + 8 * (2 / 18 - 0.1) ** 2)
    guess = 3 / 22
    assert (n, mean) == (20, 0.1) and isclose(v, max(jack, guess * (1 - guess) / 20))
    # Bad outcomes heaped in one group: here the jackknife is the larger.
    heaped = [(g, g == 0, 1) for g in range(10) for _ in (0, 1)]
    assert isclose(judge.spread(heaped)[2], 0.9 * ((0 - 0.1) ** 2 + 9 * (2 / 18 - 0.1) ** 2))


def test_interval_against_the_paper(judge):
    alpha, v = 0.05 / (2 * 3), 0.004
    tau = NormalDist().inv_cdf(1 - alpha / 2) ** 2 * v
    half = sqrt(v * (v + tau) / tau * (-2 * log(alpha) - log(v / (v + tau))))
    assert isclose(judge.own_width * sqrt(v), half)


def test_no_failures_leave_some_variance(judge):
    clean = [(g, False, 1) for g in range(10) for _ in (0, 1)]
    judge.width = judge.own_width
    n, difference, low = judge.compare(clean, clean)[:3]
    assert judge.spread(clean)[2] > 0 and difference < 0 and -1 < low < 0


def test_failure_at_once_is_no_quick_answer():
    stage = Stage({})
    for line in ("server a", "take 1 look", "answer 1 error 2"):
        stage.play(line)
    pace, failing = stage.balancer.servers["a"].health(stage.now, 500.0)
    assert pace >= 500.0 and failing > 0


def test_portions_change_while_counts_stay():
    from gannetfront.balance import Invocation

    stage = Stage({"tenants": ((0.5, 0.0), (0.5, 0.0)), "over_share_value": 0.1})
    for line in ("server a", "take 30 look"):
        stage.play(line)
    one = stage.balancer
    one.limit, mine = 31.0, Invocation(0, 1, None, one.now, one.now + 1000)
    assert not one.crowded(mine)  # what came is over its portion and worth less: it gives way
    before = dict(one.arrivals.counts)
    stage.queue.append(("tenants_listed", ((1.0, 0.0), (0.5, 0.0))))
    stage.flush()
    assert one.crowded(mine) and one.arrivals.counts == before


@pytest.mark.parametrize(
    "lines, said",
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
def test_a_line_that_cannot_be_read_is_named(lines, said):
    link = Link()
    link.batch(["round 1.0", "on proxy/1", f"start 5 {json.dumps(SETTINGS)}"])
    lines = ["round 1.0", "on proxy/1", *lines] if lines and "round" not in lines[0] else list(lines)
    with pytest.raises(codec.BadLine, match=said):
        link.batch(lines)


def test_what_is_unknown_or_told_twice_is_skipped_or_the_last_holds():
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
    assert [s.state for s in link.balancers["proxy/1"].servers.values()] == ["draining", "gone"]
    assert link.batch(["round 2.0", "on proxy/1", "sneezed 4", "inbound 7 - 0 - 0 0 900.0"]) == [
        "at proxy/1",
        "log unknown event sneezed",
        "overload_reply 7 -",
    ]
