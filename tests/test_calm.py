"""Storms: each told once as it begins and ends, by its symptom; growth, a bad build and a quiet night are none."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from gannetfront.calm.storm import Watch
from gannetfront.cli.kitchen import main as kitchen


class Weather:
    def __init__(self):
        self.one, self.now, self.told, self.key = Watch(0.0), 0.0, [], 0
        self.one.nodes(10, 0, 10)

    def second(self, asked, timely, status=None, again=0, builds=(1,), bad=()):
        """One second: so many asked and answered in time; the others' dispatches end with `status`; `bad` builds fail."""
        for n in range(asked):
            self.key += 1
            self.one.asked(self.now, f"k{n % 3}" if n < again else f"x{self.key}")
            build, fine = builds[n % len(builds)], n < timely
            if status or fine:
                self.one.dispatched(build, status or "succeeded", fine if not bad else build not in bad)
            self.one.answered("succeeded" if fine else "throttled", fine, 0, 0)
        self.now += 1000.0
        self.told += self.one.look(self.now)

    def calm(self, seconds=10, asked=40):
        for _ in range(seconds):
            self.second(asked, asked)


@pytest.fixture
def weather():
    one = Weather()
    one.calm()
    return one


def kinds(weather):
    return [facts["kind"] for what, facts in weather.told if what == "storm"]


@pytest.mark.parametrize(
    "kind, nodes, facts",
    [
        ("nodes gone", (0, 0, 10), dict()),
        ("nodes silent", (10, 0, 10), dict(status="timeout")),
        ("nodes cold", (10, 8, 10), dict(status="full")),
        ("some nodes gone", (5, 0, 10), dict(status="full")),
        ("repeats", (10, 0, 10), dict(status="full", again=30)),
        ("late answers", (10, 0, 10), dict(status="full")),
        ("a build fails", (10, 0, 10), dict(status="error", builds=(1, 2), bad=(2,))),
    ],
)
def test_a_storm_is_told_once_by_its_symptom_and_its_end_once(weather, kind, nodes, facts):
    weather.one.nodes(*nodes)
    for _ in range(6):
        weather.second(40, 5, **facts)
    assert kinds(weather) == [kind]
    weather.one.nodes(10, 0, 10)
    weather.calm()
    assert [what for what, _ in weather.told] == ["storm", "calm"] and weather.told[1][1]["refused"] == 6 * 35
    assert f"0, debit, throttled, {kind}" in weather.one.report(["debit"])


def test_growth_that_is_answered_is_no_storm(weather):
    for asked in (60, 80, 80, 80):
        weather.second(asked, asked - 3)
    weather.second(3, 0)  # a handful says nothing
    weather.now += 600000.0  # a night without a caller
    weather.told += weather.one.look(weather.now)
    assert weather.told == []


def test_a_second_outage_before_calm_is_the_same_storm(weather):
    for timely in (0, 0, 36, 36, 0, 0, 36, 36):
        weather.second(40, timely)
    weather.calm()
    assert [what for what, _ in weather.told] == ["storm", "calm"]


def test_what_is_kept_is_bounded(weather):
    for n in range(200):
        weather.one.answered("throttled", False, n, 0)
    for n in range(30000):
        weather.one.asked(weather.now + n, f"z{n}")
    weather.now += 40000.0
    weather.one.look(weather.now)
    assert len(weather.one.refused) <= 66 and len(weather.one.keys) <= 20000


@pytest.mark.parametrize("window, said", [("2500", True), ("20000", False)])
def test_marks_that_a_standstill_outlives_are_told(tmp_path, window, said):
    text = (
        (Path(__file__).parents[1] / "scripts" / "outage-on-trial.txt")
        .read_text()
        .replace("window=20000", f"window={window}")
    )
    (tmp_path / "day.txt").write_text(text)
    done = CliRunner().invoke(kitchen, ["check", str(tmp_path / "day.txt")])
    assert done.exit_code == 0 and ("remember marks of order-place" in done.output) == said
