"""The proxy on the platform as a process of its own, with fake nodes and platform in this process."""

import json
import os
import signal
import subprocess
import sys

from edge_rig import NEWS, SETTINGS, Client, PgNode, Platform, fields, row, select
from gannetfront import host
from gannetfront.wire import pg

START_LIMIT = 20000.0  # ms until the proxy serves
GRACE = 500.0  # ms after its time limit within which a request must have its final answer
VALUE = b"\\x9f03"


class EdgeProcess:
    """One proxy process; `nodes` are its servers and `limits` what its configuration grants it."""

    def __init__(
        self, tmp_path, *nodes, memory_mb=64, sockets=1024, settings=SETTINGS, stderr=None, news=NEWS
    ):
        self.nodes = nodes
        self.news = news
        self.platform = Platform([listed(n, node) for n, node in enumerate(nodes)])
        free = host.Listener("127.0.0.1:0")
        free.close()
        self.at = free.where
        self.path, self.log_path = str(tmp_path / "config.json"), str(tmp_path / "proxy.log")
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.write_configuration(settings)
        self.log = open(self.log_path, "wb")
        self.stderr = self.log if stderr is None else stderr
        self.start()

    def start(self):
        """Starts the process, also again after its end, and waits until it serves."""
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gannetfront.edge"], env={"EDGE_CONFIG": self.path}, stderr=self.stderr
        )
        self.wait_until_serving()

    def write_configuration(self, settings=SETTINGS):
        document = {
            "name": "n0",
            "listen": self.at,
            "discovery": self.platform.at,
            "seed": "8c1f",
            "limits": self.limits,
            "peers": [],
            "settings": settings,
            "release_api": {"address": self.platform.at, "news": self.news},
            "known": json.loads(self.platform.listing()),
        }
        with open(self.path, "w") as file:
            json.dump(document, file)

    def wait_until_serving(self):
        deadline = host.now() + START_LIMIT
        while host.now() < deadline:
            try:
                return Client(self.at).stream.close()
            except (OSError, host.Refused):
                host.sleep(20)
        raise AssertionError(f"the proxy did not start: {open(self.log_path).read()[-500:]}")

    def signal(self, number):
        os.kill(self.process.pid, number)

    @property
    def alive(self):
        return self.process.poll() is None

    def peak_mb(self):
        """The most memory that was resident so far, in MiB, mapped files included."""
        with open(f"/proc/{self.process.pid}/status") as status:
            kilobytes = next(line.split()[1] for line in status if line.startswith("VmHWM"))
        return int(kilobytes) / 1024

    def traceback(self):
        """The end of what the process wrote besides log lines."""
        with open(self.log_path) as log:
            return "".join(line for line in log if not line.startswith("{"))[-1500:]

    def descriptors(self):
        """How many file descriptors are open."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def close(self):
        if self.alive:
            self.signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()
        self.platform.close()
        for node in self.nodes:
            node.close()


def listed(number, node):
    """The discovery entry of a node."""
    return {
        "host": f"s-{number}",
        "dial": node.at,
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        "revision_no": 1,
    }


class UsualClient:
    """Asks one request after another, as a usual client does, on a kept connection or a new one.

    `answers` holds (time sent, ms taken, value or code or None where the connection closed)."""

    def __init__(self, at, pause=20.0, limit=800, prefix="cafe", statement=select):
        self.at, self.pause, self.limit, self.prefix = at, pause, limit, prefix
        self.statement = statement
        self.answers, self.running, self.client = [], True, None
        self.greenlet = host.spawn(self.run)

    def run(self):
        number = 0
        while self.running:
            number += 1
            began = host.now()
            outcome = self.ask(self.statement(f"{self.prefix}{number:08x}", d=self.limit))
            self.answers.append((began, host.now() - began, outcome))
            host.sleep(self.pause)

    def ask(self, sql):
        """The value or error code, or None; a close that crosses the request is followed by one retry."""
        for _ in range(2):
            reused = self.client is not None
            try:
                if not reused:
                    self.client = Client(self.at, start=False)
                    self.client.stream.send(pg.startup(b"client", b"core"), 1000)
                    outcome, whole = self.read_answer()
                    if not whole:
                        return outcome
                self.client.write(sql)
                outcome, whole = self.read_answer()
            except (OSError, AssertionError, host.Refused, host.Timeout):
                outcome, whole = None, False
            if not whole:
                self.client = None
            if outcome is not None or not reused:
                return outcome
        return None

    def read_answer(self):
        """(value or code, whether the connection stays usable)."""
        outcome = None
        while True:
            message = self.client.one(self.limit + 4 * GRACE)
            if message is None:
                return outcome, False
            kind, body = message
            if kind == b"D":
                outcome = body[6:]
            elif kind == b"E":
                outcome = fields(body)["C"]
            elif kind == b"Z":
                return outcome, True

    def stop(self):
        self.running = False
        host.join([self.greenlet], self.limit + 8 * GRACE)

    def share_served(self):
        return sum(isinstance(outcome, bytes) for _, _, outcome in self.answers) / max(1, len(self.answers))

    def late_or_lost(self):
        """The requests that had no final answer in time."""
        return [one for one in self.answers if one[2] is None or one[1] > self.limit + GRACE]

    def latency(self, share):
        """The time in ms within which this share of the requests was answered."""
        times = sorted(taken for _, taken, _ in self.answers)
        return times[min(len(times) - 1, int(share * len(times)))]


def slow_node(wait=40, value=VALUE):
    """A node whose work takes `wait` ms."""
    return PgNode([wait, row(value)])
