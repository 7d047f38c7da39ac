"""The platform's protocols, and the proxy on it against stand-ins: each case is caused, then looked at from outside."""

import json
import os
import signal
import subprocess
import sys
from struct import pack

import psycopg2
import pytest
from gevent import get_hub
from hypothesis import given, strategies as st

from gannetfront import host, interface as i
from gannetfront.edge import budget, config
from gannetfront.edge.api import ReleaseApi
from gannetfront.proxy.flights import Flight
from gannetfront.proxy.keeping import IdleTimeEstimator
from gannetfront.proxy.pools import Pool
from gannetfront.wire import BadAnswer, http, pg, platform
from edge_rig import (
    NEWS,
    SETTINGS,
    Client,
    EdgeRig,
    PgNode,
    fields,
    insert,
    row,
    said,
    select,
    verdict,
    vote_ok,
)
from rig import Log
from test_codecs import FEW_EXAMPLES, split_at

OPS = {b"look": (0, False), b"place": (1, True), b"debit": (2, False)}
CUTS = st.lists(st.integers(0, 400), max_size=10)


@pytest.fixture
def rig(tmp_path):
    made = []

    def make(*nodes, **facts):
        made.append(EdgeRig(tmp_path, *nodes, **facts))
        return made[-1]

    yield make
    for one in made:
        one.close()


# ---- codecs ----


def test_a_statement_goes_on_byte_for_byte_but_for_its_time():
    sql = insert("9b1f03aa", d="480.5")
    op, uid, ident, left, again, content = pg.statement(sql, OPS)
    assert (op, uid, ident, left, again) == (1, "7f3a", b"9b1f03aa", 480.5, False)
    assert pg.dispatch(content, "s", b"", 0, 123.9)[5:-1] == sql.replace(b"d=480.5", b"d=123")
    assert pg.statement(select("1d", more=",r=1"), OPS)[4]
    # A 'd=' within another value is not the time.
    assert (
        pg.dispatch(
            pg.statement(b"SELECT val FROM state WHERE uid = 'd0' /* c=look,id=d1,d=9 */", OPS)[5],
            "s",
            b"",
            0,
            5,
        )[5:-1]
        == b"SELECT val FROM state WHERE uid = 'd0' /* c=look,id=d1,d=5 */"
    )


@pytest.mark.parametrize(
    "sql, word",
    [
        (b"SELECT 1", "statement"),
        (select("1") + b";", "statement"),
        (select("1", uid="x' OR 'a'='a"), "statement"),
        (select("1")[:-3], "statement"),
        (select("1", c="nosuch"), "nosuch"),
        (select("1", d="soon"), "d cannot"),
        (select("1", d="-5"), "d cannot"),
        (select("1", d="0"), "above 0"),
        (select("1", d="1e9e"), "d cannot"),
        (select("1", d="nan"), "d cannot"),
        (select(""), "id cannot"),
        (select("1").replace(b"id=1,", b""), "no id"),
        (select("1", more=",id=2"), "twice"),
        (select("1", more=",x=2"), "x=2"),
        (insert("1", more=""), "needs k"),
        (insert("1", c="debit"), "no k"),
        (insert("1").replace(b"9f03", b"9f0"), "statement"),
        (insert("1").replace(b"9f03", b"00" * 65537), "65536"),
    ],
    ids=lambda x: x[-70:] if isinstance(x, bytes) else x,
)
def test_statements_that_are_not_taken_say_why(sql, word):
    with pytest.raises(pg.BadMessage, match=word):
        pg.statement(sql, OPS)


@FEW_EXAMPLES
@given(CUTS)
def test_clients_are_read_the_same_however_they_are_cut(cuts):
    reader, got = pg.ClientReader(), []
    data = (
        pack("!II", 8, pg.TLS)
        + pg.startup(b"client", b"core")
        + pg.message(b"Q", b"one\0")
        + pg.message(b"Q", b"\0")
    )
    for piece in split_at(data + pg.message(b"X", b""), cuts):
        reader.feed(piece)
        while not got or got[-1] != ("end",):
            one = reader.take()
            if one is None:
                break
            got.append(one)
    assert got == [
        ("plain",),
        ("start", {b"user": b"client", b"database": b"core"}),
        ("query", b"one"),
        ("query", b""),
        ("end",),
    ]


@pytest.mark.parametrize(
    "data, started, code",
    [
        (pack("!I", 1 << 30), False, b"08P01"),
        (pack("!I", 4), False, b"08P01"),
        (pack("!II", 8, 131072), False, b"0A000"),
        (pack("!II", 16, pg.CANCEL), False, b"0A000"),
        (pack("!II", 14, pg.VERSION) + b"nouser", False, b"08P01"),
        (pack("!II", 8, pg.TLS) * 3, False, b"08P01"),
        (b"Q" + pack("!i", -1), True, b"08P01"),
        (b"Q" + pack("!I", 60 << 20), True, b"08P01"),
        (b"Q" + pack("!I", 3), True, b"08P01"),
        (b"P" + pack("!I", 8), True, b"0A000"),
        (b"\xff", True, b"08P01"),
        (pg.message(b"Q", b"a\0b\0"), True, b"08P01"),
        (pg.message(b"Q", b"a"), True, b"08P01"),
    ],
    ids=str,
)
def test_wrong_lengths_and_types_end_a_connection_at_once(data, started, code):
    reader = pg.ClientReader()
    reader.started = started
    reader.feed(data)
    with pytest.raises(pg.BadMessage) as bad:
        while reader.take():
            pass
    assert (bad.value.code, bad.value.fatal) == (code, True)


def reply(data, cuts=()):
    reader = pg.Reply(1 << 18)
    for piece in split_at(data, cuts):
        reader.feed(piece)
    return reader


@FEW_EXAMPLES
@given(st.binary(max_size=300), CUTS)
def test_answers_are_read_the_same_however_they_are_cut(value, cuts):
    reader = reply(pg.message(b"S", b"server_load\0inflight=7,util=0.5\0") + row(value), cuts)
    assert (reader.whole, reader.outcome(), reader.content(), reader.reusable) == (
        True,
        i.SUCCEEDED,
        (row(value, ready=False),),
        True,
    )
    assert reader.load() == {"inflight": 7.0, "busy": 0.5}


@FEW_EXAMPLES
@given(st.binary(max_size=400))
def test_any_bytes_are_read_or_refused(data):
    started = pg.ClientReader()
    started.started = True
    listing = platform.Listing(["a"], ["m2"])
    for read, wrong in (
        (lambda: pg.Reply(300).feed(data), BadAnswer),
        (lambda: pg.Greeting().feed(data), BadAnswer),
        (lambda: (started.feed(data), started.take()), pg.BadMessage),
        (lambda: listing.read(data), BadAnswer),
        (lambda: pg.statement(data, OPS), pg.BadMessage),
        (lambda: platform.Notices().feed(data), BadAnswer),
        (lambda: platform.vote_answer(200, data), BadAnswer),
    ):
        try:
            read()
        except wrong as trouble:
            assert str(trouble)


GOOD = row(b"value")


@FEW_EXAMPLES
@given(st.integers(0, len(GOOD) - 1), st.integers(0, 255))
def test_a_spoilt_byte_never_makes_two_values_of_one(at, byte):
    """Noise in the frame is refused or leaves it unfinished; within the value it cannot be told, and the value alone differs."""
    spoilt = GOOD[:at] + bytes([byte]) + GOOD[at + 1 :]
    try:
        reader = reply(spoilt)
    except BadAnswer:
        return
    if reader.whole:
        assert len(reader.content()[0]) == len(row(b"value", ready=False))


@pytest.mark.parametrize(
    "data",
    [
        b"\x99noise",
        b"D" + pack("!I", 3 << 30),
        GOOD[: GOOD.index(b"D")] + pg.message(b"D", b"\0\1\0\0\0"),
        b"T" + pack("!i", -4),
        GOOD.replace(b"SELECT 1", b"SELECT 2"),
        pg.READY,
        GOOD[GOOD.index(b"D") :],
        row(b"value").replace(pack("!I", 5) + b"value", pack("!I", 4) + b"value"),
        GOOD.replace(b"val\0", b"vax\0"),
        pg.message(b"E", b"C53300\0"),
        pg.message(b"E", b"Mno code\0\0"),
        GOOD[: GOOD.index(b"D")] + GOOD,
    ],
    ids=lambda d: repr(d[:30]),
)
def test_answers_that_are_none(data):
    with pytest.raises(BadAnswer):
        reply(data)


@pytest.mark.parametrize(
    "load", [b"inflight=x", b"inflight", b"inflight=-1", b"what=1", b"inflight=1,util=nan", b"\xff\xfe"]
)
def test_a_report_that_cannot_be_read_is_left_out_whole(load):
    reader = reply(pg.message(b"S", b"server_load\0" + load + b"\0") + GOOD)
    assert (reader.load(), reader.outcome(), reader.reusable) == ({}, i.SUCCEEDED, True)


@pytest.mark.parametrize(
    "status, body, meant",
    [
        (400, b"<Error><Code>limit</Code></Error>", i.FULL),
        (400, b"<Error><Code>moot</Code></Error>", i.MOOT),
        (400, b'<?xml version="1.0"?>\n<Response><Error><Code>moot</Code></Error></Response>', i.MOOT),
        (500, b"<Error><Code>error</Code></Error>", i.ERROR),
        (400, b"<Error><Code>malformed</Code></Error>", i.ERROR),
        (200, b"<Error><Code>moot</Code></Error>", i.TIMEOUT),
        (400, b"<Error><Code>what</Code></Error>", i.TIMEOUT),
        (200, b"<Response><groups><item><build>x", i.TIMEOUT),
        (200, b"noise", i.TIMEOUT),
        (200, b"", i.TIMEOUT),
        (200, b'<!DOCTYPE x [<!ENTITY a "a">]><Response/>', i.TIMEOUT),
    ],
    ids=str,
)
def test_what_a_vote_is_answered(status, body, meant):
    assert platform.vote_answer(status, body) == (meant, None)


def test_a_vote_that_counts_tells_the_state():
    body = vote_ok(42, 1, "Progressing", "0.28", "310").partition(b"\r\n\r\n")[2]
    assert platform.vote_answer(200, body) == (i.SUCCEEDED, (1, 310.0, 0.28, 42, 0))
    assert platform.vote_answer(200, body.replace(b"0.28", b"2.8"))[0] == i.TIMEOUT
    assert platform.vote(1, 42, 3) == b"Action=CastVote&build=42&stage=1&verdict=abort"


EVENTS = (
    b"event: news\ndata: build=42&stage=1&phase=Progressing&cap=0.28&age_ms=310\n\n:\n\n"
    b"event: counts\r\ndata: build=42&class=look&count=57&failed=2&mean_ms=18.5&age_ms=900\r\n\r\ndata\n\n"
)


@FEW_EXAMPLES
@given(CUTS, st.integers(1, 60))
def test_notices_are_read_the_same_however_they_are_cut(cuts, size):
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(c), c) for c in (EVENTS[n : n + size] for n in range(0, len(EVENTS), size))
    )
    reader, told = platform.Notices(), []
    for piece in split_at(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunks, cuts):
        told += reader.feed(piece)
    assert [event for event, _ in told] == ["news", "counts"] and reader.unread == 1
    assert platform.state(told[0][1]) == (1, 310.0, 0.28, 42, 0)
    assert platform.counts(told[1][1], {"look": 0}) == (57, 900.0, 2, 18.5, 0, 42)


def test_a_number_is_never_read_without_its_end():
    """Against a line past the limit that was cut and read as another number."""
    reader = platform.Notices()
    line = b"build=2&stage=0&phase=Progressing&age_ms=1&cap=0." + b"0" * 5000 + b"1"
    assert reader.feed(b"HTTP/1.1 200 OK\r\n\r\nevent: news\ndata: " + line + b"\n\n") == [("news", {})]
    assert reader.unread == 1


def test_a_line_that_does_not_end_ends_the_stream():
    reader = platform.Notices()
    with pytest.raises(BadAnswer):
        for _ in range(40):
            reader.feed(b"HTTP/1.1 200 OK\r\n\r\n" if not reader.good else b"x" * 1000)


@pytest.mark.parametrize(
    "field, value",
    [
        ("host", 5),
        ("dial", "here"),
        ("site", ["a"]),
        ("class", "z"),
        ("health", "fine"),
        ("share", float("nan")),
        ("born_ms", -1),
        ("revision_no", "1"),
        ("block", None),
    ],
)
def test_a_listing_with_one_wrong_field_is_dropped_whole(field, value):
    one = {
        "host": "s",
        "dial": "127.0.0.1:1",
        "site": "a",
        "class": "m2",
        "block": 0,
        "health": "up",
        "share": 1.0,
        "born_ms": 0,
        "revision_no": 1,
    }
    listing = platform.Listing(["a"], ["m2"])
    assert listing.read(json.dumps({"seq": 1, "whole": True, "hosts": [one]}))[0] == 1
    with pytest.raises(BadAnswer, match=field):
        listing.read(json.dumps({"seq": 1, "whole": True, "hosts": [one | {field: value}]}))


# ---- what each thing on a node's socket proves ----


def fly(node, limit=250.0, pool=None, size=0, stop_after=None):
    data = pg.message(b"Q", b"x" * size + b"\0")
    flight = Flight(node.at, lambda left: data, limit, pg.Reply(1 << 18))
    if stop_after:
        host.later(stop_after, flight.stop.set)
    return flight.run(pool or Pool(node.at, 4, 1000.0, 100.0, greeted))


def greeted(at, limit):
    from gannetfront.edge.edge import Edge

    edge = Edge.__new__(Edge)
    edge.discovery = type("D", (), {"address": staticmethod(lambda name: name)})
    return Edge.connect(edge, at, limit)


@pytest.mark.parametrize(
    "acts, status",
    [
        ([GOOD], i.SUCCEEDED),
        ([said(b"53300")], i.FULL),
        ([said(b"XX000")], i.ERROR),
        ([said(b"57P03")], i.ERROR),
        (["reset"], i.RESET),
        (["close"], i.RESET),
        (["silent"], i.TIMEOUT),
        ([[GOOD[:-9], "close"]], i.RESET),
        ([b"\0noise"], i.RESET),
        ([b"D" + pack("!I", 3 << 30) + b"x" * 1000], i.RESET),
        ([[GOOD[:40], "silent"]], i.TIMEOUT),
    ],
    ids=lambda x: str(x)[:60],
)
def test_outcomes(acts, status):
    node = PgNode(*acts)
    assert fly(node)[0] == status
    node.close()


@pytest.mark.parametrize(
    "greet, status",
    [
        (pg.error(b"53300", "too many", True), i.FULL),
        ("silent", i.UNCONNECTED),
        (b"\0\0\0", i.FULL),
        (pg.error(b"XX000", "no", True), i.FULL),
        (b"R" + pack("!II", 8, 3), i.FULL),
    ],
    ids=str,
)
def test_until_a_node_greets_nothing_ran(greet, status):
    node = PgNode(greets=[greet])
    assert (fly(node)[0], node.seen) == (status, [])
    node.close()


def test_a_node_begins_at_the_last_byte():
    """A broken or slow connection with the last byte still here proves that nothing ran."""
    listener = host.Listener("127.0.0.1:0")

    def deaf(stream):
        stream.recv(65536, 1000)
        stream.send(pg.WELCOME, 1000)
        host.sleep(2000)

    host.spawn(host.serve, listener, deaf, Log())
    listener.at = listener.where
    assert fly(listener, size=16 << 20)[0] == i.UNCONNECTED
    listener.close()


@pytest.mark.parametrize("more", [GOOD, b"noise"], ids=["second copy", "noise"])
def test_what_comes_behind_an_answer_is_no_answer(more):
    node = PgNode([GOOD + more])
    pool = Pool(node.at, 4, 1000.0, 100.0, greeted)
    assert [fly(node, pool=pool)[0] for _ in (0, 1)] == [i.SUCCEEDED] * 2
    assert len(node.streams) == 2 and not pool.idle
    node.close()


def test_a_reader_that_fails_still_gives_an_outcome(rig, monkeypatch):
    """Against a dispatch believed out for ever: its client would wait its whole time, its node look loaded."""
    one = rig(PgNode())
    monkeypatch.setattr(pg.Reply, "outcome", lambda self: 1 // 0)
    assert one.client().ask(select("01")) == "53300" and not one.edge.rounds.flights
    assert "ZeroDivisionError" in one.log.said("dispatch failed")[0]["why"]


def test_a_node_that_has_left_the_list_was_sent_nothing(rig):
    """Against a whole list between decision and connection: a debit that never left would be terminated as if it may have run."""
    one = rig(PgNode())
    one.edge.discovery.entries.clear()  # as take() does, before the decisions hear of it
    assert one.client().ask(insert("01", c="debit", more="")) == "53300"
    assert not one.nodes[0].seen and not one.log.said("dispatch failed")


def test_a_retired_pool_keeps_nothing():
    node = PgNode([40, GOOD])
    pool = Pool(node.at, 4, 1000.0, 100.0, greeted)
    flight = host.spawn(fly, node, 250.0, pool)
    host.sleep(15)
    pool.retired = True
    flight.join()
    assert flight.value[0] == i.SUCCEEDED and not pool.idle
    node.close()


# ---- through the whole proxy ----


def test_the_answers_of_the_platform(rig):
    one = rig(PgNode(row(b"\x9f\x03")))
    client, node = one.client(), one.nodes[0]
    assert client.ask(select("01")) == b"\x9f\x03"
    assert b"id=01,c=look,d=" in node.seen[0] and 0 < int(node.seen[0].split(b",d=")[1].split()[0]) <= 800
    node.acts = [said(b"XX000")]
    assert (
        client.ask(insert("02", c="debit", more="")) == "58000"
    )  # it may have run: never tried again, no promise
    assert len(node.seen) == 2
    node.acts = [said(b"53300")]
    client.write(select("03"))
    error = fields(next(b for k, b in client.until(b"Z") if k == b"E"))
    assert error["C"] == "53300" and "D" not in error  # settings allow no advice
    client.write(b"")
    assert [k for k, _ in client.until(b"Z")] == [b"I", b"Z"]


def test_advice_stands_in_field_d():
    assert fields(pg.throttled(250.4)[5:])["D"] == "250"


def test_queries_written_together_are_begun_together_and_answered_in_order(rig):
    one = rig(PgNode([lambda q: row(q.split(b"id=")[1][:2])]))
    client = Client(one.at, start=False)
    client.stream.send(
        pack("!II", 8, pg.TLS)
        + pg.startup(b"client", b"core")
        + b"".join(pg.message(b"Q", select(f"0{n}") + b"\0") for n in range(5)),
        1000,
    )
    assert client.stream.recv(1, 1000) == b"N"
    client.until(b"Z")
    assert [verdict(client.until(b"Z")) for _ in range(5)] == [b"00", b"01", b"02", b"03", b"04"]


@pytest.mark.parametrize("heeded", [False, True])
def test_past_the_bound_commands_are_throttled_unseen(rig, heeded):
    one = rig(
        PgNode([60, GOOD]), settings=SETTINGS | {"ceilings": SETTINGS["ceilings"] | {"retryAfter": heeded}}
    )
    client = one.client()
    client.write(*[select(f"{n:04x}") for n in range(40)])
    answers = [client.until(b"Z") for _ in range(40)]
    codes = [verdict(some) for some in answers]
    assert (
        codes.count("53300") == 40 - budget.MAX_PIPELINED and len(one.nodes[0].seen) == budget.MAX_PIPELINED
    )
    told = [float(fields(body).get("D", 0)) for some in answers for kind, body in some if kind == b"E"]
    assert (
        all(60 <= t <= 200 for t in told) and len(set(told)) > 9 if heeded else not any(told)
    )  # half the SLO time at most


def test_an_open_id_is_nobody_elses(rig):
    one = rig(PgNode([80, GOOD]))
    first, second = one.client(), one.client()
    first.write(select("0a"))
    host.sleep(10)
    assert second.ask(select("0a")) == "23505"
    assert verdict(first.until(b"Z")) == b"value" and len(one.nodes[0].seen) == 1
    assert second.ask(select("0a")) == b"value"  # over: it is free again


@pytest.mark.parametrize(
    "data",
    [
        b"\xff" * 9,
        b"Q" + pack("!I", 60 << 20) + b"x" * 70000,
        b"Q" + pack("!i", -2),
        pg.message(b"P", b"x\0"),
        3 * pg.message(b"Q", b"SELECT 1\0"),
    ],
    ids=lambda d: repr(d[:12]),
)
def test_what_cannot_be_read_gets_an_error_and_an_end(rig, data):
    one = rig(PgNode())
    client = one.client()
    client.stream.send(data, 1000)
    got = client.until(b"none")
    assert got[-1] is None and (len(got) == 1 or any(k == b"E" for k, _ in got[:-1]))
    assert not one.nodes[0].seen and one.client().ask(select("01")) == b"\\x9f03"


def test_a_client_that_leaves_calls_its_dispatch_off(rig):
    one = rig(PgNode("silent"))
    client = one.client()
    client.write(select("01"))
    one.until(lambda: one.nodes[0].seen)
    client.stream.close()
    one.until(lambda: one.nodes[0].ended and not one.edge.rounds.held and not one.edge.rounds.flights)
    assert not one.edge.clients.ids


def test_nothing_decided_in_time_is_told_in_time(rig, monkeypatch):
    one = rig(PgNode("silent"))
    monkeypatch.setattr(one.edge.rounds.carrier, "step", lambda now: None)
    assert one.client().ask(select("01", d=100)) == "57014" and one.log.said("answer overdue")


def test_silent_clients_give_way_to_others(rig):
    one = rig(PgNode(), sockets=budget.SPARE + 24)
    client = one.client()
    assert client.ask(select("01")) == b"\\x9f03"
    crowd = [Client(one.at, start=False) for _ in range(40)]
    host.sleep(20)
    assert one.edge.budget.clients <= 14 and client.ask(select("02")) == b"\\x9f03"
    assert one.client().ask(select("03")) == b"\\x9f03"
    assert sum(c.stream.waiting() for c in crowd) >= 27  # the longest silent were let go


def test_descriptors_to_nodes_are_bounded_in_all(rig):
    one = rig(PgNode(), PgNode(), sockets=budget.SPARE + 8)
    for n in range(12):
        assert one.client().ask(select(f"{n:02x}")) == b"\\x9f03"
    assert one.edge.pools.size() <= one.edge.budget.max_node_connections


def test_a_well_known_client_library(rig):
    """A check that is not our own reading of the protocol."""
    one = rig(
        PgNode(lambda sql: row(b"\\x9f03", b"SELECT 1" if sql.startswith(b"SELECT") else b"INSERT 0 1"))
    )
    where, port = one.at.split(":")

    def talk():
        link = psycopg2.connect(host=where, port=port, user="client", dbname="core", connect_timeout=5)
        link.autocommit = True
        cursor, got = link.cursor(), []
        for sql in (select("01"), insert("02"), b"SELECT 2"):
            try:
                cursor.execute(sql)
                got.append((cursor.description[0].name, bytes(cursor.fetchone()[0])))
            except psycopg2.Error as error:
                got.append(error.pgcode)
        link.close()
        return got

    assert get_hub().threadpool.apply(talk) == [("val", b"\x9f\x03"), ("val", b"\x9f\x03"), "42601"]


# ---- discovery ----


def test_changes_of_the_list_are_watched_and_end_connections(rig):
    one = rig(PgNode(row(b"old")), PgNode(row(b"new")))
    one.platform.change(one.host(1, health="draining"))
    one.until(lambda: one.edge.discovery.version == 2)
    client = one.client()
    assert client.ask(select("01")) == b"old"
    # The same name, another process behind it: what was open to the earlier one is closed and not used.
    one.platform.change(one.host(0, dial=one.nodes[1].at, born_ms=1000.0 * host.wall()))
    one.until(lambda: one.edge.discovery.version == 3)
    assert client.ask(select("02")) == b"new"
    one.until(lambda: one.nodes[0].ended)


def test_a_start_is_worked_out_once_for_each_incarnation(rig):
    one = rig(PgNode())
    born, start = 1000.0 * host.wall() - 500.0, lambda: one.edge.discovery.entries["s-0"][0][7]
    one.platform.change(one.host(0, born_ms=born))
    one.until(lambda: one.edge.discovery.version == 2)
    first = start()
    assert abs(host.now() - first - 500.0) < 400
    one.platform.change(one.host(0, born_ms=born, share=2.0))
    one.until(lambda: one.edge.discovery.version == 3)
    assert start() == first


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\xff\xfe noise",
        b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{"seq":99',
        http.answer(200, [], b'{"seq":9,"whole":true,"hosts":[{}]}'),
        http.answer(500, [], b""),
    ],
    ids=["noise", "part", "wrong words", "status"],
)
def test_a_spoilt_listing_is_dropped_and_asked_for_whole(rig, spoilt):
    one = rig(PgNode(), known=False)
    one.platform.spoil[b"/discovery/hosts"] = [spoilt]
    one.platform.change(one.host(0))  # ends the first watch if it stood already
    one.until(lambda: any(path == b"/discovery/hosts" for path, _ in one.platform.asked))
    one.until(lambda: one.edge.discovery.entries)
    assert one.client().ask(select("01")) == b"\\x9f03"


def answered_with(*hosts):
    return http.answer(200, [], json.dumps({"seq": 9, "whole": True, "hosts": hosts}).encode())


def test_a_node_of_which_an_entry_cannot_be_read_gets_nothing_new(rig):
    """Against dispatches that go on to draining nodes since one entry spoils the list that says so."""
    one = rig(PgNode(), PgNode(), PgNode())
    doubtful, draining = one.host(0, health="?"), one.host(1, health="draining")
    one.platform.spoil[b"/discovery/hosts"] = [answered_with(doubtful, draining)] + [b"noise"] * 9
    states = lambda: {name: entry[0][5] for name, entry in one.edge.discovery.entries.items()}  # noqa: E731
    one.platform.change(one.host(2))
    one.until(lambda: states() == {"s-0": i.DRAINING, "s-1": i.DRAINING, "s-2": i.READY})
    # The list that can be read holds again as a whole.
    one.until(lambda: set(states().values()) == {i.READY}, 10000)


def test_a_change_that_cannot_be_read_stops_dispatches_to_its_node(rig):
    """Against the drain of a node that is told with one wrong field, alone in its listing."""
    one = rig(PgNode(), PgNode())
    one.until(lambda: one.platform.watchers)
    one.platform.spoil[b"/discovery/hosts"] = [b"noise"] * 1000
    one.platform.change(one.host(0, health="draining", born_ms="?"))
    one.until(lambda: one.edge.discovery.entries["s-0"][0][5] == i.DRAINING)
    assert one.edge.discovery.entries["s-1"][0][5] == i.READY


def test_an_entry_that_stays_unreadable_keeps_no_other_out(rig):
    """Against a fleet whose new nodes are never used, as one field of one entry is wrong in each list."""
    one = rig(PgNode(), PgNode())
    listed = one.host(0, block="x"), one.host(1, block=1.0, share=0)
    one.platform.spoil[b"/discovery/hosts"] = [answered_with(*listed)] * 1000
    one.platform.change(one.host(1))
    one.until(lambda: one.edge.discovery.entries["s-1"][0][4] == 1)
    one.until(lambda: one.edge.discovery.entries["s-0"][0][5] == i.DRAINING)
    assert one.client().ask(select("01")) == b"\\x9f03" and not one.nodes[0].seen


@pytest.mark.parametrize("seq", [1, float("nan")], ids=str)
def test_a_known_list_that_cannot_be_read_whole_is_asked_for(rig, seq):
    """Against a proxy that ends at its start, or one that is told changes of entries that it never read."""
    platform_hosts = [{"host": "s-0", "dial": 5}, {"host": "s-1", "dial": "127.0.0.1:1"}]
    one = rig(PgNode(), known={"seq": seq, "whole": True, "hosts": platform_hosts})
    assert one.log.said("known list unreadable")
    one.until(lambda: one.edge.discovery.entries)
    lists = [path for path, _ in one.platform.asked if path.startswith(b"/discovery")]
    assert lists[0] == b"/discovery/hosts"
    assert one.client().ask(select("01")) == b"\\x9f03"


# ---- the release API ----


def api(at="127.0.0.1:1"):
    told = []
    one = ReleaseApi(at, {"look": 0}, 100.0, lambda *event: told.append(event), host.Jitter(1), Log())
    one.state(False, i.SUCCEEDED, platform.news(NEWS))
    return one, told


def test_an_older_state_does_not_undo_a_newer():
    one, told = api()
    one.state(False, i.SUCCEEDED, (1, 0.0, 0.28, 2, 0))
    one.state(True, i.SUCCEEDED, (0, 3000.0, 0.06, 2, 0))  # a vote's answer that was overtaken
    assert told[-1][1:3] == (True, 1) and told[-1][4:] == (0.28, i.SUCCEEDED, 2, 0)
    one.state(False, i.SUCCEEDED, (1, 0.0, 0.0, 2, 1))
    assert told[-1][4:] == (0.0, i.SUCCEEDED, 2, 1)


def test_votes_are_called_once_and_never_repeated(rig):
    one = rig(PgNode())
    for answer, status in (
        (b"noise", i.TIMEOUT),
        (http.answer(400, [], b"<Error><Code>moot</Code></Error>"), i.MOOT),
        (vote_ok(7, 0, "Progressing", "0.5", "0"), i.SUCCEEDED),
    ):
        one.platform.vote_answers = [answer]
        before = len(one.platform.votes)
        one.edge.api.vote(0, 7, i.ROLL_BACK, "")
        one.until(lambda: len(one.log.said("vote")) > before)
        assert one.log.said("vote")[-1]["answer"] == status and len(one.platform.votes) == before + 1
    assert one.edge.api.newest[3] == 7
    assert api()[0].cast(b"x") == (i.ERROR, None)  # nobody listens there: not carried out


def test_notices_reach_the_decisions_and_are_renewed(rig):
    one = rig(PgNode())
    one.until(lambda: one.platform.streams)
    one.platform.notice(b"event: news\ndata: build=2&stage=0&phase=Progressing&cap=0.5&age_ms=1\n\n")
    one.until(lambda: one.edge.rounds.balancer.version == 2)
    one.platform.notice(b"event: news\ndata: build=9&stage=0&phase=What&cap=0.5&age_ms=1\n\n")
    one.until(lambda: one.log.said("malformed notice"))
    one.platform.streams[0].close()
    one.until(lambda: len(one.platform.streams) == 2)


@pytest.mark.parametrize(
    "data",
    [
        b"9\r\ndata: bui\r\n",
        b"zz\r\n",
        b"28\r\nevent: nwes\ndata: phase=Aborting&cap=0\n\n\r\n",
        b"1b\r\nevent: news\ndata: a=1&a=2\n\n\r\n",
    ],
    ids=["end", "noise", "other name", "twice"],
)
def test_a_state_that_is_lost_on_its_way_stops_the_exposure_until_it_is_told(rig, data):
    """Against the earlier cap that goes on as the stream breaks within a notice or is spoilt."""
    one = rig(PgNode())
    one.until(lambda: one.platform.streams)
    one.platform.tell(build=2, stage=0, phase="Progressing", cap=0.5, age_ms=1)
    balancer = one.edge.rounds.balancer
    one.until(lambda: balancer.version == 2)
    text, one.platform.state_text = one.platform.state_text, b""
    for stream in list(one.platform.streams):
        stream.send(data, 1000)
        stream.close()
    one.until(lambda: balancer.trial_blocked)
    assert one.log.said("release state unreadable")
    one.platform.notice(text)
    one.until(lambda: len(one.platform.streams) > 1)
    one.platform.notice(text)
    one.until(lambda: not balancer.trial_blocked)


def test_states_are_passed_on_in_their_order_while_there_is_no_room():
    """Against an earlier, bolder state that is put into a full mailbox after the one that ended it."""
    one, told = api()
    room = host.Once()
    waits = [room.wait]  # of the first event only: who comes later finds room at once

    def put_event(*event):
        if waits:
            waits.pop()()
        told.append(event)

    one.put_event = put_event
    waiting = [host.spawn(one.state, False, i.SUCCEEDED, (0, 0.0, 1.0, 2, i.TRIAL))]
    host.sleep(0)
    waiting.append(host.spawn(one.lose_state, "notice", "noise"))
    host.sleep(0)
    waiting.append(host.spawn(one.state, False, i.SUCCEEDED, (0, 0.0, 0.1, 2, i.TRIAL)))
    host.sleep(0)
    room.set()
    host.join(waiting, 1000)
    assert [event[4] if event[0] == "stage_told" else event[1] for event in told[1:]] == [
        1,
        True,
        1,
        0.1,
        False,
    ]


def test_a_block_outlives_a_restart_of_the_decisions(rig):
    """Against decisions that begin anew with the first stage's cap while the state cannot be read."""
    one = rig(PgNode())
    one.until(lambda: one.platform.streams)
    one.platform.tell(build=2, stage=0, phase="Progressing", cap="?", age_ms=1)
    one.until(lambda: one.edge.rounds.balancer.trial_blocked)
    failed = one.edge.rounds.balancer
    seen = []
    put_event, one.edge.rounds.put_event = one.edge.rounds.put_event, lambda *event: seen.append(event[0])
    one.edge.api.put_event = one.edge.rounds.put_event
    one.edge.refill()
    one.until(lambda: "listed" in seen)
    assert seen.index("block_trial") < seen.index("listed")
    one.edge.rounds.put_event = one.edge.api.put_event = put_event
    failed.round = None
    one.edge.rounds.wake()
    put_event("begun")
    one.until(lambda: one.edge.rounds.balancer is not failed)
    one.until(lambda: one.edge.rounds.balancer.trial_blocked and one.edge.rounds.balancer.servers)


# ---- configuration and life ----


def test_the_file_may_name_other_addresses(rig, tmp_path):
    one = rig(PgNode())
    with open(one.path, "w") as f:
        f.write("{")
    one.edge.reload()
    assert "config.json" in one.log.said("configuration rejected")[0]["why"]
    other = type(one.platform)([one.host(0, share=3.0)])
    other.version = 5
    one.write(discovery=other.at, release_api={"address": other.at, "news": NEWS})
    one.edge.reload()
    one.until(lambda: one.edge.discovery.version == 5 and other.streams)
    assert one.client().ask(select("01")) == b"\\x9f03"
    one.edge.api.vote(0, 1, i.PROMOTE, "")
    one.until(lambda: other.votes)
    other.close()


def test_a_stop_takes_for_a_while_and_answers_all(rig, monkeypatch):
    monkeypatch.setattr("gannetfront.edge.edge.ACCEPT_GRACE", 60.0)
    one = rig(PgNode([150, GOOD]))
    client, idle = one.client(), one.client()
    stop = host.spawn(one.edge.drain)
    host.sleep(10)
    late = one.client()
    for n, some in enumerate((client, late)):
        some.write(select(f"0{n}"))
    assert [verdict(some.until(b"Z")) for some in (client, late)] == [b"value"] * 2
    assert idle.one() is None
    stop.join()
    assert one.edge.done.ready()


@pytest.mark.parametrize(
    "change, word",
    [
        (dict(seed="xyz"), "seed"),
        (dict(discovery="here"), "discovery"),
        (dict(limits={}), "limits.sockets"),
        (dict(release_api={"address": "127.0.0.1:1", "news": {}}), "news"),
        (dict(settings={}), "settings"),
        (dict(known={"seq": 1}), "known"),
        (dict(peers=["x"]), "peers"),
        (dict(settings=SETTINGS | {"classes": [{"name": "x"}]}), r"settings.classes\[0\].aimMs: .* missing"),
        *[
            (dict(settings=SETTINGS | {name: value}), f"settings.{word}")
            for name, value, word in (
                ("classes", {}, "classes: must be a list"),
                ("classes", [3], r"classes\[0\]: must be an object"),
                ("balancers", "two", "balancers"),
                ("rules", {"coldShare": float("nan")}, "rules.coldShare"),
                ("fees", [], "fees: must be an object"),
                ("myZone", 2, "myZone"),
                (
                    "familyInfo",
                    {"stageCap": [0.5], "shares": [0.5, 1.0]},
                    "familyInfo.shares: must be as many",
                ),
                ("tickMs", -5, "tickMs"),
                ("familyInfo", {"stageCap": [2.0]}, "familyInfo.stageCap"),
                ("familyInfo", {"backVotes": 0.5}, "familyInfo.backVotes"),
            )
        ],
        (dict(settings=SETTINGS | {"ceilings": {"connectTimeoutMs": "soon"}}), "connectTimeoutMs"),
    ],
    ids=str,
)
def test_a_wrong_field_is_named(tmp_path, change, word):
    told = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"sockets": 256},
        "settings": SETTINGS,
        "release_api": {"address": "127.0.0.1:1", "news": NEWS},
        "known": {"seq": 0, "whole": True, "hosts": []},
    }
    config.Start(told, {})
    with pytest.raises(config.BadSetting, match=word):
        config.Start(told | change, {})


@pytest.mark.parametrize(
    "environment, word", [({}, "EDGE_CONFIG"), ({"EDGE_CONFIG": "/nowhere/at/all"}, "/nowhere/at/all")]
)
def test_a_start_without_its_settings_is_one_line(environment, word):
    ran = subprocess.run(
        [sys.executable, "-m", "gannetfront.edge"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert ran.returncode == 2 and word in ran.stderr and ran.stderr.count("\n") == 1


def test_the_program_serves_reloads_and_ends_with_0(rig):
    one = rig(PgNode())
    free = host.Listener("127.0.0.1:0")
    free.close()
    one.write(listen=free.where)
    run = subprocess.Popen(
        [sys.executable, "-m", "gannetfront.edge"], env={"EDGE_CONFIG": one.path}, stderr=subprocess.DEVNULL
    )
    try:

        def up():
            try:
                return Client(free.where).ask(select("0b"))
            except host.Refused:
                return None

        one.until(up, 20000)
        os.kill(run.pid, signal.SIGHUP)
        host.sleep(50)
        assert up() == b"\\x9f03"
        os.kill(run.pid, signal.SIGTERM)
        one.until(lambda: run.poll() is not None, 20000)
        assert run.returncode == 0
    finally:
        run.kill()
        run.wait()


# ---- kept connections ----


def test_idle_connections_that_break_more_than_new_ones_are_not_kept():
    one = IdleTimeEstimator()
    assert one.reusable_idle_time(0.0) > 1e9
    for n in range(40):
        one.record(n, None, n % 10 == 0)
        one.record(n, 60.0, n % 10 == 0)  # breaks as new ones do
        one.record(n, 200.0, n % 2 == 0)
    assert one.reusable_idle_time(40.0) == 160.0
    assert one.reusable_idle_time(40.0 + 11000.0) > 1e9  # what was seen long ago says nothing of now


def test_breaks_that_meet_new_connections_alike_change_nothing():
    one = IdleTimeEstimator()
    for n in range(60):
        one.record(n, None, n % 2 == 0)
        one.record(n, 300.0, n % 2 == 0)
    assert one.reusable_idle_time(60.0) > 1e9


def test_a_connection_dropped_without_a_word_costs_few_requests():
    """The node resets any request on a connection that had idled for 100 ms."""
    last = {}

    def act(stream):
        since, last[stream] = last.get(stream), host.now()
        return since is not None and host.now() - since > 100

    class Stale(PgNode):
        def handle(self, stream):
            self.streams.append(stream)
            for _ in self.requests(stream):
                if act(stream):
                    return stream.reset()
                stream.send(GOOD, 1000)

        def requests(self, stream):
            try:
                yield from super().requests(stream)
            except (OSError, host.Timeout):
                return

    node, got = Stale(), []
    pool = Pool(node.at, 4, 5000.0, 100.0, greeted)
    for _ in range(8):
        got.append(fly(node, pool=pool)[0])
        host.sleep(180)
    assert got.count(i.RESET) == 2 and got[-3:] == [i.SUCCEEDED] * 3
    node.close()
