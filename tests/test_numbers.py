"""Numbers that others write: each reader takes every spelling of a number that its protocol allows."""

from decimal import Decimal

import pytest
from hypothesis import given, settings, strategies as st

from edge_rig import NEWS, SETTINGS, insert, vote_ok
from gannetfront import interface as i
from gannetfront.benchlink import codec
from gannetfront.edge import config
from gannetfront.tenants import views
from gannetfront.wire import http, invocation, numbers, pg, platform
from helpers import BalancerHarness

EXAMPLES = settings(max_examples=150, deadline=None, derandomize=True)
OPERATIONS = {"look": 0}


def finite(least=None, most=None):
    return st.floats(least, most, allow_nan=False, allow_infinity=False).map(lambda x: x + 0.0)


FRACTIONS, DURATIONS = finite(0.0, 1.0), finite(0.0, platform.LONGEST_TIME)
BUILDS = st.integers(0, platform.MAX_BUILD)


def spelled(number):
    """Spellings of a number as JSON by different libraries."""
    double = float(number)
    spellings = [repr(number), f"{double:.16e}", f"{double:.17E}".replace("E+", "E"), f"{Decimal(double):f}"]
    return st.sampled_from(spellings)


def told(numbers_by_name):
    """A strategy for {name: spelling} of drawn numbers, with the numbers themselves."""
    return st.fixed_dictionaries(numbers_by_name).flatmap(
        lambda drawn: st.tuples(
            st.just(drawn), st.fixed_dictionaries({n: spelled(x) for n, x in drawn.items()})
        )
    )


STATES = told({"build": BUILDS, "stage": st.integers(0, 9), "cap": FRACTIONS, "age_ms": DURATIONS})


def notice_of(event, fields):
    """What the reader of the stream makes of one notice."""
    data = "&".join(f"{name}={text}" for name, text in fields.items())
    reader = platform.Notices()
    [(name, read)] = reader.feed(f"HTTP/1.1 200 OK\r\n\r\nevent: {event}\ndata: {data}\n\n".encode())
    assert name == event
    return read


@EXAMPLES
@given(finite().flatmap(lambda x: st.tuples(st.just(x), spelled(x))))
def test_no_spelling_of_a_finite_number_is_refused_or_changed(drawn):
    number, text = drawn
    assert numbers.number(text) == numbers.number(numbers.decode_json(text)) == number
    assert numbers.number(f"\n {text} ") == number


@pytest.mark.parametrize(
    "value",
    [
        "",
        "nan",
        "inf",
        "1_0",
        "0x1",
        "１",
        "1e",
        ".",
        "--1",
        "1,5",
        "1" * 1101,
        None,
        True,
        float("nan"),
        [1],
    ],
    ids=str,
)
def test_what_is_no_number_is_refused(value):
    for read in numbers.number, numbers.whole_number:
        with pytest.raises(ValueError):
            read(value)


@pytest.mark.parametrize("text", ["1e400", "1" * 400])
def test_a_number_past_a_double_is_read_as_the_largest(text):
    assert numbers.number(text) == numbers.number(numbers.decode_json(text)) == numbers.LARGEST


def test_what_is_no_number_in_json_spoils_no_other_field():
    read = numbers.decode_json('{"a": NaN, "b": %s, "c": 2}' % ("1" * 9999))
    assert read["c"] == 2 and [read[name] == read[name] for name in "ab"] == [False, False]


@EXAMPLES
@given(STATES)
def test_a_state_is_read_alike_from_each_of_its_sources(drawn):
    """Against caps of 17 digits that a notice, a vote's answer and a start refused."""
    state, texts = drawn
    read = (state["stage"], state["age_ms"], state["cap"], state["build"], 0)
    fields = texts | {"phase": "Progressing"}
    assert platform.state(notice_of("news", fields)) == read
    answer = vote_ok(texts["build"], texts["stage"], "Progressing", texts["cap"], texts["age_ms"])
    assert platform.vote_answer(200, answer.partition(b"\r\n\r\n")[2]) == (i.SUCCEEDED, read)
    document = ",".join(f'"{name}":{text}' for name, text in texts.items())
    assert platform.news(numbers.decode_json('{"phase":"Progressing",%s}' % document)) == read


@EXAMPLES
@given(told({"build": BUILDS, "count": st.integers(0, 10**9), "mean_ms": DURATIONS, "age_ms": DURATIONS}))
def test_counts_are_read_in_every_spelling(drawn):
    counts, texts = drawn
    read = platform.counts(notice_of("counts", texts | {"class": "look", "failed": "0.0"}), OPERATIONS)
    mean = counts["mean_ms"] if counts["count"] else 0.0
    assert read == (counts["count"], counts["age_ms"], 0, mean, 0, counts["build"])


def test_failures_alone_are_counted_without_a_mean():
    """Against a build of which every attempt fails looking untried."""
    fields = {"build": "2", "class": "look", "count": "5", "failed": "5", "mean_ms": "nan", "age_ms": "-0.0"}
    assert platform.counts(fields, OPERATIONS) == (5, 0.0, 5, 0.0, 0, 2)


@EXAMPLES
@given(
    told(
        {
            "seq": st.integers(0, 2**50),
            "share": finite(),
            "born_ms": finite(0.0),
            "block": st.integers(-(2**50), 2**50),
            "revision_no": BUILDS,
        }
    )
)
def test_a_listing_is_read_in_every_spelling(drawn):
    entry, texts = drawn
    version = texts.pop("seq")
    fields = ",".join(f'"{name}":{text}' for name, text in texts.items())
    host = f'{{"host":"s","dial":"127.0.0.1:1","site":"a","class":"m","health":"up",{fields}}}'
    listing = platform.Listing(["a"], ["m"]).read(f'{{"seq":{version},"whole":true,"hosts":[{host}]}}')
    weight = min(max(entry["share"], platform.MIN_WEIGHT), platform.MAX_WEIGHT)
    read = ("s", 0, entry["revision_no"], 0, entry["block"], i.READY, weight)
    assert listing == (
        entry["seq"],
        True,
        [(read, "127.0.0.1:1", min(entry["born_ms"], platform.LONGEST_TIME))],
    )


@EXAMPLES
@given(finite(1e-300).flatmap(lambda x: st.tuples(st.just(x), spelled(x))), st.integers(1, 10**9))
def test_time_limits_of_clients_are_read_in_every_spelling_and_written_so_that_they_are(drawn, limit):
    time_left, text = drawn
    sql = insert("9b", d=text) if len(text) < 400 else insert("9b", d=repr(time_left))
    read = pg.statement(sql, {b"place": (1, True)})
    assert read[3] == time_left
    sent = pg.dispatch(read[5], "s", b"", 0, float(limit))[5:-1]
    assert pg.statement(sent, {b"place": (1, True)})[3] == limit
    patience = ((b"gannet-patience-ms", text.encode()),)
    assert invocation.parse_invocation(b"POST", b"/x", patience, {b"x": 0})[4] == time_left


@EXAMPLES
@given(
    told(
        {
            "aimMs": finite(1e-3, 1e15),
            "tickMs": DURATIONS,
            "lag": DURATIONS,
            "cap": FRACTIONS,
            "cast": st.integers(0, 10**9),
        }
    )
)
def test_settings_are_read_in_every_spelling(drawn):
    """The Deployment is made from JSON alone; what is read is what was written."""
    setting, texts = drawn
    family = (
        f'"familyInfo":{{"lagFee":{texts["lag"]},"stageCap":[{texts["cap"]}],"backVotes":{texts["cast"]}}}'
    )
    text = f'{{"classes":[{{"aimMs":{texts["aimMs"]},"giveUpMs":1}}],"tickMs":{texts["tickMs"]},{family}}}'
    read = codec.deployment_from_settings(numbers.decode_json(text))
    rollout = read.rollout
    assert (rollout.delay_price, rollout.caps) == (setting["lag"], (setting["cap"],))
    assert (read.operations[0].slo_time, read.tick) == (setting["aimMs"], setting["tickMs"])
    assert rollout.back_votes == setting["cast"] and type(rollout.back_votes) is int


@EXAMPLES
@given(told({"build": BUILDS, "weight": finite(), "start": finite()}))
def test_entries_of_the_simulator_are_read_in_every_spelling(drawn):
    """Its page calls the build of an entry a number, not an integer."""
    entry, texts = drawn
    words = ["entry", "s", "0", texts["build"], "0", "0", "Ready", texts["weight"], texts["start"]]
    read = codec.parse_entry(words)
    assert (read[2], read[6], read[7]) == (entry["build"], entry["weight"], entry["start"])


@pytest.mark.parametrize("number", [2**63 - 1, 1e300, 10**400], ids=str)
def test_a_setting_that_means_without_limit_is_no_error(number):
    """Against a start that is refused because of a figure as large as its type allows."""
    ceilings = {"sendCap": number, "mostHeld": number, "idleCloseMs": number, "connectTimeoutMs": number}
    document = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"sockets": number, "memory_mb": number},
        "settings": SETTINGS | {"ceilings": ceilings},
        "release_api": {"address": "127.0.0.1:1", "news": NEWS | {"age_ms": number}},
        "known": {"seq": 0, "whole": True, "hosts": []},
    }
    start = config.Start(document, {})
    assert start.facts.dispatch_cap == codec.LARGEST_INTEGER and start.most_held == config.MOST_HELD


@pytest.mark.parametrize("count", [10, 400, 5000, 10**12])
def test_the_failures_of_a_large_count_are_kept(count):
    """Against a count whose successes pushed its failures out, or that takes all memory."""
    harness = BalancerHarness({})
    harness.queue.append(("tally", count, 0.0, count // 10, 5.0, 0, 2))
    harness.flush()
    [outcomes] = harness.balancer.tallied.values()
    assert sum(outcome[2] == i.ERROR for outcome in outcomes) * 10 == len(outcomes) == min(count, 400)


@EXAMPLES
@given(st.binary(max_size=260))
def test_signals_of_any_bytes_are_read_and_judged(payload):
    """Against a group past the last one, which ended the round with an IndexError."""
    harness = BalancerHarness({})
    harness.run("stage 0 0.5 2")
    harness.queue.append(("peer", 1, (2).to_bytes(2, "big") + payload))
    harness.wait(2000)
    assert all(operation < 3 for _, operation in harness.balancer.observed)


def test_reports_and_directory_values_are_read_by_the_same_rules():
    reply = pg.Reply(1 << 18)
    reply.feed(pg.message(b"S", b"server_load\0inflight=7,util=6.1e-01\0"))
    assert reply.load() == {"inflight": 7.0, "busy": 0.61}
    answer = invocation.Reply(1 << 18)
    answer.feed(http.answer(200, [(b"gannet-load", b"queue=1E+1, busy=1_0")], b""))
    assert answer.load() == {"queue": 10.0}
    assert views.optional_number({"share": [b"1.25E-1"]}, "share", 1.0) == 0.125
    with pytest.raises(ValueError, match="not a number"):
        views.optional_number({"share": [b"1_0"]}, "share", 100.0)
