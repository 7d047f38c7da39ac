"""The proxy as a process beside agents of discovery that are slow or crowded: every change is known in the end.

All agents play at the same time. What is judged is when a proxy logs the version of the list that holds a change.
"""

import json
import signal
import subprocess
import sys

import pytest

from edge_rig import SETTINGS, Platform
from gannetfront import host
from slow_agents import (
    BodyInPieces,
    DrawnDelays,
    LateHead,
    OneAtATime,
    OneLongTurnAtATime,
    SilentNowAndThen,
    SlowWholeLists,
    VeryLateHead,
    configuration,
)

START_LIMIT = 20000.0  # ms until a proxy serves
QUIET = 4500.0  # ms before the change, in which calls have become late
TOLD, GRACE = 6000.0, 2000.0  # ms by the platform's page and settings
MAX_OPEN_CALLS = 3


def entry(number, **more):
    """The discovery entry of a node to which nobody sends anything."""
    return {
        "host": f"s-{number}",
        "dial": f"127.0.0.1:{number + 1}",
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        "revision_no": 1,
    } | more


class ProxyProcess:
    """One proxy beside an agent; `moves` has it begin at a prompt agent, which SIGHUP replaces."""

    def __init__(self, folder, agent, moves=False):
        self.agent = agent
        self.first_agent = Platform([entry(0), entry(1)]) if moves else agent
        self.api = Platform([])
        free = host.Listener("127.0.0.1:0")
        free.close()
        self.at, self.path, self.log_path = free.where, str(folder / "config.json"), str(folder / "log")
        self.configure(self.first_agent)
        self.log = open(self.log_path, "wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gannetfront.edge"], env={"EDGE_CONFIG": self.path}, stderr=self.log
        )

    def configure(self, agent):
        with open(self.path, "w") as file:
            json.dump(configuration(self.at, agent, SETTINGS, self.api), file)

    def lines(self, event):
        """The log lines of an event, as objects."""
        with open(self.log_path) as log:
            lines = [json.loads(line) for line in log if line.startswith("{")]
        return [line for line in lines if line["event"] == event]

    def wait_for(self, event, condition, limit):
        """Waits until a log line of the event meets the condition; returns whether it came."""
        deadline = host.now() + limit
        while host.now() < deadline:
            if any(condition(line) for line in self.lines(event)):
                return True
            host.sleep(50)
        return False

    def move(self):
        """SIGHUP with the address of the agent in the file."""
        self.configure(self.agent)
        self.process.send_signal(signal.SIGHUP)

    def knows(self, version, limit):
        return self.wait_for("list", lambda line: line["version"] >= version, limit)

    def close(self):
        self.process.kill()
        self.process.wait()
        self.log.close()
        for platform in {self.first_agent, self.agent, self.api}:
            platform.close()


class Play:
    """One agent, the change that it tells, and how long after the change the proxy knew it, in ms."""

    def __init__(self, agent_type, limit, moves=False, spoils=False):
        self.agent_type, self.limit, self.moves, self.spoils = agent_type, limit, moves, spoils

    def start(self, folder):
        self.proxy = ProxyProcess(folder, self.agent_type([entry(0), entry(1)]), self.moves)

    def run(self):
        assert self.proxy.wait_for("serving", lambda line: True, START_LIMIT)
        if self.moves:
            self.proxy.move()
        host.sleep(QUIET)
        agent = self.proxy.agent
        agent.change(entry(0, health="draining"))
        began = host.now()
        known = self.proxy.knows(agent.version, self.limit)
        self.taken = host.now() - began if known else None


PLAYS = {
    "late head": Play(LateHead, TOLD + GRACE),
    "body in pieces": Play(BodyInPieces, TOLD + GRACE),
    "new address": Play(LateHead, TOLD + GRACE, moves=True),
    "one at a time": Play(OneAtATime, TOLD + GRACE),
    "drawn delays": Play(DrawnDelays, TOLD + GRACE),
    # No client can know these in 6 s; twice an answer's time, or the turns of the calls that may be open.
    "silent now and then": Play(SilentNowAndThen, 16000.0),
    "one long turn at a time": Play(OneLongTurnAtATime, 25000.0),
    "very late head": Play(VeryLateHead, 36000.0),
}


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    """All plays, once they have ended."""
    try:
        for name, play in PLAYS.items():
            play.start(tmp_path_factory.mktemp(name.replace(" ", "-")))
        greenlets = [host.spawn(play.run) for play in PLAYS.values()]
        host.join(greenlets, 2 * START_LIMIT + max(play.limit for play in PLAYS.values()))
        yield PLAYS
    finally:
        for play in PLAYS.values():
            if hasattr(play, "proxy"):
                play.proxy.close()


@pytest.mark.parametrize("name", PLAYS)
def test_a_change_is_known_however_slowly_it_is_told(plays, name):
    """Against answers that are given up after a fixed wait, each time, so that nothing is ever read (issue 57)."""
    assert plays[name].taken is not None


@pytest.mark.parametrize("name", PLAYS)
def test_few_calls_are_open_at_a_time(plays, name):
    """Against calls that pile up at an agent that is slow."""
    assert 1 <= plays[name].proxy.agent.most_connections <= MAX_OPEN_CALLS


def test_a_list_out_of_date_is_logged_once(plays):
    """Against a proxy that serves from an old list and says nothing of it."""
    lines = plays["very late head"].proxy.lines("list out of date")
    assert lines and lines[0]["age_ms"] >= TOLD
    status = plays["very late head"].proxy.lines("status")
    assert all(line["list_age_ms"] >= 0 for line in status)
    assert not plays["one at a time"].proxy.lines("list out of date")


def test_a_slow_complete_list_is_read_and_changes_beside_it(tmp_path):
    """Against a complete list that is asked for anew for ever, and changes that wait for it."""
    agent = SlowWholeLists([entry(0), entry(1)])
    proxy = ProxyProcess(tmp_path, agent)
    try:
        assert proxy.wait_for("serving", lambda line: True, START_LIMIT)
        agent.spoil[b"/discovery/hosts"] = [b"noise"]
        agent.change(entry(2))  # ends the first watch, if it stood already; the next call is spoilt
        agent.change(entry(0, health="draining"))
        assert proxy.knows(agent.version, TOLD + GRACE)
        assert proxy.wait_for("list", lambda line: line["whole"], 3 * agent.wait_ms)
    finally:
        proxy.close()


def test_an_answer_of_the_earlier_address_does_not_undo_that_of_the_new_one(tmp_path):
    """Against a late answer of an agent that SIGHUP has replaced."""
    earlier = LateHead([entry(0), entry(1)])
    proxy = ProxyProcess(tmp_path, earlier)
    newer = Platform([entry(0, health="draining"), entry(1)])
    newer.version = 7
    try:
        assert proxy.wait_for("serving", lambda line: True, START_LIMIT)
        earlier.version = 9
        earlier.change(entry(0))  # on its way for 4 s
        host.sleep(500)
        proxy.agent = newer
        proxy.move()
        assert proxy.knows(7, TOLD)
        host.sleep(earlier.wait_ms)
        assert proxy.lines("list")[-1]["version"] == 7
    finally:
        proxy.close()
        earlier.close()
