"""The stream of notices beside a release API that is slow or silent."""

import pytest

from edge_rig import NEWS
from gannetfront import host
from gannetfront.edge.api import ReleaseApi
from gannetfront.wire import platform
from rig import Log

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
LATE = 4500.0  # ms, more than the 3.5 s after which another stream is asked for


def chunk(text):
    return b"%x\r\n%s\r\n" % (len(text), text)


def state(build):
    return chunk(b"event: news\ndata: build=%d&stage=0&phase=Progressing&cap=0.5&age_ms=1\n\n" % build)


class ScriptedApi:
    """A release API that treats its nth stream as the nth of `acts` says; the last one is repeated."""

    def __init__(self, *acts):
        self.acts, self.streams, self.most_open = list(acts), [], 0
        self.listener = host.Listener("127.0.0.1:0")
        self.at = self.listener.where
        host.spawn(host.serve, self.listener, self.handle, Log())

    def handle(self, stream):
        number = len(self.streams)
        self.streams.append(stream)
        self.most_open = max(self.most_open, sum(1 for one in self.streams if one.open and not one.ended()))
        try:
            stream.recv(65536, 1000)
            self.acts[min(number, len(self.acts) - 1)](stream, number + 2)
        except OSError:
            pass

    def close(self):
        self.listener.close()
        for stream in self.streams:
            stream.close()


def late(stream, build):
    host.sleep(LATE)
    prompt(stream, build)


def prompt(stream, build):
    """Accepts, tells a state and lives on."""
    stream.send(HEAD + state(build), 1000)
    while not stream.ended():
        host.sleep(500)
        stream.send(chunk(b":\n"), 1000)


def falls_silent(stream, build):
    """Accepts, tells a state and says nothing more until 1 s after another stream could be there."""
    stream.send(HEAD + state(build), 1000)
    host.sleep(LATE)
    stream.send(state(9), 1000)


def never(stream, build):
    host.sleep(10 * LATE)


@pytest.fixture
def play():
    """Starts a client beside a ScriptedApi; returns both and the states that the client passed on."""
    opened, greenlets = [], []

    def start(*acts):
        server, told = ScriptedApi(*acts), []
        client = ReleaseApi(server.at, {}, 100.0, lambda *event: told.append(event), host.Jitter(1), Log())
        client.state(False, 0, platform.news(NEWS))
        opened.append(server)
        greenlets.append(host.spawn(client.listen))
        return server, client, told

    yield start
    for greenlet in greenlets:
        host.stop(greenlet)
    for server in opened:
        server.close()


def until(condition, limit):
    deadline = host.now() + limit
    while not condition() and host.now() < deadline:
        host.sleep(10)
    return condition()


def newest_build(client):
    return client.newest.build


def test_a_stream_that_is_accepted_late_is_read(play):
    """Against streams that are each given up before they are accepted, so that no notice is ever read (issue 57)."""
    server, client, told = play(late)
    assert until(lambda: newest_build(client) > 1, 3 * LATE)
    assert until(lambda: sum(not stream.ended() for stream in server.streams) == 1, LATE)
    assert server.most_open <= 3


def test_a_silent_request_for_a_stream_is_made_anew(play):
    """Against a longer time-out, which waits for a stream that never comes."""
    server, client, told = play(never, prompt)
    assert until(lambda: newest_build(client) > 1, 6000.0)
    assert until(lambda: server.streams[0].ended(), 1000.0)


def test_a_stream_that_falls_silent_is_read_until_another_is_accepted(play):
    """Against notices that are written to a stream which has been closed for its silence."""
    server, client, told = play(falls_silent, never)
    assert until(lambda: newest_build(client) == 9, 3 * LATE)
    assert len(server.streams) > 1


def test_a_stream_that_is_refused_is_asked_for_again_soon(play):
    """Against a failure that nobody hears of until the next request is due."""
    server, client, told = play(lambda stream, build: stream.close(), prompt)
    assert until(lambda: newest_build(client) > 1, 2000.0)
