"""What ends while something is still owed: each crossing is forced by the order of bytes, closes and events, never by a span.
The table is docs/edge.md's."""

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib

import pytest

from gannetfront import host, interface as i
from gannetfront.edge import budget
from gannetfront.edge.session import Session
from gannetfront.proxy.flights import Flight
from gannetfront.proxy.pools import Pool
from gannetfront.wire import BadAnswer, http, pg
from edge_rig import NEWS, SETTINGS, EdgeRig, PgNode, insert, row, select, verdict
from rig import FLEET, Log, Node, Rig, ok
from test_edge import greeted

GOOD = row(b"value")
PATIENT = SETTINGS | {
    "classes": [c | {"giveUpMs": 20000.0, "aimMs": 9000.0} for c in SETTINGS["classes"]],
    "ceilings": SETTINGS["ceilings"] | {"connectTimeoutMs": 10000.0},
}


@pytest.fixture
def rig(tmp_path):
    made = []

    def make(*nodes, kind=EdgeRig, **facts):
        made.append(kind(tmp_path, *nodes, **facts))
        return made[-1]

    yield make
    for one in made:
        one.close()


class Gated(PgNode):
    """Greets each connection only once `gate` is set; `calls` counts those that came."""

    def __init__(self, *acts):
        super().__init__(*acts)
        self.gate, self.calls = host.Once(), 0

    def handle(self, stream):
        self.calls += 1
        self.gate.wait(20000)
        super().handle(stream)


def query(sql):
    return pg.message(b"Q", sql + b"\0")


def plainly(at, data=b""):
    """A client in the machine's hands alone: whether anybody has accepted it or not."""
    where, port = at.split(":")
    one = socket.create_connection((where, int(port)), 5)
    one.sendall(data)
    return host.Stream(one)


def heard(stream):
    """All that comes until the end, which must be an orderly one: OSError where it is a reset."""
    got = b""
    while True:
        data = stream.recv(65536, 3000)
        if not data:
            return got
        got += data


# ---- waits ----


def test_what_came_while_the_loop_was_held_up_is_not_late():
    """Against answers, requests and connections called late for what this process did to itself; more than one look can tell."""
    listener, came, got = host.Listener("127.0.0.1:0"), [], []
    host.spawn(host.serve, listener, came.append, Log())
    peers = [host.connect(listener.where, 3000) for _ in range(100)]
    while len(came) < 100:
        host.sleep(1)

    def read(stream):
        try:
            got.append(stream.recv(1, 20))
        except host.Timeout:
            got.append("late")

    def connect():
        try:
            got.append(host.connect(listener.where, 20) and b"x")
        except host.Refused:
            got.append("late")

    waits = [host.spawn(read, stream) for stream in came] + [host.spawn(connect) for _ in range(9)]
    host.sleep(0)
    for peer in peers:
        peer.sock.send(b"x")
    host.hold_up(40)
    host.join(waits, 5000)
    assert got == [b"x"] * 109
    listener.close()


def test_a_request_that_comes_at_the_limit_is_read(rig, monkeypatch):
    """Against a client whose wait is over in the very turn in which its request is there: it was never read, round and round."""
    monkeypatch.setattr("gannetfront.edge.session.IDLE_TIMEOUT", 20.0)
    one = rig(PgNode(GOOD))
    client = one.client()
    client.stream.sock.send(query(select("01")))
    host.hold_up(40)
    assert verdict(client.until(b"Z")) == b"value"


def test_a_send_that_is_stuck_ends_with_its_dispatch():
    """A client that left must not be waited on by what is half written: a node that starts at the last byte never ran it."""
    listener, stuck = host.Listener("127.0.0.1:0"), []

    def deaf(stream):
        stream.recv(65536, 1000)
        stream.send(pg.WELCOME, 1000)
        stuck.append(stream)
        host.sleep(5000)

    host.spawn(host.serve, listener, deaf, Log())
    flight = Flight(listener.where, lambda left: b"Q" * (16 << 20), 20000.0, pg.Reply(1 << 18))
    flown = host.spawn(flight.run, Pool(listener.where, 4, 1000.0, 1000.0, greeted))
    while not stuck:
        host.sleep(1)
    flight.stop.set()
    host.join([flown], 3000)
    assert flown.value == (i.MOOT, None)
    listener.close()


# ---- a client's connection ----


def test_a_last_answer_is_not_taken_back_by_what_lies_unread(rig):
    one = rig(PgNode())
    client = plainly(one.at, pg.startup(b"client", b"core") + b"\xff" + b"x" * (200 << 10))
    assert b"C08P01" in heard(client)


def test_one_turned_away_hears_why_though_it_has_asked_already(rig):
    one = rig(PgNode([20000, GOOD]), sockets=budget.SPARE + 8, settings=PATIENT)
    busy = [one.client() for _ in range(one.edge.budget.max_clients)]
    for n, client in enumerate(busy):
        client.write(select(f"0{n}"))
    one.until(lambda: len(one.edge.budget.states[budget.BUSY]) == len(busy))
    assert b"C53300" in heard(plainly(one.at, pg.startup(b"client", b"core") + query(select("0f")) * 900))


def test_only_so_many_linger():
    """A flood that neither reads nor closes holds no more descriptors than that, and those for a bounded time."""
    listener, ended = host.Listener("127.0.0.1:0"), []
    closes = host.LingeringCloses(2, 20000.0, 1 << 20)

    def end(stream):
        closes.close(stream)
        ended.append(stream)

    host.spawn(host.serve, listener, end, Log())
    peers = [host.connect(listener.where, 3000) for _ in range(5)]
    while len(ended) < 3:
        host.sleep(1)
    assert [peer.recv(1, 3000) for peer in peers] == [b""] * 5 and closes.lingering == 2
    for peer in peers:
        peer.close()
    while len(ended) < 5:
        host.sleep(1)
    listener.close()


@pytest.mark.parametrize(
    "said, rest",
    [
        (pg.startup(b"client", b"core") + query(select("0a"))[:30], query(select("0a"))[30:]),
        (pg.startup(b"client", b"core")[:9], pg.startup(b"client", b"core")[9:] + query(select("0a"))),
    ],
    ids=["query", "startup"],
)
def test_half_a_request_is_not_idle_at_a_stop(rig, monkeypatch, said, rest):
    monkeypatch.setattr("gannetfront.edge.edge.ACCEPT_GRACE", 0.0)
    one = rig(PgNode(GOOD))
    client = plainly(one.at, said)
    one.until(lambda: one.edge.budget.states[budget.BUSY] or one.edge.budget.states[budget.STARTING])
    stop = host.spawn(one.edge.drain)
    one.until(lambda: not one.edge.listener.open)
    host.sleep(20)  # evict_idle has looked
    client.send(rest, 1000)
    assert b"value" in heard(client)
    host.join([stop], 3000)
    assert one.edge.done.ready()


def test_half_a_request_is_not_idle_in_a_flood(rig):
    one = rig(PgNode(GOOD), sockets=budget.SPARE + 8)
    client, whole = one.client(), query(select("0a"))
    client.stream.send(whole[:30], 1000)
    one.until(lambda: one.edge.budget.states[budget.BUSY])
    crowd = [one.client() for _ in range(20)]
    client.stream.send(whole[30:], 1000)
    assert verdict(client.until(b"Z")) == b"value" and crowd


def test_what_the_machine_has_accepted_is_answered_at_a_stop(rig, monkeypatch):
    """Against a loop that was held up past the time in which clients come."""
    monkeypatch.setattr("gannetfront.edge.edge.ACCEPT_GRACE", 0.0)
    one = rig(PgNode(GOOD))
    host.stop(one.edge.greenlets[-1])  # who accepts has not come to it
    host.sleep(0)
    client = plainly(one.at, pg.startup(b"client", b"core") + query(select("0a")))
    stop = host.spawn(one.edge.drain)
    assert b"value" in heard(client)
    host.join([stop], 3000)
    assert one.edge.done.ready()


@pytest.mark.parametrize(
    "behind",
    [query(b"") * (budget.MAX_PENDING + 9), b"\xff" + b"x" * 90000],
    ids=["much", "what cannot be read"],
)
def test_a_close_behind_what_is_not_taken_is_seen(rig, behind):
    one = rig(PgNode("silent"), settings=PATIENT)
    client = one.client()
    client.write(select("01", d=20000))
    one.until(lambda: one.nodes[0].seen)
    client.stream.send(behind, 1000)
    client.stream.close()
    one.until(lambda: one.nodes[0].ended and not one.edge.rounds.held and not one.edge.clients.open)


def test_what_is_written_ahead_is_answered_in_its_time(rig):
    """Commands past those that may wait are kept, not lost."""
    one = rig(PgNode([30, GOOD]))
    client, many = one.client(), budget.MAX_PENDING + 40
    client.stream.send(query(select("01")) + query(b"") * many + query(select("02")), 1000)
    got = [client.until(b"Z") for _ in range(many + 2)]
    assert [verdict(got[0]), verdict(got[-1])] == [b"value"] * 2


def test_whole_messages_that_wait_are_not_taken_for_one_that_is_not_finished(rig, monkeypatch):
    monkeypatch.setattr("gannetfront.edge.session.START_TIMEOUT", 100.0)
    one = rig(PgNode([300, GOOD]))
    client, many = one.client(), budget.MAX_PENDING + 40
    client.stream.send(query(select("01")) + query(b"") * many + query(select("02")), 1000)
    got = [client.until(b"Z") for _ in range(many + 2)]
    assert [verdict(got[0]), verdict(got[-1])] == [b"value"] * 2


@pytest.mark.parametrize("ahead", [1, 3])
def test_a_client_that_asks_again_at_once_does_not_keep_a_stop_from_its_end(rig, monkeypatch, ahead):
    """Each answer was followed by the next request before anybody found the connection idle, until the kill lost one."""
    monkeypatch.setattr("gannetfront.edge.edge.ACCEPT_GRACE", 0.0)

    def answer(sql):
        """Where several are out: only once the next is there, so that something always is."""
        end, count = host.now() + 200, int(sql.split(b"id=")[1][:4], 16) + 2
        while ahead > 1 and len(node.seen) < count and host.now() < end:
            host.sleep(1)
        return GOOD

    node = PgNode(answer)
    one = rig(node)
    client, got, names = one.client(), [b"value"], iter(range(1000))
    client.write(*[select(f"{next(names):04x}") for _ in range(ahead - 1)])
    stop = host.spawn(one.edge.drain)
    while got[-1] == b"value" and len(got) < 99:
        try:
            client.write(select(f"{next(names):04x}"))
        except OSError:
            pass  # closed: what was answered before may still be read
        got.append(verdict(client.until(b"Z")))
    assert got[-1] is None and len(got) < 20
    host.join([stop], 3000)
    assert one.edge.done.ready()


def test_a_second_stop_and_a_client_that_does_not_read(rig, monkeypatch):
    monkeypatch.setattr("gannetfront.edge.edge.ACCEPT_GRACE", 0.0)
    monkeypatch.setattr("gannetfront.edge.session.WRITE_TIMEOUT", 300.0)
    one = rig(PgNode())
    client = one.client()
    for some, side in (
        (client.stream, socket.SO_RCVBUF),
        *((s, socket.SO_SNDBUF) for s in one.edge.clients.open),
    ):
        some.sock.setsockopt(socket.SOL_SOCKET, side, 4096)
    client.stream.sock.send(query(b"") * 60000)
    one.until(lambda: one.edge.budget.states[budget.BUSY])
    host.join([host.spawn(one.edge.drain) for _ in range(2)], 5000)
    assert one.edge.done.ready() and not one.edge.clients.open and len(one.log.said("stopping")) == 1


@pytest.mark.parametrize(
    "more", [b"", pg.message(b"X", b"") + b"\xff" * 99], ids=["a close", "bytes after Terminate"]
)
def test_a_connection_that_ends_in_any_state_leaves_nothing(rig, more):
    one = rig(PgNode([5, GOOD]))
    whole = pg.startup(b"client", b"core") + query(select("0a")) + query(b"")
    client, count = one.client(), lambda: len(os.listdir("/proc/self/fd"))
    assert client.ask(select("00")) == b"value"
    one.until(lambda: one.platform.streams and one.platform.watchers)
    held, enter, came, cuts = count(), one.edge.budget.enter, [], range(0, len(whole) + 1, 3)
    one.edge.budget.enter = lambda stream: came.append(stream) or enter(stream)
    for cut in cuts:
        plainly(one.at, whole[:cut] + more).close()
    one.until(lambda: len(came) == len(cuts) and len(one.edge.clients.open) == 1)
    one.until(lambda: not one.edge.rounds.held and not one.edge.rounds.flights)
    assert not one.edge.clients.ids and one.edge.budget.clients == sum(map(len, one.edge.budget.states)) == 1
    one.until(lambda: count() <= held + 2)  # one more kept connection to the node, and its other end
    assert client.ask(select("0b")) == b"value" and not one.log.said("decisions failed")


# ---- a dispatch, between decision and first byte ----


def test_a_node_is_told_the_time_that_is_left_when_its_connection_is_up(rig):
    node = Gated(GOOD)
    one = rig(node, settings=PATIENT)
    client = one.client()
    client.write(select("01", d=15000))
    one.until(lambda: node.calls)
    begun = host.now()
    host.sleep(120)
    waited = host.now() - begun
    node.gate.set()
    assert verdict(client.until(b"Z")) == b"value"
    assert int(node.seen[0].split(b",d=")[1].split()[0]) <= 15000 - waited


def test_nothing_begins_for_a_client_whose_close_nobody_has_read(rig, monkeypatch):
    """A connection comes up in the very turn in which its client leaves: its own socket is asked, not who reads it."""
    read = Session.read

    def read_nothing_while_an_answer_is_due(session):
        if not session.pending:
            return read(session)
        session.pending[0].context.done.wait(20000.0)

    monkeypatch.setattr(Session, "read", read_nothing_while_an_answer_is_due)
    node = Gated(GOOD)
    one = rig(node, settings=PATIENT)
    client = one.client()
    client.write(select("01", d=15000))
    one.until(lambda: node.calls)
    client.stream.close()
    node.gate.set()
    one.until(lambda: one.edge.pools.size() and not one.edge.rounds.flights)
    host.sleep(20)
    assert not node.seen


def test_a_name_that_becomes_another_process_is_not_sent_the_decision(rig):
    """The connection to the earlier one comes up after the list has told of the later."""
    old, new = Gated(row(b"old")), PgNode(row(b"new"))
    one = rig(old, new)
    one.platform.change(one.host(1, health="draining"))
    one.until(lambda: one.edge.discovery.version == 2)
    client = one.client()
    client.write(insert("01", c="debit", more=""))
    one.until(lambda: old.calls)
    one.platform.change(one.host(0, dial=new.at, born_ms=1000.0 * host.wall()))
    one.until(lambda: one.edge.discovery.version == 3)
    old.gate.set()
    # It never ran, whatever is decided of it now.
    assert (
        verdict(client.until(b"Z")) in ("53300", b"new")
        and not old.seen
        and client.ask(select("02")) == b"new"
    )


def test_a_name_that_becomes_another_process_before_its_dispatch_has_begun(rig):
    """The list is taken between the round that decided and the greenlet that dials."""
    old, new = PgNode(row(b"old")), PgNode(row(b"new"))
    one = rig(old, new)
    one.platform.change(one.host(1, health="draining"))
    one.until(lambda: one.edge.discovery.version == 2)
    launch, seen = one.edge.rounds.launch, []

    def launched(*decided):
        launch(*decided)
        entry, _, _ = one.edge.discovery.entries["s-0"]
        one.edge.discovery.take(3, False, [(entry[:7], new.at, 1000.0 * host.wall())])

    one.edge.rounds.launch, one.edge.rounds.on_outcome = (
        launched,
        lambda addr, op, status, took: seen.append(status),
    )
    one.client().ask(insert("01", c="debit", more=""))
    assert set(seen) == {i.MOOT} and not old.seen and not new.streams


def test_a_node_called_gone_is_sent_nothing(rig):
    one = rig(PgNode())
    one.edge.discovery.take(
        2,
        False,
        [
            (entry[:5] + (i.GONE, entry[6]), dial, born)
            for entry, dial, born in one.edge.discovery.entries.values()
        ],
    )
    with pytest.raises(host.Refused, match="not listed"):
        one.edge.discovery.address("s-0")


def test_a_forgotten_pool_begins_nothing(rig):
    """Who holds it would put its connection where nobody closes it."""
    one = rig(PgNode())
    pool = one.edge.pools.pool_for("elsewhere")
    one.edge.pools.sweep({})
    assert pool.retired


# ---- the list ----


@pytest.fixture
def short_watch(monkeypatch):
    for name, span in (("WATCH_TIMEOUT", 60.0), ("RESPONSE_GRACE", 40.0), ("CONNECT_TIMEOUT", 40.0)):
        monkeypatch.setattr(f"gannetfront.edge.watch_schedule.{name}", span)


def test_a_silent_watch_is_over_in_time():
    """In the worst order: silent right behind the call, then a connection that never comes up; 6 s by the platform's page."""
    from gannetfront.edge import watch_schedule as d

    assert (
        d.WATCH_TIMEOUT + d.RESPONSE_GRACE + 1.5 * d.MIN_BACKOFF + d.CONNECT_TIMEOUT + 1.5 * 2 * d.MIN_BACKOFF
        <= 5000
    )


def test_two_streams_of_notices_are_not_heard_at_a_time(rig):
    """Against a count that is told on both and taken twice, while a configuration moves the address."""
    one, other = rig(PgNode()), rig(PgNode())
    one.until(lambda: one.platform.streams and one.edge.api.stream)
    one.write(release_api={"address": other.platform.at, "news": NEWS})
    one.edge.reload()
    one.until(lambda: one.platform.streams[0].ended())


def test_the_first_answer_stands(rig):
    """A node's answer and the decisions' own end in one turn of the loop."""
    one = rig(PgNode("silent"))
    client = one.client()
    client.write(select("01"))
    one.until(lambda: one.edge.rounds.held)
    (held,) = one.edge.rounds.held.values()
    assert one.edge.rounds.carrier.finish(
        held, i.SUCCEEDED, GOOD[:-6]
    ) and not one.edge.rounds.carrier.finish(held, "terminated", False)
    assert verdict(client.until(b"Z")) == b"value"


@pytest.mark.parametrize("how", ["silent", "trickles"])
def test_a_watch_that_falls_silent_is_opened_anew(rig, short_watch, how):
    one = rig(PgNode(), PgNode(row(b"new")))
    agent, calls, said = host.Listener("127.0.0.1:0"), [], []

    def answer(stream):
        calls.append(stream)
        nth = len(calls)
        stream.recv(65536, 3000)
        if nth == 3:
            listing = {"seq": 9, "whole": True, "hosts": [one.host(1)]}
            stream.send(http.answer(200, [], json.dumps(listing).encode()), 1000)
        while how == "trickles" and nth == 2 and stream.open:
            stream.send(b"HTTP/1.1 200 OK\r\nx: " if not said else b"y", 1000)
            said.append(nth)
            host.sleep(10)
        stream.recv(1, 5000)

    host.spawn(host.serve, agent, answer, Log())
    one.write(discovery=agent.where)
    one.edge.reload()
    one.until(lambda: list(one.edge.discovery.entries) == ["s-1"])
    assert one.client().ask(select("01")) == b"new"
    agent.close()


def test_a_list_that_leaves_all_out_ends_what_it_must_and_only_that(rig):
    one = rig(PgNode([60, GOOD]))
    client = one.client()
    client.write(select("01"))
    one.until(lambda: one.nodes[0].seen)
    take, entry = one.edge.discovery.take, one.edge.discovery.entries["s-0"]
    take(2, True, [])
    assert verdict(client.until(b"Z")) == b"value"  # what is out there goes on
    one.until(lambda: one.nodes[0].ended)  # and its connection is not kept
    assert client.ask(insert("02", c="debit", more="")) == "53300" and not one.edge.pools.size()
    take(3, True, [(entry[0][:7], *entry[1:])] * 2)  # named twice: once
    assert client.ask(insert("03", c="debit", more="")) == b"value" and len(one.edge.discovery.entries) == 1


def test_a_listing_cut_anywhere_is_dropped_whole(rig):
    one = rig(PgNode())
    body = one.platform.listing()
    for cut in range(len(body)):
        with pytest.raises(BadAnswer):
            one.edge.discovery.listing.read(body[:cut])
    assert one.edge.discovery.listing.read(body)[1]


# ---- configurations and signals ----


@pytest.mark.parametrize(
    "text, word",
    [
        ("{", "config.json"),
        ("", "config.json"),
        ("[]", "object"),
        ('{"discovery": 5}', "discovery"),
        ("[" * 100000, "config.json"),
        ('{"discovery": "127.0.0.1:1", "release_api": 7}', "release_api"),
        ('{"discovery": "127.0.0.1:1", "release_api": {"address": ["x"]}}', "release_api.address"),
        ('{"discovery": "127.0.0.1:99999", "release_api": {"address": "127.0.0.1:1"}}', "discovery"),
    ],
    ids=lambda x: x[:40],
)
def test_a_file_that_is_not_fit_leaves_what_is_in_force(rig, text, word):
    one = rig(PgNode())
    with open(one.path, "w") as f:
        f.write(text)
    before = one.edge.discovery.at, one.edge.api.at
    one.edge.reload()
    assert (
        word in one.log.said("configuration rejected")[0]["why"]
        and (one.edge.discovery.at, one.edge.api.at) == before
    )
    assert one.client().ask(select("01")) == b"\\x9f03"


def test_signals_before_the_start_is_over_are_heeded(rig, tmp_path):
    """The configuration is a pipe, then another: the process stands in its start for as long as this test wants."""
    one, other = rig(PgNode()), rig(PgNode(row(b"other")))
    pipe, free = str(tmp_path / "pipe"), host.Listener("127.0.0.1:0")
    free.close()
    for name in (pipe, pipe + "2"):
        os.mkfifo(name)

    def write(told):
        def opened():
            try:
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            except OSError:
                return None  # nobody reads yet

        got = []
        one.until(lambda: got.append(opened()) or got[-1] is not None, 20000)
        return got[-1], json.dumps(told).encode()

    run = subprocess.Popen(
        [sys.executable, "-m", "gannetfront.edge"], env={"EDGE_CONFIG": pipe}, stderr=subprocess.DEVNULL
    )
    try:
        fd, data = write(one.told | {"listen": free.where})
        run.send_signal(signal.SIGHUP)
        run.send_signal(signal.SIGTERM)
        os.replace(pipe + "2", pipe)
        os.write(fd, data)
        os.close(fd)
        fd, data = write(other.told)  # read again for the signal that came early
        os.write(fd, data)
        os.close(fd)
        one.until(lambda: other.platform.streams, 20000)
        one.until(lambda: run.poll() is not None, 20000)
        assert run.returncode == 0
    finally:
        run.kill()
        run.wait()


# ---- the front for HTTP, which shares what stands in proxy/ and host.py ----


def post(body=b""):
    return http.request(b"/read", b"x", [], body)


def test_http_last_answers_are_not_taken_back(rig):
    one = rig(Node(), kind=Rig)
    assert b"400 " in heard(plainly(one.at, b"\xff\xff\r\n" + b"x" * (300 << 10)))


def test_http_a_close_behind_what_is_not_taken_is_seen(rig):
    one = rig(Node("silent"), kind=Rig, fleet=FLEET.replace("time_limit: 1000", "time_limit: 20000"))
    stream = host.connect(one.at, 1000)
    stream.send(post(), 1000)
    one.until(lambda: one.nodes[0].seen)
    stream.send(post() * 40, 1000)
    stream.close()
    one.until(lambda: one.nodes[0].ended and not one.proxy.rounds.held)


def test_http_what_is_written_ahead_is_answered(rig):
    one = rig(Node([10, ok()]), kind=Rig)
    stream = host.connect(one.at, 1000)
    stream.send(post(), 1000)
    one.until(lambda: one.nodes[0].seen)
    for _ in range(30):
        stream.send(post(), 1000)
        host.sleep(1)
    got = b""
    while got.count(b"succeeded") < 31:
        got += stream.recv(65536, 3000)


def test_http_half_a_request_and_the_backlog_are_answered_at_a_stop(rig):
    one = rig(Node(), kind=Rig)
    half = host.connect(one.at, 1000)
    half.send(post(body=b"xyz")[:-2], 1000)
    one.until(lambda: one.proxy.clients.busy)
    host.stop(one.proxy.greenlets[-1])
    host.sleep(0)
    late = plainly(one.at, post())
    stop = host.spawn(one.proxy.stop)
    assert one.read(late)[1] == "throttled"
    half.send(b"yz", 1000)
    assert one.read(half)[1] == "throttled"
    host.join([stop], 5000)
    assert one.proxy.done.ready()


def test_what_a_controller_turns_away_is_told_why(rig):
    """A webhook that is too long, and a proxy that comes to one that stands by, with more unread behind both."""
    one = rig(Node(), kind=Rig)
    door = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, door, lambda stream: one.controller.serve_webhook({}, 300.0, stream), Log())
    long = b"POST /hooks/x HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n" + b"x" * (200 << 10)
    assert b" 413 " in heard(plainly(door.where, long))
    one.controller.leading = False
    assert b"stands by" in heard(plainly(one.control, b"x" * 9000))
    door.close()


# ---- the build ----

PYTHON = """#!/bin/sh
echo "$@" >> calls
if [ "$2" = venv ]; then
    eval "place=\\${$#}"
    mkdir -p $place/bin
    cp "$0" $place/bin/python
    printf '#!/bin/sh\\necho pip >> calls\\ntest ! -e cut\\n' > $place/bin/pip
    chmod +x $place/bin/pip
fi
"""


def test_the_environment_is_made_anew_when_it_must(tmp_path):
    """Against one that is kept by a mark alone: other requirements, or an installation cut off halfway, and it never starts."""
    with open(os.path.join(os.path.dirname(__file__), "..", "deploy", "balancer.toml"), "rb") as f:
        build = tomllib.load(f)["build"]
    (tmp_path / "bin").mkdir()
    (tmp_path / "bin" / "python3").write_text(PYTHON)
    (tmp_path / "bin" / "python3").chmod(0o755)

    def built():
        (tmp_path / "calls").write_text("")
        code = subprocess.run(
            ["/bin/sh", "-c", build], cwd=tmp_path, env={"PATH": f"{tmp_path}/bin:/usr/bin:/bin"}
        ).returncode
        return code, (tmp_path / "calls").read_text().split("\n").count("pip")

    (tmp_path / "requirements-run.txt").write_text("one==1\n")
    (tmp_path / "cut").touch()
    assert built() == (1, 1)
    (tmp_path / "cut").unlink()
    assert [built(), built()] == [(0, 1), (0, 0)]
    (tmp_path / "requirements-run.txt").write_text("one==2\n")
    assert [built(), built()] == [(0, 1), (0, 0)]
