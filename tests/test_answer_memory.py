"""Memory for the answers of several calls to discovery, which may hold parts of a list at the same time."""

from types import SimpleNamespace

import pytest

from gannetfront import host
from gannetfront.edge import discovery as d
from gannetfront.edge.watch_schedule import Call
from gannetfront.memory import MemoryBudget, Purpose
from gannetfront.wire import BadAnswer, http
from gannetfront.wire.platform import JSON_VALUE_BYTES
from rig import Log

TOLD = 6000.0  # ms after which a change counts as told, by the platform's page


@pytest.fixture
def client():
    budget = MemoryBudget(4 << 20)
    return d.Discovery("127.0.0.1:1", None, lambda *listing: None, None, host.Jitter(1), Log(), budget)


def call_that_receives(client, size, since, last=None):
    """An open call whose answer has come in part, `since` and `last` in ms before now."""
    call = Call(client.at, False, 0, 0, host.now(), True)
    opened = client.open[call] = d.OpenCall(client.memory, None)
    client.schedule.add(call)
    opened.greenlet = host.spawn(host.sleep, 10000)
    opened.receiving_since = host.now() - since
    opened.received_at = host.now() - (since if last is None else last)
    assert opened.memory.resize(size)
    return call, opened


def share(client):
    return client.memory.share(Purpose.LISTING)


def test_an_earlier_answer_takes_the_memory_of_a_later_one(client):
    earlier, of_earlier = call_that_receives(client, share(client) // 2, 200)
    later, _ = call_that_receives(client, share(client) // 2, 100)
    client.reserve(earlier, of_earlier, share(client))
    assert list(client.open) == [earlier] == client.schedule.calls


def test_a_later_answer_waits_for_an_earlier_one_that_goes_on(client):
    """Against two lists that push each other out for ever."""
    earlier, of_earlier = call_that_receives(client, share(client) // 2, 200, last=0)
    later, of_later = call_that_receives(client, share(client) // 2, 100)
    waiting = host.spawn(client.reserve, later, of_later, share(client))
    host.sleep(3 * d.MEMORY_RETRY)
    assert earlier in client.open and of_later.memory.size == share(client) // 2
    of_earlier.memory.release()
    host.join([waiting], 1000)
    assert of_later.memory.size == share(client)


def test_an_answer_that_has_stopped_in_part_gives_way(client):
    """Against a list that never ends and keeps all others out."""
    call_that_receives(client, share(client) // 2, 9000, last=5000)
    later, of_later = call_that_receives(client, share(client) // 2, 100)
    client.reserve(later, of_later, share(client))
    assert list(client.open) == [later]


def test_an_answer_too_large_by_itself_is_an_error(client):
    only, of_only = call_that_receives(client, 10, 100)
    with pytest.raises(BadAnswer):
        client.reserve(only, of_only, share(client) + 1)


def test_a_call_that_is_given_up_while_its_answer_is_applied_ends_quietly(client, monkeypatch):
    """Against the end of the loop that owns the list."""
    call, _ = call_that_receives(client, 10, 100)
    monkeypatch.setattr(client, "apply", lambda *_: client.take_memory_of(call))
    client.on_result(d.CallResult(call, http.AnswerReader(10), None))
    assert not client.open and client.memory.used_for[Purpose.LISTING] == 0


def test_a_complete_answer_does_not_wait_for_one_that_trickles(client):
    """Against a list that never ends and, by a byte now and then, keeps the answers that have come whole from being applied."""
    _, of_earlier = call_that_receives(client, share(client) // 2, 200, last=0)
    complete, of_complete = call_that_receives(client, 10, 100)
    values = 3 * share(client) // (4 * JSON_VALUE_BYTES)
    reader = http.AnswerReader(1 << 20)
    reader.feed(http.answer(200, [], b"," * values))
    client.listing = SimpleNamespace(read=lambda body: (1, False, []))
    applying = host.spawn(client.apply, complete, of_complete, reader)
    deadline = host.now() + TOLD
    while not applying.ready() and host.now() < deadline:
        of_earlier.on_received()
        host.sleep(1000)
    is_applied = applying.ready()
    host.stop(applying)
    assert is_applied
