"""What a client reads as the proxy stops: one answer for each request it sent, and no other (issue 58).

PROTOCOL of the users' platform: "Answers on a connection come in the order of its commands", and a request is lost
whose connection is ended "with no whole answer".
"""

import signal

import pytest

from edge_process import EdgeProcess
from edge_rig import SETTINGS, Client, PgNode, row, select
from gannetfront import host
from gannetfront.wire import pg

LIMIT = 6000.0  # ms that clients wait: longer than a proxy that stops may run on
STOPS_AFTER = 3600.0  # ms after SIGTERM; longer limits count as 3 s, and 0.6 s are left until a kill
ENDS_BY = 10000.0  # ms
SLOW_CLASSES = [one | {"giveUpMs": LIMIT} for one in SETTINGS["classes"]]


@pytest.fixture
def process(tmp_path):
    started = []

    def start(*nodes):
        started.append(EdgeProcess(tmp_path, *nodes, settings=SETTINGS | {"classes": SLOW_CLASSES}))
        return started[-1]

    yield start
    for one in started:
        one.close()


def query(ident):
    return pg.message(b"Q", select(ident, d=LIMIT) + b"\0")


def read_to_end(client):
    """The types of the messages up to the end of the connection."""
    kinds = []
    while (message := client.one(ENDS_BY)) is not None:
        kinds.append(message[0])
    return b"".join(kinds)


@pytest.mark.parametrize(
    "sent, kinds",
    [
        (query("0a"), [b"EZ"]),
        (query("0a") + query("0b"), [b"EZEZ"]),
        # An error may answer the request that has come in part.
        (query("0a") + query("0b")[:-5], [b"EZ", b"EZE"]),
        # A connection with nothing due gets an error at most, which a request that crosses it reads.
        (b"", [b"", b"E"]),
        (query("0a")[:-5], [b"", b"E"]),
    ],
    ids=["one due", "two due", "one in part behind one due", "nothing due", "one in part"],
)
def test_a_stop_answers_each_request_once(process, sent, kinds):
    """Against an error behind the answers that are due, which is read as a second answer."""
    one = process(PgNode("silent"))
    client = Client(one.at)
    client.stream.send(sent, 1000)
    host.sleep(200)
    one.signal(signal.SIGTERM)
    assert read_to_end(client) in kinds


def test_requests_that_nobody_has_read_are_answered_too(process):
    """Against a close that takes with it what was pipelined during the stop."""
    one = process(PgNode("silent"))
    client = Client(one.at)
    client.stream.send(query("0a"), 1000)
    host.sleep(200)
    one.signal(signal.SIGTERM)
    host.sleep(0.5 * STOPS_AFTER)
    client.stream.send(query("0b") + query("0c"), 1000)
    assert read_to_end(client) == b"EZEZEZ"


def test_an_answer_half_written_is_the_last(process):
    """Against an error in the midst of a value, or behind it."""
    one = process(PgNode([STOPS_AFTER - 100.0, row(b"x" * 60000)]))
    client = Client(one.at)
    client.stream.send(query("0a"), 1000)
    host.sleep(50)
    one.signal(signal.SIGTERM)
    host.sleep(STOPS_AFTER)  # reads nothing meanwhile
    assert read_to_end(client) in (b"TDCZ", b"EZ")
