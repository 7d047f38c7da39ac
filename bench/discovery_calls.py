"""What one proxy costs an agent of discovery: calls, connections and bytes, while all is well and while it is slow.

    python bench/discovery_calls.py [--seconds 30] [--nodes 50]

The proxy is a process of its own; every answer of the agent takes `delay` ms. In the changing play one node changes
every second.
"""

import sys
import tempfile
from pathlib import Path

import click

sys.path[:0] = [str(Path(__file__).parents[1] / "tests"), str(Path(__file__).parents[1])]
from slow_agents import SlowAgent  # noqa: E402
from test_slow_discovery import ProxyProcess, entry  # noqa: E402

from gannetfront import host  # noqa: E402
from gannetfront.wire import http  # noqa: E402

START_LIMIT = 20000.0  # ms
SETTLING = 1000.0  # ms from the start to the count
PLAYS = (("calm", 0.0, False), ("a change a second", 0.0, True), ("answers of 1 s", 1000.0, False))
SLOW_PLAYS = (("answers of 4 s", 4000.0, False), ("answers of 15 s", 15000.0, False))


class CountingAgent(SlowAgent):
    """Counts calls and bytes; each answer takes `delay` ms."""

    delay = 0.0
    sent = received = 0

    def answer_listing(self, stream, path):
        self.received += len(http.request(path, self.at.encode(), [], b"", b"GET"))
        super().answer_listing(stream, path)

    def send_slowly(self, stream, body, number, whole):
        host.sleep(self.delay)
        answer = http.answer(200, [], body)
        self.sent += len(answer)
        stream.send(answer, 1000)


def play(name, delay, changes, seconds, nodes):
    """Plays and prints one row of the table."""
    agent = CountingAgent([entry(number) for number in range(nodes)])
    agent.delay = delay
    with tempfile.TemporaryDirectory() as folder:
        proxy = ProxyProcess(Path(folder), agent)
        try:
            proxy.wait_for("serving", lambda line: True, START_LIMIT)
            host.sleep(SETTLING)
            before = len(agent.calls), len(agent.open), agent.received, agent.sent
            end, version = host.now() + 1000.0 * seconds, 0
            while host.now() < end:
                host.sleep(1000.0)
                version += 1
                if changes:
                    agent.change(entry(version % nodes, share=1.0 + version % 7))
            after = len(agent.calls), len(agent.open), agent.received, agent.sent
        finally:
            proxy.close()
    counts = [new - old for old, new in zip(before, after)]
    print(f"| {name} | {counts[0]} | {counts[1]} | {counts[2]} | {counts[3]} |", flush=True)


@click.command()
@click.option("--seconds", default=30, show_default=True)
@click.option("--nodes", default=50, show_default=True)
@click.option("--slow/--no-slow", default=True, show_default=True, help="the plays with slow answers as well")
def main(seconds, nodes, slow):
    print("| play | calls | new connections | bytes to the agent | bytes from it |")
    print("| --- | --- | --- | --- | --- |")
    for name, delay, changes in PLAYS + SLOW_PLAYS * slow:
        play(name, delay, changes, seconds, nodes)


if __name__ == "__main__":
    main()
