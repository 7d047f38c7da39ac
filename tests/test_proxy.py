"""The real proxy against scripted nodes and clients: each hard case is caused, then looked at from outside."""

import http.client

import pytest
from gevent import monkey

from gannetfront import host, interface as i
from gannetfront.proxy.flights import Flight
from gannetfront.proxy.pools import Pool, Pools
from gannetfront.wire import control_pb2 as c, frames, http as codec, invocation
from rig import FLEET, FULL, Log, Node, Rig, ok


@pytest.fixture
def rig(tmp_path):
    made = []

    def make(*nodes, **facts):
        made.append(Rig(tmp_path, *nodes, **facts))
        return made[-1]

    yield make
    for one in made:
        one.close()


def fly(node, data=None, limit=300.0, pool=None, stop_after=None):
    flight = Flight(
        node.at, lambda left: data or codec.request(b"/read", b"x", [], b""), limit, invocation.Reply(1 << 20)
    )
    if stop_after is not None:
        host.later(stop_after, flight.stop.set)
    return flight.fly(pool or Pool(node.at, 4, 1000.0, 200.0))[0]


# ---- what each thing on a node's socket proves ----

BIG = codec.request(b"/read", b"x", [], b"x" * (8 << 20))


@pytest.mark.parametrize(
    "acts, status",
    [
        ([ok()], i.SUCCEEDED),
        ([FULL], i.FULL),
        ([codec.answer(500, [], b"")], i.ERROR),
        ([codec.answer(503, [], b"")], i.ERROR),  # no word that it was unseen: it may have run
        ([codec.answer(404, [], b"")], i.SUCCEEDED),  # the service's own answer
        (["reset"], i.RESET),
        (["close"], i.RESET),
        (["silent"], i.TIMEOUT),
        ([[ok()[:-2], "reset"]], i.RESET),  # half an answer
        ([[b"HTTP/1.1 100 Continue\r\n\r\n", ok()]], i.SUCCEEDED),
        ([b"nonsense\r\n\r\n"], i.RESET),
        ([b"HTTP/1.1 200 OK\r\n\r\n"], i.TIMEOUT),
        ([[b"HTTP/1.1 200 OK\r\n\r\nto the end", "close"]], i.SUCCEEDED),
        ([[ok(b"x" * (2 << 20))]], i.RESET),  # past the answer limit
    ],
    ids=str,
)
def test_outcomes(acts, status):
    node = Node(*acts)
    assert fly(node) == status
    node.close()


@pytest.mark.parametrize("answer", [ok() + b"more", ok() + ok()], ids=["more than promised", "twice"])
def test_connection_with_more_on_it_is_not_used_again(answer):
    node = Node(answer)
    pool = Pool(node.at, 4, 1000.0, 200.0)
    assert fly(node, pool=pool) == i.SUCCEEDED
    host.sleep(10)
    assert fly(node, pool=pool) == i.SUCCEEDED and len(node.streams) == 2
    node.close()


def test_kept_connection_closed_by_the_node_carries_nothing():
    node = Node([ok(), "close"], ok())
    pool = Pool(node.at, 4, 1000.0, 200.0)
    assert fly(node, pool=pool) == i.SUCCEEDED
    host.sleep(10)
    assert fly(node, pool=pool) == i.SUCCEEDED  # on a fresh one: no byte had left for the first
    assert len(node.seen) == 2 and len(node.streams) == 2
    node.close()


class Breaks:
    """A stream whose send fails after `sent` bytes: what no timing on a socket gives for sure."""

    open = True

    def __init__(self, sent):
        self.allow = sent

    def send_or(self, once, data, limit=None):
        self.sent = min(self.allow, len(data))
        raise ConnectionResetError()

    def recv_or(self, once, size, limit=None):
        raise ConnectionResetError()

    def close(self):
        self.open = False


@pytest.mark.parametrize("sent, status", [(0, i.UNCONNECTED), (1, i.RESET)])
def test_one_byte_out_may_have_run(sent, status):
    flight = Flight("x", None, 100.0, invocation.Reply(1 << 20))
    assert flight.exchange(Breaks(sent), codec.request(b"/debit", b"x", [], b"body"))[0] == status


def test_answer_before_the_request_is_whole():
    listener = host.Listener("127.0.0.1:0")

    def early(stream):
        stream.recv(100, 1000)
        stream.send(FULL, 1000)
        host.sleep(300)

    host.spawn(host.serve, listener, early, None)
    assert Flight(listener.where, lambda left: BIG, 200.0, invocation.Reply(1 << 20)).fly(
        Pool(listener.where, 4, 1e3, 200.0)
    )[0] in (i.TIMEOUT, i.FULL)
    listener.close()


def test_node_that_accepts_and_never_reads():
    listener = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, listener, lambda stream: host.sleep(2000), None)
    assert (
        Flight(listener.where, lambda left: BIG, 100.0, invocation.Reply(1 << 20)).fly(
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
    assert (pool.out, len(pool.idle)) == (0, 2)
    pool.close_idle()
    assert not pool.idle
    node.close()


def test_pool_survives_refusals():
    pool = Pool("127.0.0.1:1", 2, 1000.0, 200.0)
    for _ in range(5):
        with pytest.raises(host.Refused):
            pool.take(100)
    assert pool.out == 0


def test_pools_forget_what_is_no_longer_listed():
    pools = Pools(4, 0.0, 200.0)
    pools.of("127.0.0.1:1")
    pools.sweep({})
    assert not pools.by_addr


# ---- through the whole proxy ----


def test_three_answers(rig):
    one = rig(Node(ok(b"bread", build="3")))
    status, kind, reader = one.ask(body=b"abc", traceparent="00-1")
    assert (status, kind, reader.body, codec.header(reader.headers, b"build")) == (
        200,
        "succeeded",
        b"bread",
        b"3",
    )
    _, path, headers, body, _ = one.nodes[0].seen[0]
    assert (path, body, codec.header(headers, b"traceparent")) == (b"/read", b"abc", b"00-1")
    one.nodes[0].acts = [FULL]
    status, kind, reader = one.ask("debit")
    assert (status, kind) == (429, "throttled") and int(codec.header(reader.headers, b"retry-after")) >= 1
    one.nodes[0].acts = ["reset"]
    assert one.ask("debit")[:2] == (502, "terminated")
    one.nodes[0].acts = ["silent"]
    assert one.ask("debit", patience=200)[:2] == (504, "terminated")


def test_side_effecting_is_sent_once_whatever_comes(rig):
    one = rig(Node("reset"), Node("reset"))
    for _ in range(6):
        assert one.ask("debit")[1] == "terminated"
    assert sum(len(n.seen) for n in one.nodes) == 6


def test_refused_unseen_goes_elsewhere(rig):
    one = rig(Node(FULL), Node(ok()))
    for _ in range(6):
        assert one.ask("debit")[1] == "succeeded"


def test_late_answer_and_answer_after_cancel_are_dropped(rig):
    one = rig(Node([250, ok(b"late")]))
    stream = host.connect(one.at, 1000)
    assert one.ask("debit", patience=120, stream=stream)[1] == "terminated"
    host.sleep(300)
    assert not stream.waiting(), "something came after the final answer"
    one.nodes[0].acts = [ok(b"next")]
    assert one.ask("read", stream=stream)[2].body == b"next"


def test_copy_of_a_stuck_invocation_wins_and_the_loser_is_called_off(rig):
    one = rig(Node("silent"), Node(ok(b"quick")))
    for _ in range(8):
        assert one.ask("read")[2].body == b"quick"
    one.until(lambda: one.nodes[0].ended == len(one.nodes[0].seen) and not one.proxy.rounds.held)
    assert not one.proxy.rounds.flights


def test_client_that_leaves_is_forgotten(rig):
    one = rig(Node("silent"))
    stream = host.connect(one.at, 1000)
    stream.send(codec.request(b"/read", b"x", [], b""), 1000)
    one.until(lambda: one.nodes[0].seen)
    stream.close()
    one.until(lambda: not one.proxy.rounds.held and not one.proxy.rounds.flights)
    assert one.ask("read", patience=100)[1] in ("throttled", "terminated")


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
def test_bad_requests_get_a_clear_answer(rig, raw, status):
    one = rig(Node())
    try:
        got, kind, reader = one.raw(raw)
    except ConnectionError:
        pytest.fail("reset before its answer was read")
    assert (got, kind) == (status, None) and reader.body.strip() and not one.nodes[0].seen


def test_endless_patience_is_cut_to_the_operations(rig):
    one = rig(Node("silent"))
    begun = host.now()
    assert one.ask("debit", patience="1e300")[1] == "terminated"
    assert host.now() - begun < 1500


def test_a_byte_a_second_is_cut_off(rig):
    one = rig(Node(), read_limit=150)
    stream = host.connect(one.at, 1000)
    for byte in b"POST /read":
        try:
            stream.send(bytes([byte]), 100)
        except OSError:
            break
        host.sleep(30)
    assert one.read(stream)[0] == 408


def test_pipelined_requests_are_served_in_order(rig):
    one = rig(Node(*[[30 - 10 * n, ok(b"%d" % n)] for n in range(3)]))
    stream = host.connect(one.at, 1000)
    stream.send(b"".join(codec.request(b"/read", b"x", [], b"%d" % n) for n in range(3)), 1000)
    got, data = b"", b""
    while got.count(b"HTTP/1.1 200") < 3:
        data = stream.recv(65536, 2000)
        assert data
        got += data
    assert [r[3] for r in one.nodes[0].seen] == [b"0", b"1", b"2"]
    assert got.index(b"\r\n\r\n0") < got.index(b"\r\n\r\n1") < got.index(b"\r\n\r\n2")


def test_many_large_bodies_on_one_connection(rig):
    one = rig(Node())
    stream = host.connect(one.at, 1000)
    for _ in range(4):
        assert one.ask(body=b"x" * 200000, stream=stream)[1] == "succeeded"


def test_expect_continue_and_chunks(rig):
    one = rig(Node())
    stream = host.connect(one.at, 1000)
    stream.send(
        b"POST /read HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\ntransfer-encoding: chunked\r\n\r\n", 1000
    )
    assert stream.recv(100, 1000).startswith(b"HTTP/1.1 100")
    stream.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 1000)
    assert one.read(stream)[1] == "succeeded" and one.nodes[0].seen[0][3] == b"abcde"


def test_a_client_not_written_here(rig):
    one = rig(Node(ok(b"bread")))

    def talk():
        link = http.client.HTTPConnection(*one.at.split(":"), timeout=5)
        link.request("POST", "/read", body=b"x", headers={"Gannet-Patience-Ms": "500"})
        first = link.getresponse()
        body = first.read()
        link.request("GET", "/-/ready")
        second = link.getresponse()
        return first.status, first.headers["gannet-answer"], body, second.status, second.read()

    import gevent

    assert gevent.get_hub().threadpool.apply(talk) == (200, "succeeded", b"bread", 200, b"ready\n")


def test_metrics_and_unknown_inside_pages(rig):
    one = rig(Node())
    one.ask()
    status, _, reader = one.raw(b"GET /-/metrics HTTP/1.1\r\nhost: x\r\n\r\n")
    assert (
        status == 200 and b'gannet_invocations_total{answer="succeeded",operation="read"} 1.0' in reader.body
    )
    assert one.raw(b"GET /-/x HTTP/1.1\r\nhost: x\r\n\r\n")[0] == 404


def test_more_held_than_may_be_is_throttled_unseen(rig):
    one = rig(Node("silent"), most_held=2)
    streams = [host.connect(one.at, 1000) for _ in range(2)]
    for stream in streams:
        stream.send(codec.request(b"/debit", b"x", [], b""), 1000)
    one.until(lambda: len(one.proxy.rounds.held) == 2)
    assert one.ask("debit")[:2] == (429, "throttled")


def test_drain_told_in_the_middle_of_a_call(rig):
    one = rig(Node([150, ok(b"old")]), Node(ok(b"new")), listed=False)
    one.list(one.nodes[0])
    host.sleep(30)
    stream = host.connect(one.at, 1000)
    stream.send(codec.request(b"/debit", b"x", [], b""), 1000)
    one.until(lambda: one.nodes[0].seen)
    one.list(one.nodes[1])
    one.list(one.nodes[0], c.DRAINING)
    host.sleep(30)
    for _ in range(5):
        assert one.ask("debit")[2].body == b"new"
    assert one.read(stream)[2].body == b"old"  # what it had begun it ends


def test_node_back_under_its_address_with_another_build(rig):
    one = rig(Node(ok()))
    one.list(one.nodes[0], c.GONE)
    host.sleep(20)
    one.list(one.nodes[0], build=2, incarnation=2, age=100.0)
    one.until(lambda: one.proxy.rounds.balancer.servers[one.nodes[0].at].build == 2)
    assert one.proxy.kept.nodes[one.nodes[0].at][1] == 2


def test_link_cut_and_back_with_changes_missed(rig):
    one = rig(Node(ok(b"one")), Node(ok(b"two")), listed=False)
    one.list(one.nodes[0])
    host.sleep(30)
    one.controller.blocked_proxies.add("0")
    one.controller.links["0"].stream.reset()
    one.until(lambda: not one.proxy.link.up)
    one.list(one.nodes[1])
    one.list(one.nodes[0], c.GONE)
    assert one.ask()[2].body == b"one"  # served from the last list meanwhile
    one.controller.blocked_proxies.clear()
    one.until(lambda: one.proxy.kept.revision == one.controller.revision)
    assert [h[0] for h in one.controller.history] == [1, 2, 3]
    host.sleep(20)
    assert one.ask()[2].body == b"two" and one.log.said("proxy here")[-1]["missed"] == 2


def test_controller_restarted_with_another_list_is_believed(rig, tmp_path):
    one = rig(Node(ok(b"old")))
    one.until(lambda: (tmp_path / "kept").exists() and not one.proxy.file.behind)
    one.close()
    again = rig(Node(ok(b"new")))  # another list under the same revision, met with the kept one on disk
    assert again.ask()[2].body == b"new"


def test_history_gone_means_the_whole_list(rig):
    one = rig(Node())
    one.controller.history_size = 2
    one.controller.blocked_proxies.add("0")
    one.controller.links["0"].stream.reset()
    one.until(lambda: not one.proxy.link.up)
    for n in range(5):
        one.list(one.nodes[0], incarnation=n + 2, age=1.0)
    one.controller.blocked_proxies.clear()
    one.until(lambda: one.proxy.kept.revision == one.controller.revision)
    assert one.log.said("proxy here")[-1]["resumed"] is False


@pytest.mark.parametrize(
    "garbage",
    [b"\xff" * 64, b"\x00\x00\x00\x05hello", b"\x00\x00\x00\x00", b"\x00\x00"],
    ids=["oversized", "no frame", "empty", "truncated"],
)
def test_garbage_from_control_drops_the_link_only(rig, garbage):
    one = rig(Node())
    sent = []

    def bad(stream):
        sent.append(stream.recv(100, 1000))
        stream.send(garbage, 1000)

    listener = host.Listener("127.0.0.1:0")
    host.spawn(host.serve, listener, bad, None)
    one.proxy.link.to = [listener.where]
    one.controller.links["0"].stream.reset()
    one.until(lambda: len(sent) >= 2, 6000)  # it came back after the first
    assert one.ask()[1] == "succeeded"
    if garbage[:1] == b"\xff" or len(garbage) > 4:
        assert one.log.said("control sent garbage")
    listener.close()


def test_restart_without_the_controller_serves_from_the_kept_list(rig):
    one = rig(Node(ok(b"kept")))
    one.until(lambda: (one.path / "kept").exists() and not one.proxy.file.behind)
    for greenlet in one.proxy.greenlets:
        host.stop(greenlet)
    one.proxy.listener.close()
    one.controller.listener.close()
    from gannetfront.config import load, schema_pb2 as schema
    from gannetfront.proxy.proxy import Proxy

    again = Proxy(
        one.facts,
        load.parse(schema.Proxy, f'control: "127.0.0.1:1" state_file: "{one.path / "kept"}"', "p"),
        one.log,
    )
    again.start()
    one.at = again.listener.where
    assert one.ask()[2].body == b"kept"
    for greenlet in again.greenlets:
        host.stop(greenlet)


def test_torn_kept_list_is_no_list(rig):
    one = rig(Node())
    data = one.proxy.kept.pack(host.now())
    for cut in (0, 5, 20, len(data) - 1):
        fresh = type(one.proxy.kept)()
        assert not fresh.unpack(data[:cut], host.now()) and not fresh.nodes
    fresh = type(one.proxy.kept)()
    assert fresh.unpack(data, host.now()) and list(fresh.nodes) == [one.nodes[0].at]


def test_vote_without_an_answer_or_a_link_is_told_as_such(rig):
    one = rig(Node())
    told = []
    one.proxy.link.tell = lambda *event: told.append(event)
    one.proxy.link.vote(0, 1, i.BACK)
    one.until(lambda: told)
    assert told[0][1] and told[0][5] == i.MOOT  # build 1 is the fleet's first: nothing to take back
    one.proxy.link.up = False
    one.proxy.link.vote(0, 1, i.BACK)
    assert told[1][5] == i.ERROR


def test_fault_in_the_decisions_loses_nothing(rig):
    one = rig(Node([80, ok()]))
    stream = host.connect(one.at, 1000)
    stream.send(codec.request(b"/debit", b"x", [], b""), 1000)
    one.until(lambda: one.nodes[0].seen)
    one.proxy.rounds.tell("no_such_event")
    assert one.read(stream)[1] == "terminated" and one.log.said("decisions failed")
    host.sleep(150)
    assert one.ask()[1] == "succeeded"


def test_graceful_stop_answers_what_it_holds(rig):
    one = rig(Node([100, ok(b"held")]))
    stream, idle = host.connect(one.at, 1000), host.connect(one.at, 1000)
    stream.send(codec.request(b"/debit", b"x", [], b""), 1000)
    one.until(lambda: one.nodes[0].seen)
    stop = host.spawn(one.proxy.stop)
    host.sleep(20)
    with pytest.raises((host.Refused, OSError)):
        host.connect(one.at, 100)
    assert one.read(stream)[2].body == b"held"
    host.join([stop], 3000)
    assert one.proxy.done.ready() and idle.recv(10, 1000) == b""


def test_out_of_descriptors_the_listener_pauses_and_goes_on():
    class Starved:
        fails, node = 3, host.Listener("127.0.0.1:0")

        def accept(self):
            if self.fails:
                self.fails -= 1
                raise OSError(24, "Too many open files")
            return self.node.accept()

    log, starved = Log(), Starved()
    host.spawn(host.serve, starved, lambda stream: stream.send(b"x", 100), log)
    assert host.connect(starved.node.where, 1000).recv(1, 2000) == b"x"
    assert len(log.said("accept failed")) == 3
    starved.node.close()


def test_two_proxies_told_of_a_cold_node_share_its_ramp(rig, tmp_path):
    one = rig(Node(), Node(), listed=False, fleet=FLEET.replace("drain_grace", "proxies: 2 drain_grace"))
    one.list(one.nodes[0])
    one.list(one.nodes[1], age=10.0)
    host.sleep(30)
    for _ in range(60):
        one.ask()
    assert len(one.nodes[1].seen) < 25


def test_frames_before_any_hello_are_refused(rig):
    one = rig(Node())
    stream = host.connect(one.control, 1000)
    stream.send(frames.pack(vote=c.Vote(number=1)), 1000)
    got = stream.recv(100, 2000)
    assert got == b"" and one.log.said("link sent garbage")


assert not monkey.saved, "nothing is patched: sockets of the standard library stay as they are"
