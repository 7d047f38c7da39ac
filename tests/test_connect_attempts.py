"""Links to peers whose connections come up slowly, or never."""

import pytest

from gannetfront import host
from gannetfront.proxy.links import StreamLink
from gannetfront.wire import control_pb2 as c
from rig import Log

DELAY = 2500.0  # ms, more than the 1 s after which the next address is tried


class Link(StreamLink):
    def hello(self):
        return c.Hello(role=c.PROXY, id="1")


@pytest.fixture
def links(monkeypatch):
    """Starts a link to listeners; `delays` maps an address to the ms of each attempt, None: it never comes up."""
    connect, delays, greenlets, listeners = host.connect, {}, [], []

    def slow_connect(address, limit):
        delay = delays[address].pop(0) if len(delays[address]) > 1 else delays[address][0]
        if delay is None or limit < delay:
            host.sleep(limit)
            raise host.Refused("late")
        host.sleep(delay)
        return connect(address, limit)

    monkeypatch.setattr(host, "connect", slow_connect)

    def start(*delays_by_listener):
        for of_one in delays_by_listener:
            listener = host.Listener("127.0.0.1:0")
            listeners.append(listener)
            host.spawn(host.serve, listener, lambda stream: stream.recv(1, 20000), Log())
            delays[listener.where] = list(of_one)
        link = Link(list(delays), Log(), host.Jitter(1), "peer")
        greenlets.append(host.spawn(link.run))
        return link

    yield start
    for greenlet in greenlets:
        host.stop(greenlet)
    for listener in listeners:
        listener.close()


def is_up(link, limit):
    deadline = host.now() + limit
    while not link.up and host.now() < deadline:
        host.sleep(10)
    return link.up


@pytest.mark.parametrize("addresses", [1, 2])
def test_a_connection_that_is_slow_to_come_up_is_used(links, addresses):
    """Against attempts that are each given up after 1 s, so that a link never comes up (issue 57)."""
    assert is_up(links(*[[DELAY]] * addresses), 4 * DELAY)


def test_a_connection_that_never_comes_up_is_tried_anew_beside_it(links):
    """Against a longer time-out, which waits for a connection that never comes up."""
    assert is_up(links([None, 0.0]), 2 * DELAY)


def test_another_address_is_tried_while_one_is_silent(links):
    assert is_up(links([None], [0.0]), 2 * DELAY)


def test_attempts_are_few_and_end_with_the_link(links):
    """Against attempts that pile up at an address that does not answer."""
    link = links([None])
    for _ in range(40):
        host.sleep(100)
        assert len(link.attempts.open) <= 2
    link.set_peer("127.0.0.1:1")
    link.attempts.end_all()
    assert not link.attempts.open
