"""The real proxy against scripted nodes and clients: each test causes a failure and checks its effects."""

import http.client

import pytest
from gevent import monkey

from gannetfront import host, interface as i
from gannetfront.proxy.flights import Flight
from gannetfront.proxy.pools import Pool, Pools
from gannetfront.wire import control_pb2 as c, frames, http as codec, invocation
from rig import FLEET, FULL, Log, Node, Rig, ok


@pytest.fixture
def make_rig(tmp_path):
    rigs = []

    def make(*nodes, **facts):
        rigs.append(Rig(tmp_path, *nodes, **facts))
        return rigs[-1]

    yield make
    for rig in rigs:
        rig.close()


def fly(node, data=None, limit=300.0, pool=None, stop_after=None):
    flight = Flight(
        node.at, lambda left: data or codec.request(b"/read", b"x", [], b""), limit, invocation.Reply(1 << 20)
    )
    if stop_after is not None:
        host.later(stop_after, flight.stop.set)
    return flight.run(pool or Pool(node.at, 4, 1000.0, 200.0))[0]


# ---- the status that each way of ending on a node's socket proves ----

BIG = codec.request(b"/read", b"x", [], b"x" * (8 << 20))


@pytest.mark.parametrize(
    "acts, status",
    [
        ([ok()], i.SUCCEEDED),
        ([FULL], i.FULL),
        ([codec.answer(500, [], b"")], i.ERROR),
        ([codec.answer(503, [], b"")], i.ERROR),  # without Gannet-Unseen it may have been executed
        ([codec.answer(404, [], b"")], i.SUCCEEDED),  # the service's own answer
        (["reset"], i.RESET),
        (["close"], i.RESET),
        (["silent"], i.TIMEOUT),
        ([[ok()[:-2], "reset"]], i.RESET),  # half an answer
        ([[b"HTTP/1.1 100 Continue\r\n\r\n", ok()]], i.SUCCEEDED),
        ([b"nonsense\r\n\r\n"], i.RESET),
        ([b"HTTP/1.1 200 OK\r\n\r\n"], i.TIMEOUT),
        ([[b"HTTP/1.1 200 OK\r\n\r\nto the end", "close"]], i.SUCCEEDED),
        ([[ok(b"x" * (2 << 20))]], i.RESET),  # beyond the answer limit
    ],
    ids=str,
)
def test_outcomes(acts, status):
    node = Node(*acts)
    assert fly(node) == status
    node.close()


@pytest.mark.parametrize("answer", [ok() + b"more", ok() + ok()], ids=["more than promised", "twice"])
def test_connection_with_unread_bytes_is_not_reused(answer):
    node = Node(answer)
    pool = Pool(node.at, 4, 1000.0, 200.0)
    assert fly(node, pool=pool) == i.SUCCEEDED
    host.sleep(10)
    assert fly(node, pool=pool) == i.SUCCEEDED and len(node.streams) == 2
    node.close()


def test_idle_connection_closed_by_the_node_is_not_used():
    node = Node([ok(), "close"], ok())
    pool = Pool(node.at, 4, 1000.0, 200.0)
    assert fly(node, pool=pool) == i.SUCCEEDED
    host.sleep(10)
    assert fly(node, pool=pool) == i.SUCCEEDED  # on a new connection: no byte was sent on the closed one
    assert len(node.seen) == 2 and len(node.streams) == 2
    node.close()


class BreakingStream:
    """A stream whose send fails after `sent` bytes, which a real socket cannot be made to do reliably."""

    open = True

    def __init__(self, sent):
        self.max_sent = sent

    def send_or(self, once, data, limit=None):
        self.sent = min(self.max_sent, len(data))
        raise ConnectionResetError()

    def recv_or(self, once, size, limit=None):
        raise ConnectionResetError()

    def close(self):
        self.open = False


@pytest.mark.parametrize("sent, status", [(0, i.UNCONNECTED), (1, i.RESET)])
def test_after_one_byte_the_dispatch_may_have_run(sent, status):
    flight = Flight("x", None, 100.0, invocation.Reply(1 << 20))
    assert flight.exchange(BreakingStream(sent), codec.request(b"/debit", b"x", [], b"body"))[0] == status


def test_answer_before_the_request_is_whole():
    listener = host.Listener("127.0.0.1:0")

    def answer_early(stream):
        stream.recv(100, 1000)
        stream.send(FULL, 1000)
        host.sleep(300)

    host.spawn(host.serve, listener, answer_early, None)
    assert Flight(listener.where, lambda left: BIG, 200.0, invocation.Reply(1 << 20)).run(
        Pool(listener.where, 4, 1e3, 200.0)
    )[0] in (i.TIMEOUT, i.FULL)
    listener.close()


def test_node_that_accepts_and_never_reads():
    listener = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, listener, lambda stream: host.sleep(2000), None)
    assert (
        Flight(listener.where, lambda left: BIG, 100.0, invocation.Reply(1 << 20)).run(
            Pool(listener.where, 4, 1e3, 200.0)
        )[0]
        == i.TIMEOUT
    )
    listener.close()


def test_cancel_closes_the_connection():
    node = Node("silent")
    assert fly(node, limit=5000.0, stop_after=30) == i.CANCELLED
    node.close()


def test_pool_is_bounded_and_nothing_leaks():
    node = Node([50, ok()])
    pool = Pool(node.at, 2, 1000.0, 200.0)
    flights = [host.spawn(fly, node, None, 300.0, pool) for _ in range(4)]
    host.join(flights, 2000)
    assert sorted(f.value for f in flights) == [i.MOOT] * 2 + [i.SUCCEEDED] * 2
    assert (pool.in_use, len(pool.idle)) == (0, 2)
    pool.close_idle()
    assert not pool.idle
    node.close()


def test_pool_survives_refusals():
    pool = Pool("127.0.0.1:1", 2, 1000.0, 200.0)
    for _ in range(5):
        with pytest.raises(host.Refused):
            pool.acquire(100)
    assert pool.in_use == 0


def test_pools_drop_nodes_that_are_no_longer_listed():
    pools = Pools(4, 0.0, 200.0)
    pools.pool_for("127.0.0.1:1")
    pools.sweep({})
    assert not pools.by_address


# ---- the whole proxy ----


def test_three_answers(make_rig):
    rig = make_rig(Node(ok(b"bread", build="3")))
    status, kind, reader = rig.ask(body=b"abc", traceparent="00-1")
    assert (status, kind, reader.body, codec.header(reader.headers, b"build")) == (
        200,
        "succeeded",
        b"bread",
        b"3",
    )
    _, path, headers, body, _ = rig.nodes[0].seen[0]
    assert (path, body, codec.header(headers, b"traceparent")) == (b"/read", b"abc", b"00-1")
    rig.nodes[0].acts = [FULL]
    status, kind, reader = rig.ask("debit")
    assert (status, kind) == (429, "throttled") and int(codec.header(reader.headers, b"retry-after")) >= 1
    rig.nodes[0].acts = ["reset"]
    assert rig.ask("debit")[:2] == (502, "terminated")
    rig.nodes[0].acts = ["silent"]
    assert rig.ask("debit", patience=200)[:2] == (504, "terminated")


def test_side_effecting_is_sent_once(make_rig):
    rig = make_rig(Node("reset"), Node("reset"))
    for _ in range(6):
        assert rig.ask("debit")[1] == "terminated"
    assert sum(len(n.seen) for n in rig.nodes) == 6


def test_dispatch_refused_by_a_node_goes_to_another(make_rig):
    rig = make_rig(Node(FULL), Node(ok()))
    for _ in range(6):
        assert rig.ask("debit")[1] == "succeeded"


def test_late_answer_and_answer_after_cancel_are_dropped(make_rig):
    rig = make_rig(Node([250, ok(b"late")]))
    stream = host.connect(rig.at, 1000)
    assert rig.ask("debit", patience=120, stream=stream)[1] == "terminated"
    host.sleep(300)
    assert not stream.waiting(), "bytes arrived after the final answer"
    rig.nodes[0].acts = [ok(b"next")]
    assert rig.ask("read", stream=stream)[2].body == b"next"


def test_copy_of_a_stuck_invocation_wins_and_the_other_is_cancelled(make_rig):
    rig = make_rig(Node("silent"), Node(ok(b"quick")))
    for _ in range(8):
        assert rig.ask("read")[2].body == b"quick"
    rig.until(lambda: rig.nodes[0].ended == len(rig.nodes[0].seen) and not rig.proxy.rounds.held)
    assert not rig.proxy.rounds.flights


def test_client_that_leaves_is_forgotten(make_rig):
    rig = make_rig(Node("silent"))
    stream = host.connect(rig.at, 1000)
    stream.send(codec.request(b"/read", b"x", [], b""), 1000)
    rig.until(lambda: rig.nodes[0].seen)
    stream.close()
    rig.until(lambda: not rig.proxy.rounds.held and not rig.proxy.rounds.flights)
    assert rig.ask("read", patience=100)[1] in ("throttled", "terminated")


@pytest.mark.parametrize(
    "raw, status",
    [
        (b"GET /read HTTP/1.1\r\nhost: x\r\n\r\n", 405),
        (b"POST /nothing HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n", 404),
        (b"POST /read HTTP/1.1\r\ncontent-length: 0\r\n\r\n", 400),
        (b"POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n", 400),
        (b"POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n", 400),
        (b"POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: -5\r\n\r\n", 400),
        (b"POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999999999999999999\r\n\r\n", 400),
        (b"POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 9999999\r\n\r\n", 413),
        (b"POST /read HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"POST /read HTTP/1.1\r\nhost: x\r\nbig: " + b"x" * (1 << 20), 431),
        (b"POST /" + b"x" * (1 << 20), 431),
        (b"POST /read HTTP/1.1\r\nhost: x\r\nexpect: miracles\r\ncontent-length: 0\r\n\r\n", 417),
        (b"POST /read HTTP/1.1\r\nhost: x\r\nupgrade: h2c\r\nconnection: upgrade\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00", 400),
        (b"hello\r\n\r\n", 400),
        *(
            (
                b"POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\ngannet-patience-ms: %s\r\n\r\n" % p,
                400,
            )
            for p in (b"0", b"-1", b"NaN", b"soon", b"-inf")
        ),
        (
            b"POST /read HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nidempotency-key: "
            + b"k" * 300
            + b"\r\n\r\n",
            400,
        ),
    ],
    ids=lambda x: x[:60].decode("latin-1") if isinstance(x, bytes) else str(x),
)
def test_bad_requests_get_a_clear_answer(make_rig, raw, status):
    rig = make_rig(Node())
    try:
        got, kind, reader = rig.raw(raw)
    except ConnectionError:
        pytest.fail("reset before its answer was read")
    assert (got, kind) == (status, None) and reader.body.strip() and not rig.nodes[0].seen


def test_patience_is_limited_to_the_time_limit_of_the_operation(make_rig):
    rig = make_rig(Node("silent"))
    started_at = host.now()
    assert rig.ask("debit", patience="1e300")[1] == "terminated"
    assert host.now() - started_at < 1500


def test_slow_request_times_out(make_rig):
    rig = make_rig(Node(), read_limit=150)
    stream = host.connect(rig.at, 1000)
    for byte in b"POST /read":
        try:
            stream.send(bytes([byte]), 100)
        except OSError:
            break
        host.sleep(30)
    assert rig.read(stream)[0] == 408


def test_pipelined_requests_are_served_in_order(make_rig):
    rig = make_rig(Node(*[[30 - 10 * n, ok(b"%d" % n)] for n in range(3)]))
    stream = host.connect(rig.at, 1000)
    stream.send(b"".join(codec.request(b"/read", b"x", [], b"%d" % n) for n in range(3)), 1000)
    answers, data = b"", b""
    while answers.count(b"HTTP/1.1 200") < 3:
        data = stream.recv(65536, 2000)
        assert data
        answers += data
    assert [r[3] for r in rig.nodes[0].seen] == [b"0", b"1", b"2"]
    assert answers.index(b"\r\n\r\n0") < answers.index(b"\r\n\r\n1") < answers.index(b"\r\n\r\n2")


def test_many_large_bodies_on_one_connection(make_rig):
    rig = make_rig(Node())
    stream = host.connect(rig.at, 1000)
    for _ in range(4):
        assert rig.ask(body=b"x" * 200000, stream=stream)[1] == "succeeded"


def test_expect_continue_and_chunks(make_rig):
    rig = make_rig(Node())
    stream = host.connect(rig.at, 1000)
    stream.send(
        b"POST /read HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n", 1000
    )
    assert stream.recv(100, 1000).startswith(b"HTTP/1.1 100")
    stream.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 1000)
    assert rig.read(stream)[1] == "succeeded" and rig.nodes[0].seen[0][3] == b"abcde"


def test_standard_library_client(make_rig):
    rig = make_rig(Node(ok(b"bread")))

    def exchange():
        connection = http.client.HTTPConnection(*rig.at.split(":"), timeout=5)
        connection.request("POST", "/read", body=b"x", headers={"Gannet-Patience-Ms": "500"})
        first = connection.getresponse()
        body = first.read()
        connection.request("GET", "/-/ready")
        second = connection.getresponse()
        return first.status, first.headers["gannet-answer"], body, second.status, second.read()

    import gevent

    assert gevent.get_hub().threadpool.apply(exchange) == (200, "succeeded", b"bread", 200, b"ready\n")


def test_metrics_and_unknown_internal_pages(make_rig):
    rig = make_rig(Node())
    rig.ask()
    status, _, reader = rig.raw(b"GET /-/metrics HTTP/1.1\r\nhost: x\r\n\r\n")
    assert (
        status == 200 and b'gannet_invocations_total{answer="succeeded",operation="read"} 1.0' in reader.body
    )
    assert rig.raw(b"GET /-/x HTTP/1.1\r\nhost: x\r\n\r\n")[0] == 404


def test_invocation_past_the_held_limit_is_throttled(make_rig):
    rig = make_rig(Node("silent"), most_held=2)
    streams = [host.connect(rig.at, 1000) for _ in range(2)]
    for stream in streams:
        stream.send(codec.request(b"/debit", b"x", [], b""), 1000)
    rig.until(lambda: len(rig.proxy.rounds.held) == 2)
    assert rig.ask("debit")[:2] == (429, "throttled")


def test_node_drained_during_a_dispatch(make_rig):
    rig = make_rig(Node([150, ok(b"old")]), Node(ok(b"new")), listed=False)
    rig.list(rig.nodes[0])
    host.sleep(30)
    stream = host.connect(rig.at, 1000)
    stream.send(codec.request(b"/debit", b"x", [], b""), 1000)
    rig.until(lambda: rig.nodes[0].seen)
    rig.list(rig.nodes[1])
    rig.list(rig.nodes[0], c.DRAINING)
    host.sleep(30)
    for _ in range(5):
        assert rig.ask("debit")[2].body == b"new"
    assert rig.read(stream)[2].body == b"old"  # the dispatch that it had begun is completed


def test_node_back_under_its_address_with_another_build(make_rig):
    rig = make_rig(Node(ok()))
    rig.list(rig.nodes[0], c.GONE)
    host.sleep(20)
    rig.list(rig.nodes[0], build=2, incarnation=2, age=100.0)
    rig.until(lambda: rig.proxy.rounds.balancer.servers[rig.nodes[0].at].build == 2)
    assert rig.proxy.node_list.nodes[rig.nodes[0].at][1] == 2


def test_link_resumes_after_missed_changes(make_rig):
    rig = make_rig(Node(ok(b"one")), Node(ok(b"two")), listed=False)
    rig.list(rig.nodes[0])
    host.sleep(30)
    rig.controller.blocked_proxies.add("0")
    rig.controller.links["0"].stream.reset()
    rig.until(lambda: not rig.proxy.link.up)
    rig.list(rig.nodes[1])
    rig.list(rig.nodes[0], c.GONE)
    assert rig.ask()[2].body == b"one"  # served from the last list while the link is down
    rig.controller.blocked_proxies.clear()
    rig.until(lambda: rig.proxy.node_list.revision == rig.controller.revision)
    assert [h[0] for h in rig.controller.history] == [1, 2, 3]
    host.sleep(20)
    assert rig.ask()[2].body == b"two" and rig.log.said("proxy here")[-1]["missed"] == 2


def test_list_of_a_restarted_controller_replaces_the_persisted_one(make_rig, tmp_path):
    rig = make_rig(Node(ok(b"old")))
    rig.until(lambda: (tmp_path / "kept").exists() and not rig.proxy.file.unwritten)
    rig.close()
    restarted = make_rig(Node(ok(b"new")))  # another list under the same revision as the one on disk
    assert restarted.ask()[2].body == b"new"


def test_whole_list_is_sent_once_the_history_is_gone(make_rig):
    rig = make_rig(Node())
    rig.controller.history_size = 2
    rig.controller.blocked_proxies.add("0")
    rig.controller.links["0"].stream.reset()
    rig.until(lambda: not rig.proxy.link.up)
    for n in range(5):
        rig.list(rig.nodes[0], incarnation=n + 2, age=1.0)
    rig.controller.blocked_proxies.clear()
    rig.until(lambda: rig.proxy.node_list.revision == rig.controller.revision)
    assert rig.log.said("proxy here")[-1]["resumed"] is False


@pytest.mark.parametrize(
    "garbage",
    [b"\xff" * 64, b"\x00\x00\x00\x05hello", b"\x00\x00\x00\x00", b"\x00\x00"],
    ids=["oversized", "no frame", "empty", "truncated"],
)
def test_garbage_from_control_drops_the_link_only(make_rig, garbage):
    rig = make_rig(Node())
    received = []

    def send_garbage(stream):
        received.append(stream.recv(100, 1000))
        stream.send(garbage, 1000)

    listener = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, listener, send_garbage, None)
    rig.proxy.link.to = [listener.where]
    rig.controller.links["0"].stream.reset()
    rig.until(lambda: len(received) >= 2, 6000)  # the proxy reconnected after the first
    assert rig.ask()[1] == "succeeded"
    if garbage[:1] == b"\xff" or len(garbage) > 4:
        assert rig.log.said("control sent garbage")
    listener.close()


def test_restart_without_the_controller_serves_from_the_persisted_list(make_rig):
    rig = make_rig(Node(ok(b"kept")))
    rig.until(lambda: (rig.path / "kept").exists() and not rig.proxy.file.unwritten)
    for greenlet in rig.proxy.greenlets:
        host.stop(greenlet)
    rig.proxy.listener.close()
    rig.controller.listener.close()
    from gannetfront.config import load, schema_pb2 as schema
    from gannetfront.proxy.proxy import Proxy

    restarted = Proxy(
        rig.facts,
        load.parse(schema.Proxy, f'control: "127.0.0.1:1" state_file: "{rig.path / "kept"}"', "p"),
        rig.log,
    )
    restarted.start()
    rig.at = restarted.listener.where
    assert rig.ask()[2].body == b"kept"
    for greenlet in restarted.greenlets:
        host.stop(greenlet)


def test_damaged_list_file_is_ignored(make_rig):
    rig = make_rig(Node())
    data = rig.proxy.node_list.pack(host.now())
    for cut in (0, 5, 20, len(data) - 1):
        fresh = type(rig.proxy.node_list)()
        assert not fresh.unpack(data[:cut], host.now()) and not fresh.nodes
    fresh = type(rig.proxy.node_list)()
    assert fresh.unpack(data, host.now()) and list(fresh.nodes) == [rig.nodes[0].at]


def test_vote_without_an_answer_or_a_link_is_reported(make_rig):
    rig = make_rig(Node())
    events = []
    rig.proxy.link.put_event = lambda *event: events.append(event)
    rig.proxy.link.vote(0, 1, i.ROLL_BACK)
    rig.until(lambda: events)
    assert events[0][1] and events[0][5] == i.MOOT  # build 1 is the fleet's first: it can't be rolled back
    rig.proxy.link.up = False
    rig.proxy.link.vote(0, 1, i.ROLL_BACK)
    assert events[1][5] == i.ERROR


def test_error_in_the_balancer_answers_every_invocation(make_rig):
    rig = make_rig(Node([80, ok()]))
    stream = host.connect(rig.at, 1000)
    stream.send(codec.request(b"/debit", b"x", [], b""), 1000)
    rig.until(lambda: rig.nodes[0].seen)
    rig.proxy.rounds.put_event("no_such_event")
    assert rig.read(stream)[1] == "terminated" and rig.log.said("decisions failed")
    host.sleep(150)
    assert rig.ask()[1] == "succeeded"


def test_graceful_stop_answers_what_it_holds(make_rig):
    rig = make_rig(Node([100, ok(b"held")]))
    stream, idle = host.connect(rig.at, 1000), host.connect(rig.at, 1000)
    stream.send(codec.request(b"/debit", b"x", [], b""), 1000)
    rig.until(lambda: rig.nodes[0].seen)
    stop = host.spawn(rig.proxy.stop)
    host.sleep(20)
    with pytest.raises((host.Refused, OSError)):
        host.connect(rig.at, 100)
    assert rig.read(stream)[2].body == b"held"
    host.join([stop], 3000)
    assert rig.proxy.done.ready() and idle.recv(10, 1000) == b""


def test_listener_recovers_from_running_out_of_descriptors():
    class StarvedListener:
        fails, node = 3, host.Listener("127.0.0.1:0")

        def accept(self):
            if self.fails:
                self.fails -= 1
                raise OSError(24, "Too many open files")
            return self.node.accept()

    log, starved_listener = Log(), StarvedListener()
    host.spawn(host.serve, starved_listener, lambda stream: stream.send(b"x", 100), log)
    assert host.connect(starved_listener.node.where, 1000).recv(1, 2000) == b"x"
    assert len(log.said("accept failed")) == 3
    starved_listener.node.close()


def test_proxies_share_the_ramp_of_a_cold_node(make_rig, tmp_path):
    rig = make_rig(Node(), Node(), listed=False, fleet=FLEET.replace("drain_grace", "proxies: 2 drain_grace"))
    rig.list(rig.nodes[0])
    rig.list(rig.nodes[1], age=10.0)
    host.sleep(30)
    for _ in range(60):
        rig.ask()
    assert len(rig.nodes[1].seen) < 25


def test_frames_before_any_hello_are_refused(make_rig):
    rig = make_rig(Node())
    stream = host.connect(rig.control, 1000)
    stream.send(frames.pack(vote=c.Vote(number=1)), 1000)
    got = stream.recv(100, 2000)
    assert got == b"" and rig.log.said("link sent garbage")


assert not monkey.saved, "gevent must not patch the standard library's sockets"
