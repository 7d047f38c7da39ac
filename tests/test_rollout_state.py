"""States of a rollout that reach a proxy process: at its start, in notices, in votes' answers and after SIGHUP."""

import json
import signal

import pytest
from hypothesis import given, strategies as st

from edge_process import EdgeProcess, UsualClient, listed, slow_node
from edge_rig import SETTINGS, Platform, said, vote_ok
from gannetfront import host, interface as i
from gannetfront.edge.rollout_state import RolloutState
from gannetfront.wire.platform import PartialState
from helpers import BalancerHarness
from test_codecs import FEW_EXAMPLES

GRACE = 500.0  # ms in which a lower cap need not hold
TRIAL_SETTINGS = SETTINGS | {"rules": SETTINGS["rules"] | {"drainGraceMs": GRACE}}
WINDOW = SETTINGS["familyInfo"]["exposureWindowMs"]
TRIAL = {"build": 2, "stage": 0, "phase": "Progressing", "cap": 0.8, "age_ms": 5000}


class Trial:
    """A proxy process between one server of build 1 and three of build 2, which is on trial under a cap of 0.8."""

    def __init__(self, tmp_path, news=TRIAL, **process):
        self.nodes = [slow_node(5) for _ in range(4)]
        self.process = EdgeProcess(tmp_path, *self.nodes, settings=TRIAL_SETTINGS, news=news, **process)
        self.platform = self.process.platform
        self.clients = []

    def list_builds(self):
        """Lists the nodes with their builds: the trial runs on all but the first."""
        self.platform.change(
            *(listed(n, node) | {"revision_no": 1 + (n > 0)} for n, node in enumerate(self.nodes))
        )

    def load(self):
        """Starts the clients, which go on until close()."""
        self.clients = [UsualClient(self.process.at, prefix=f"ca{n:02x}") for n in range(6)]

    def exposure(self, span=WINDOW):
        """(requests answered, attempts at the build on trial) within the next `span` ms."""

        def counts():
            answered = sum(len(client.answers) for client in self.clients)
            return answered, sum(len(node.seen) for node in self.nodes[1:])

        before = counts()
        host.sleep(span)
        return tuple(after - first for after, first in zip(counts(), before))

    def exposed(self):
        """Waits until the build on trial gets requests."""
        seen = [len(node.seen) for node in self.nodes[1:]]
        self.until(lambda: [len(node.seen) for node in self.nodes[1:]] != seen)

    def until(self, condition, limit=10000):
        deadline = host.now() + limit
        while not condition():
            assert host.now() < deadline, self.log()[-1500:]
            host.sleep(10)

    def log(self):
        with open(self.process.log_path) as log:
            return log.read()

    def close(self):
        for client in self.clients:
            client.stop()
        self.process.close()


@pytest.fixture
def trial(tmp_path):
    made = []

    def make(**options):
        made.append(Trial(tmp_path, **options))
        made[-1].list_builds()
        return made[-1]

    yield make
    for one in made:
        one.close()


def allowed(cap, requests):
    """The attempts that may go to the build in a window: the rule's, with 2 and 4% more."""
    return SETTINGS["familyInfo"]["spareTries"] + 2 + 1.04 * cap * requests


CAPS = [0.08 * 1.4, 1 / 3, 1e-05]


@pytest.mark.parametrize("cap", CAPS)
def test_a_proxy_starts_under_a_cap_of_any_digits(trial, cap):
    """Against a restart in the stage of such a cap that ended with status 2 (review/7)."""
    one = trial(news=TRIAL | {"cap": cap, "age_ms": 1e16})
    one.load()
    one.process.signal(signal.SIGKILL)
    one.process.process.wait()
    one.process.start()
    host.sleep(WINDOW)
    requests, attempts = one.exposure()
    assert requests > 50 and attempts <= allowed(cap, requests)


@pytest.mark.parametrize("cap", CAPS)
def test_a_lower_cap_of_any_digits_is_kept_to(trial, cap):
    """Against a notice that was dropped, so that the earlier, higher cap went on."""
    one = trial()
    one.load()
    one.exposed()
    one.platform.tell(**TRIAL | {"cap": cap, "age_ms": "1e+00"})
    host.sleep(GRACE + 150)
    requests, attempts = one.exposure()
    assert requests > 50 and attempts <= allowed(cap, requests)


# ---- what cannot be read ----

UNREADABLE = [
    {"cap": "abc"},
    {"cap": 1.5},
    {"cap": "nan"},
    {"phase": "What"},
    {"build": -1},
    {"stage": "0x1"},
    {"age_ms": ""},
]
SETTLED = 300.0  # ms after which a state that was told is known and attempts before it have arrived


@pytest.mark.parametrize("wrong", UNREADABLE, ids=str)
def test_a_proxy_starts_without_a_readable_state_and_exposes_nothing(trial, wrong):
    """Against a proxy that ends, or takes the first stage's cap, where its start's state cannot be read."""
    one = trial(news=TRIAL | wrong)
    one.load()
    host.sleep(SETTLED)
    requests, attempts = one.exposure(600.0)
    assert requests > 20 and attempts == 0 and "release state unreadable" in one.log()
    one.platform.tell(**TRIAL)
    one.exposed()


@pytest.mark.parametrize("wrong", UNREADABLE, ids=str)
def test_an_unreadable_notice_stops_the_exposure_until_the_state_is_read_again(trial, wrong):
    """Against a notice that is dropped while the cap of the state before it goes on."""
    one = trial()
    one.load()
    one.exposed()
    one.platform.tell(**TRIAL | wrong)
    host.sleep(SETTLED)
    requests, attempts = one.exposure(1000.0)
    assert requests > 20 and attempts == 0 and "release state unreadable" in one.log()
    # The state is asked for anew, on one stream after the other, and not at full speed.
    assert 3 <= len(one.platform.streams) <= 10
    one.platform.tell(**TRIAL)
    one.exposed()


def test_an_unreadable_answer_to_a_vote_stops_the_exposure(trial):
    """Against an answer that told a lower cap and counted as no more than a vote without an answer."""
    one = trial()
    for node in one.nodes[1:]:
        node.acts[:] = [said(b"XX000")]  # the proxy votes against the build
    answer = vote_ok(2, 0, "Progressing", "0,1", 1)
    one.platform.vote_answers = [answer] * 1000
    one.load()
    one.until(lambda: one.platform.votes, 20000)
    host.sleep(SETTLED)
    requests, attempts = one.exposure(1000.0)
    assert requests > 20 and attempts == 0 and '"source": "vote"' in one.log()


def test_noise_takes_no_release_back_but_its_own_words_do(trial):
    """Against a refusal of every request by noise, and against requests to a build of which the release ended."""
    released = TRIAL | {"phase": "Healthy", "cap": 1.0}
    one = trial(news=released)
    one.load()
    one.platform.tell(noise="\xff")
    host.sleep(SETTLED)
    assert one.exposure(600.0)[1] > 20
    one.platform.tell(**released | {"phase": "Aborting", "cap": "?"})
    host.sleep(SETTLED)
    requests, attempts = one.exposure(600.0)
    assert requests > 20 and attempts == 0


def test_a_file_that_cannot_be_read_at_a_reload_is_read_again(trial):
    """Against a file that SIGHUP finds half written: the new addresses were never taken."""
    one = trial()
    one.load()
    one.exposed()
    with open(one.process.path) as file:
        text = file.read()
    other = Platform(one.platform.hosts)
    other.version = 77
    try:
        with open(one.process.path, "w") as file:
            file.write(text[: len(text) // 2])
        one.process.signal(signal.SIGHUP)
        one.until(lambda: "configuration rejected" in one.log())
        # One wrong address keeps the other in force as well.
        with open(one.process.path, "w") as file:
            json.dump(json.loads(text) | {"discovery": other.at, "release_api": {"address": 5}}, file)
        one.until(lambda: "release_api.address" in one.log())
        assert not other.asked
        with open(one.process.path, "w") as file:
            json.dump(json.loads(text) | {"discovery": other.at, "release_api": {"address": other.at}}, file)
        one.until(lambda: other.streams)
        other.tell(**TRIAL | {"cap": 0})
        host.sleep(SETTLED)
        assert one.process.alive and one.exposure(600.0)[1] == 0
    finally:
        other.close()


# ---- the state alone ----

FRACTIONS, PHASES = st.floats(0, 1), st.sampled_from([i.TRIAL, i.ROLLING_BACK, i.RELEASED, i.WITHDRAWN])
BUILDS = st.integers(1, 4)
STATES = st.tuples(st.integers(0, 2), st.floats(0, 1e4), FRACTIONS, BUILDS, PHASES)
PARTIALS = st.builds(PartialState, st.none() | BUILDS, st.none() | PHASES, st.none() | FRACTIONS)


@FEW_EXAMPLES
@given(st.lists(STATES, max_size=4), PARTIALS, st.floats(0, 1e4))
def test_an_unreadable_state_never_allows_more_than_before(states, partial, asked_before):
    known = RolloutState()
    for number, state in enumerate(states):
        known.receive(state, 10000.0 + number, 10000.0 + number)
    before = known.newest
    known.lose(partial, 20000.0)
    assert known.events(20000.0, False, i.SUCCEEDED)[0] == ("block_trial", True)
    after = known.newest
    assert after == before or (before.phase, after.phase, after.cap) == (i.RELEASED, i.ROLLING_BACK, 0.0)
    # The answer to a vote that was sent before may tell of the time before: it ends no block.
    known.receive((0, 0.0, 1.0, 9, i.TRIAL), 20001.0, 20000.0 - 1 - asked_before)
    assert known.unreadable_since is not None
    known.receive((0, 0.0, 1.0, 9, i.TRIAL), 20002.0, 20002.0)
    assert known.events(20002.0, False, i.SUCCEEDED)[-1] == ("block_trial", False)


def test_a_blocked_balancer_dispatches_to_no_build_on_trial_and_promotes_none():
    """The block covers the known build and later ones, which otherwise get the first stage's cap."""
    stage = BalancerHarness({})
    for line in ("server old", "server new build=2", "server newer build=3", "stage 0 0.5 2"):
        stage.run(line)
    stage.queue.append(("block_trial", True))
    stage.do_take(60, "look")
    assert {dispatch[2] for dispatch in stage.dispatches()} == {"old"}
    stage.queue.append(("block_trial", False))
    stage.do_take(60, "look")
    assert {dispatch[2] for dispatch in stage.dispatches()} > {"old"}
