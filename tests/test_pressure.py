"""One proxy process under clients that hold on to its memory or its time."""

import os
import signal
from collections import Counter
from copy import deepcopy

import pytest

import hostile_clients as hostile
from edge_process import EdgeProcess, UsualClient, listed, slow_node
from edge_rig import SETTINGS, Client, EdgeRig, PgNode, row, said, select, verdict
from gannetfront import host
from gannetfront.interface import SUCCEEDED
from gannetfront.wire import BadAnswer, http, pg
from helpers import BalancerHarness

MEMORY_MB, LEAST_MEMORY_MB, SOCKETS = 64, 32, 1024
CLIENTS = 480  # hostile ones at once
SPAN = 3000.0  # ms of an attack
SERVED_AT_LEAST = 0.5  # of what usual clients ask, as on any day of the platform
AFTER_CLOSE = 100.0  # ms after a client's close in which an attempt for it may still begin
NAMES = 40000
BUSY = deepcopy(SETTINGS)
BUSY["ceilings"]["mostHeld"] = 20000


@pytest.fixture
def process(tmp_path):
    processes = []

    def start(*nodes, **options):
        processes.append(EdgeProcess(tmp_path, *nodes, **options))
        return processes[-1]

    yield start
    for one in processes:
        one.close()


@pytest.fixture
def rig(tmp_path):
    rigs = []

    def start(*nodes, **options):
        rigs.append(EdgeRig(tmp_path, *nodes, **options))
        return rigs[-1]

    yield start
    for one in rigs:
        one.close()


def attack(process, play, count):
    """Plays hostile clients, in a process of their own, beside a usual one; returns the usual one."""
    usual = UsualClient(process.at)
    host.sleep(200)
    attackers = hostile.start(play, process.at, SPAN, count)
    deadline = host.now() + 4 * SPAN
    while attackers.poll() is None and host.now() < deadline:
        host.sleep(20)
    attackers.kill()
    attackers.wait()
    usual.stop()
    return usual


def assert_served(usual):
    assert usual.late_or_lost() == []
    assert usual.share_served() >= SERVED_AT_LEAST, Counter(outcome for _, _, outcome in usual.answers)


@pytest.mark.parametrize(
    "play",
    [
        hostile.half_a_large_request,
        hostile.slow_large_requests,
        hostile.start_with_many_short_fields,
        hostile.many_large_requests_at_once,
        hostile.answers_left_unread,
        hostile.written_ahead,
    ],
    ids=lambda play: play.__name__,
)
def test_memory_limit_holds_with_hundreds_of_clients(process, play):
    value = b"x" * 60000 if play is hostile.answers_left_unread else b"\\x9f03"
    one = process(
        *(slow_node(40, value) for _ in range(4)), memory_mb=MEMORY_MB, sockets=SOCKETS, settings=BUSY
    )
    usual = attack(one, play, CLIENTS)
    assert one.alive and one.peak_mb() <= MEMORY_MB
    assert_served(usual)


@pytest.mark.parametrize(
    "play",
    [hostile.half_a_large_request, hostile.many_large_requests_at_once, hostile.answers_left_unread],
    ids=lambda play: play.__name__,
)
def test_least_memory_of_the_platform_holds_with_hundreds_of_clients(process, play):
    value = b"x" * 60000 if play is hostile.answers_left_unread else b"\\x9f03"
    nodes = [slow_node(40, value) for _ in range(4)]
    one = process(*nodes, memory_mb=LEAST_MEMORY_MB, sockets=SOCKETS, settings=BUSY)
    usual = attack(one, play, CLIENTS)
    assert one.alive and one.peak_mb() <= LEAST_MEMORY_MB
    assert usual.late_or_lost() == []


@pytest.mark.parametrize(
    "play",
    [hostile.flood_of_empty_queries, hostile.flood_of_unsound_requests, hostile.flood_under_new_names],
    ids=lambda play: play.__name__,
)
def test_others_are_served_while_one_connection_floods(process, play):
    one = process(slow_node(), slow_node(), memory_mb=MEMORY_MB, sockets=SOCKETS)
    usual = attack(one, play, 1)
    assert one.alive and one.peak_mb() <= MEMORY_MB
    assert_served(usual)


@pytest.mark.parametrize("connections, bound", [(1, 64), (40, 160)])
def test_work_of_one_connection_in_a_turn_is_bounded(rig, monkeypatch, connections, bound):
    one = rig(PgNode())
    handled, most = [0], [0]
    take = pg.ClientReader.take

    def counted(reader):
        handled[0] += 1
        most[0] = max(most[0], handled[0])
        return take(reader)

    def turn():
        while True:
            handled[0] = 0
            host.sleep(0)

    clients = [one.client() for _ in range(connections)]
    monkeypatch.setattr(pg.ClientReader, "take", counted)
    turns, messages = host.spawn(turn), 5000 // connections
    for client in clients:
        client.stream.send(hostile.query(b"") * messages, 1000)
    got = [client.until(b"Z") for client in clients for _ in range(messages)]
    host.stop(turns)
    assert None not in got[-1] and most[0] <= bound


def test_startup_and_first_query_need_no_turn(rig, monkeypatch):
    one, turns = rig(PgNode()), []
    monkeypatch.setattr(one.edge.clients, "wait_for_turn", lambda: turns.append(1))
    client = Client(one.at, start=False)
    client.stream.send(pg.startup(b"client", b"core") + hostile.query(select("01")), 1000)
    client.until(b"Z")
    assert verdict(client.until(b"Z")) == b"\\x9f03" and not turns


def test_connection_whose_next_request_is_on_its_way_does_not_give_way(rig):
    one = rig(PgNode(), sockets=64)
    clients = [one.client() for _ in range(one.edge.budget.max_clients)]
    refused = Client(one.at, start=False)
    assert verdict(refused.until(b"none")) == "53300"
    assert [client.ask(select(f"0{n}")) for n, client in enumerate(clients)] == [b"\\x9f03"] * len(clients)
    host.sleep(150)
    assert one.client().ask(select("0a")) == b"\\x9f03"


def test_names_of_answered_requests_are_forgotten_in_the_end():
    harness = BalancerHarness({"no_return": True})
    harness.run("server a")
    harness.run("stage 1 1.0 1 released")
    for number in range(1, NAMES + 1):
        harness.now += 1.0
        harness.queue.append(("invocation", number, f"{number:08x}", 0, 0, 900.0))
        harness.flush()
        harness.queue.append(("outcome", number, 0, "a", SUCCEEDED, 5.0, True, {}))
    harness.flush()
    assert len(harness.dispatches()) == NAMES and len(harness.balancer.answered_by) <= NAMES / 2


def test_names_of_servers_that_are_gone_are_forgotten_in_the_end():
    harness = BalancerHarness({})
    for number in range(NAMES // 4):
        for state in ("ready", "gone"):
            harness.run(f"server s{number} state={state}")
        harness.now += 1.0
        harness.flush()
    harness.run("server a")
    harness.run("take 1 look")
    harness.flush()
    assert len(harness.balancer.servers) <= NAMES / 8 and harness.dispatches()


@pytest.mark.parametrize("piece", [b"[]", b"{}", b'"ab"', b"1.5"])
def test_listing_of_very_many_short_values_does_not_pass_the_memory_limit(process, piece):
    one = process(slow_node(), memory_mb=MEMORY_MB)
    body = (
        b'{"seq":9,"whole":true,"hosts":['
        + b",".join([piece] * ((4 << 20) // (len(piece) + 1) - 200))
        + b"]}"
    )
    one.platform.spoil[b"/discovery/hosts"] = [http.answer(200, [], body)] * 5
    one.signal(signal.SIGHUP)
    one.platform.change(listed(0, one.nodes[0]) | {"share": 2.0})
    deadline = host.now() + 10000
    while one.platform.spoil[b"/discovery/hosts"] and host.now() < deadline:
        host.sleep(50)
    assert one.alive and one.peak_mb() <= MEMORY_MB
    assert Client(one.at).ask(select("01")) == b"\\x9f03"


class TricklingNode(PgNode):
    """A node that answers each statement with the pieces of `pieces()`, `wait` ms apart."""

    def __init__(self, pieces, wait):
        self.pieces, self.wait = pieces, wait
        super().__init__()

    def handle(self, stream):
        self.streams.append(stream)
        try:
            for _ in self.requests(stream):
                for piece in self.pieces():
                    stream.send(piece, 3000)
                    host.sleep(self.wait)
        except (OSError, host.Timeout):
            pass
        finally:
            stream.close()


def ever_new_parameters():
    for first in range(0, 40000, 200):
        yield b"".join(pg.message(b"S", b"%x\0\0" % name) for name in range(first, first + 200))


def large_value():
    answer = row(b"x" * 60000)
    return [answer[offset : offset + 3000] for offset in range(0, len(answer), 3000)]


def value_without_end():
    yield row(b"x")[:40] + b"D" + (3 << 30).to_bytes(4, "big") + b"\0\1"
    for _ in range(100):
        yield b"x" * 65536


@pytest.mark.parametrize(
    "pieces, wait",
    [(ever_new_parameters, 2), (large_value, 30), (value_without_end, 0)],
    ids=["parameters", "slow", "endless"],
)
def test_memory_limit_holds_with_nodes_that_write_much_or_slowly(process, pieces, wait):
    nodes = [TricklingNode(pieces, wait) for _ in range(3)] + [slow_node(20) for _ in range(2)]
    one = process(*nodes, memory_mb=MEMORY_MB, settings=BUSY)
    clients = [UsualClient(one.at, prefix=f"ca{number:03x}") for number in range(60)]
    host.sleep(SPAN)
    for client in clients:
        client.running = False
    for client in clients:
        client.stop()
    assert one.alive and one.peak_mb() <= MEMORY_MB
    assert [late for client in clients for late in client.late_or_lost()] == []


def test_heads_of_very_many_short_fields_are_refused():
    fields = b"".join(b"%x:\r\n" % name for name in range(2000))
    request = http.RequestReader(65536, 65536)
    with pytest.raises(http.BadRequest) as refused:
        request.feed(b"POST /look HTTP/1.1\r\nhost: a\r\n" + fields + b"\r\n")
    assert refused.value.status == 431 and len(request.headers) < 200
    with pytest.raises(BadAnswer):
        http.AnswerReader(1 << 18).feed(b"HTTP/1.1 200 OK\r\n" + fields + b"content-length: 0\r\n\r\n")


def runs_of(node, ident):
    return sum(b"id=" + ident.encode() + b"," in sql for sql in node.seen)


def test_id_of_a_client_that_left_does_not_run_twice(process):
    node = slow_node(300)
    one = process(node, settings=SETTINGS)
    for ident in ("0a", "0b", "0c"):
        first = Client(one.at)
        first.write(select(ident, c="debit"))
        host.sleep(80)
        first.stream.close()
        host.sleep(50)
        Client(one.at).ask(select(ident, c="debit"))
    assert [runs_of(node, ident) for ident in ("0a", "0b", "0c")] == [1, 1, 1]


@pytest.mark.parametrize(
    "unread",
    [
        b"Q" + (60 << 20).to_bytes(4, "big") + b"x" * 240000,
        hostile.query(b"") * 40000,
        b"".join(hostile.query(select(f"e{n:04x}", d=2000)) for n in range(4000)),
        b"".join(hostile.query(hostile.large_insert(n, d=2000)) for n in range(20)),
    ],
    ids=["part of 60 MB", "empty queries", "requests", "large requests"],
)
def test_nothing_is_sent_for_a_client_that_closed_with_much_unread(process, unread):
    nodes, times = [PgNode([450, said(b"XX000")]) for _ in range(3)], []

    class Seen(list):
        def append(self, sql):
            times.append(host.now())

    for node in nodes:
        node.seen = Seen()
    patient = deepcopy(SETTINGS)
    for operation in patient["classes"]:
        operation["giveUpMs"] = 3000.0
        operation["aimMs"] = 2000.0
    one = process(*nodes, settings=patient)
    for number in range(3):
        stream = hostile.started(one.at)
        stream.send(hostile.query(select(f"ab{number:02x}", d=3000)), 1000)
        host.sleep(30)
        hostile.quietly(stream.send, unread, 150)
        host.sleep(100)
        stream.close()
        closed = host.now()
        host.sleep(2000)
        assert [at - closed for at in times if at > closed + AFTER_CLOSE] == []
        times.clear()


def test_request_behind_an_open_one_is_answered_before_the_kill_of_a_restart(process):
    """The kill comes at the longest time limit and 0.7 s after SIGTERM at the earliest."""
    settings = deepcopy(SETTINGS)
    for operation in settings["classes"]:
        operation["giveUpMs"], operation["aimMs"] = 3000.0, 1000.0
    hung = PgNode("silent")
    one = process(hung, settings=settings)
    clients = [Client(one.at) for _ in range(5)]
    one.signal(signal.SIGTERM)
    stopped, answered = host.now(), []
    host.sleep(300)
    for number, client in enumerate(clients):
        client.write(select(f"0{number}", d=3000, c="debit"))
    host.sleep(700)

    def second(number, client):
        client.write(hostile.large_insert(number, d=2500))
        answers = client.until(b"Z") + client.until(b"Z")
        answered.append((host.now() - stopped, sum(bool(m) and m[0] in b"DE" for m in answers)))

    greenlets = [host.spawn(second, *pair) for pair in enumerate(clients)]
    host.join(greenlets, 3700 - (host.now() - stopped))
    one.signal(signal.SIGKILL)
    assert [count for _, count in answered] == [2] * 5


def test_request_that_is_whole_long_after_a_stop_is_answered_before_the_kill(process):
    settings = deepcopy(SETTINGS)
    for operation in settings["classes"]:
        operation["giveUpMs"], operation["aimMs"] = 3000.0, 3000.0
    one = process(PgNode("silent"), settings=settings)
    client, request = Client(one.at), hostile.query(hostile.large_insert(1, d=3000, c="debit"))
    one.signal(signal.SIGTERM)
    stopped = host.now()
    host.sleep(300)
    client.stream.send(request[:20000], 1000)
    host.sleep(1500)
    client.stream.send(request[20000:], 1000)
    answer = client.one(3700 - (host.now() - stopped))
    assert answer and answer[0] == b"E"


def test_time_of_a_request_counts_from_its_last_byte(process):
    node = slow_node(0)
    one = process(node)
    client, request = Client(one.at), hostile.query(hostile.large_insert(1, d=800))
    client.stream.send(request[:20000], 1000)
    host.sleep(600)
    client.stream.send(request[20000:], 1000)
    assert client.until(b"Z")[0][0] == b"T"
    assert int(node.seen[0].split(b",d=")[1].split()[0]) > 500


def test_flood_of_connections_leaves_descriptors_for_nodes(process):
    one = process(slow_node(), slow_node(), memory_mb=MEMORY_MB, sockets=256)
    usual = attack(one, hostile.open_connections, 4)
    assert one.alive and one.descriptors() <= 256
    assert_served(usual)


def test_log_that_nobody_reads_does_not_hold_up_the_proxy(process):
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    try:
        while os.write(writer, b"x" * 65536):
            pass
    except BlockingIOError:
        os.set_blocking(writer, True)
    try:
        one = process(slow_node(), stderr=writer)
        assert Client(one.at).ask(select("01")) == b"\\x9f03"
        os.read(reader, 1 << 20)
        one.signal(signal.SIGHUP)
        assert b"log lines dropped" in os.read(reader, 1 << 20)
    finally:
        os.close(reader)
        os.close(writer)
