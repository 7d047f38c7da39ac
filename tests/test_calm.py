"""Storm detection: each storm is reported once at its begin and once at its end, with its kind; growth and
idle times are no storms."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from gannetfront.calm.storm import StormDetector
from gannetfront.cli.kitchen import main as kitchen


class Traffic:
    """Drives a StormDetector second by second; `reports` are all that it returned."""

    def __init__(self):
        self.watch, self.now, self.reports, self.last_key = StormDetector(0.0), 0.0, [], 0
        self.watch.on_nodes(10, 0, 10)

    def second(self, requests, timely, status=None, repeats=0, builds=(1,), bad=()):
        """One second with so many requests, of which `timely` are answered in time and `repeats` are repeats.
        Dispatches end with `status`; those to `bad` builds fail."""
        for n in range(requests):
            self.last_key += 1
            self.watch.on_request(self.now, f"k{n % 3}" if n < repeats else f"x{self.last_key}")
            build, in_time = builds[n % len(builds)], n < timely
            if status or in_time:
                self.watch.on_dispatch(build, status or "succeeded", in_time if not bad else build not in bad)
            self.watch.on_answer("succeeded" if in_time else "throttled", in_time, 0, 0)
        self.now += 1000.0
        self.reports += self.watch.tick(self.now)

    def calm(self, seconds=10, requests=40):
        for _ in range(seconds):
            self.second(requests, requests)


@pytest.fixture
def traffic():
    calm_traffic = Traffic()
    calm_traffic.calm()
    return calm_traffic


def kinds(traffic):
    """Kinds of the storms that were reported, at their begin."""
    return [facts["kind"] for event, facts in traffic.reports if event == "storm"]


@pytest.mark.parametrize(
    "kind, nodes, symptoms",
    [
        ("nodes gone", (0, 0, 10), dict()),
        ("nodes silent", (10, 0, 10), dict(status="timeout")),
        ("nodes cold", (10, 8, 10), dict(status="full")),
        ("some nodes gone", (5, 0, 10), dict(status="full")),
        ("repeats", (10, 0, 10), dict(status="full", repeats=30)),
        ("late answers", (10, 0, 10), dict(status="full")),
        ("a build fails", (10, 0, 10), dict(status="error", builds=(1, 2), bad=(2,))),
    ],
)
def test_a_storm_is_told_once_by_its_symptom_and_its_end_once(traffic, kind, nodes, symptoms):
    traffic.watch.on_nodes(*nodes)
    for _ in range(6):
        traffic.second(40, 5, **symptoms)
    assert kinds(traffic) == [kind]
    traffic.watch.on_nodes(10, 0, 10)
    traffic.calm()
    assert [event for event, _ in traffic.reports] == ["storm", "calm"] and traffic.reports[1][1][
        "refused"
    ] == 6 * 35
    assert f"0, debit, throttled, {kind}" in traffic.watch.report(["debit"])


def test_growth_that_is_answered_is_no_storm(traffic):
    for requests in (60, 80, 80, 80):
        traffic.second(requests, requests - 3)
    traffic.second(3, 0)  # too few to say anything
    traffic.now += 600000.0  # ten minutes without a request
    traffic.reports += traffic.watch.tick(traffic.now)
    assert traffic.reports == []


def test_a_second_outage_before_calm_is_the_same_storm(traffic):
    for timely in (0, 0, 36, 36, 0, 0, 36, 36):
        traffic.second(40, timely)
    traffic.calm()
    assert [event for event, _ in traffic.reports] == ["storm", "calm"]


def test_what_is_kept_is_bounded(traffic):
    for n in range(200):
        traffic.watch.on_answer("throttled", False, n, 0)
    for n in range(30000):
        traffic.watch.on_request(traffic.now + n, f"z{n}")
    traffic.now += 40000.0
    traffic.watch.tick(traffic.now)
    assert len(traffic.watch.refused) <= 66 and len(traffic.watch.keys) <= 20000


@pytest.mark.parametrize("window, warned", [("2500", True), ("20000", False)])
def test_marks_that_a_standstill_outlives_are_told(tmp_path, window, warned):
    text = (
        (Path(__file__).parents[1] / "scripts" / "outage-on-trial.txt")
        .read_text()
        .replace("window=20000", f"window={window}")
    )
    (tmp_path / "day.txt").write_text(text)
    result = CliRunner().invoke(kitchen, ["check", str(tmp_path / "day.txt")])
    assert result.exit_code == 0 and ("remember marks of order-place" in result.output) == warned
