"""States of a rollout that reach a proxy process: at its start, in notices, in votes' answers and after SIGHUP."""

import signal

import pytest

from edge_process import EdgeProcess, UsualClient, listed, slow_node
from edge_rig import SETTINGS
from gannetfront import host

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
