"""Codecs parse alike for any chunk boundaries; errors in settings name the file, the line and the field."""

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront.config import load, schema_pb2 as schema
from gannetfront.wire import control_pb2 as c, frames, generate, http
from rig import FLEET

FEW_EXAMPLES = settings(max_examples=60, deadline=None, derandomize=True)
NAMES = st.text("abcdefgh-", min_size=1, max_size=12).map(lambda s: b"x-" + s.encode())
VALUES = st.text("abc ,;=0189", max_size=30).map(lambda s: s.strip().encode())


def split_at(data, cuts):
    """`data` split at the offsets `cuts`."""
    offsets = sorted({min(cut, len(data)) for cut in cuts})
    return [data[begin:end] for begin, end in zip([0, *offsets], [*offsets, len(data)])]


@FEW_EXAMPLES
@given(
    st.lists(
        st.tuples(st.lists(st.tuples(NAMES, VALUES), max_size=5), st.binary(max_size=200)),
        min_size=1,
        max_size=4,
    ),
    st.lists(st.integers(0, 1200), max_size=12),
)
def test_requests_are_parsed_alike_for_any_chunk_boundaries(requests, cuts):
    data = b"".join(http.request(b"/op", b"h", headers, body) for headers, body in requests)
    reader = http.RequestReader(16384, 1024)
    for piece in split_at(data, cuts):
        reader.feed(piece)
    assert [(request[3], [h for h in request[2] if h[0].startswith(b"x-")]) for request in reader.ready] == [
        (body, headers) for headers, body in requests
    ]


@FEW_EXAMPLES
@given(
    st.integers(200, 599).filter(lambda s: s not in (204, 304)),
    st.lists(st.tuples(NAMES, VALUES), max_size=5),
    st.binary(max_size=300),
    st.lists(st.integers(0, 900), max_size=12),
)
def test_responses_are_parsed_alike_for_any_chunk_boundaries(status, headers, body, cuts):
    reader = http.AnswerReader(1 << 16)
    for piece in split_at(http.answer(status, headers, body), cuts):
        reader.feed(piece)
    assert (reader.whole, reader.status, reader.body, reader.reusable) == (True, status, body, True)


@FEW_EXAMPLES
@given(st.binary(max_size=400))
def test_arbitrary_bytes_are_parsed_or_rejected(data):
    for reader, error_class in (
        (http.RequestReader(200, 100), http.BadRequest),
        (http.AnswerReader(300), http.BadAnswer),
        (frames.FrameReader(200), frames.BadFrame),
    ):
        try:
            reader.feed(data)
        except error_class as error:
            assert str(error)


@FEW_EXAMPLES
@given(st.lists(st.integers(0, 2**40), min_size=1, max_size=6), st.lists(st.integers(0, 200), max_size=8))
def test_frames_are_parsed_alike_for_any_chunk_boundaries(numbers, cuts):
    data = b"".join(frames.pack(vote=c.Vote(number=n)) for n in numbers)
    reader, received = frames.FrameReader(), []
    for piece in split_at(data, cuts):
        received += reader.feed(piece)
    assert [message.number for _, message in received] == numbers


def test_generated_protobuf_code_is_up_to_date(tmp_path):
    generate.generate(tmp_path)
    for proto in generate.PROTOS:
        name = proto.replace(".proto", "_pb2.py")
        assert (tmp_path / name).read_bytes() == (generate.ROOT / name).read_bytes(), (
            f"{name}: run generate.py"
        )


@pytest.mark.parametrize(
    "old, new, error",
    [
        ("drain_grace: 200", "drain_grace: -1", "f:7: drain_grace: -1 is outside 0 to 60000 ms"),
        ("drain_grace: 200", "drain_grace: nan", "f:7: drain_grace: nan is outside"),
        (
            "drain_grace: 200",
            "drain_grease: 1",
            'f:7: Message type "gannetfront.config.Fleet" has no field named "drain_grease"',
        ),
        ("drain_grace: 200", "drain_grace: 200 }", "f:7: "),
        (
            "drain_grace: 200",
            "tenant { name: 'a' }\ntenant {\n name: 'a' }",
            "f:9: tenant.name: 'a' stands twice",
        ),
        ('"fingerprinted"', '"often"', "f:4: operation.effect: 'often' is none of"),
        ("window: 800", "", "f:4: operation.window: a fingerprinted operation needs"),
        ('name: "read" ', "", "f:3: operation.name: is needed"),
        (
            "slo_time: 500 time_limit: 1000 window",
            "slo_time: 5000 time_limit: 1000 window",
            "f:4: operation.slo_time: 5000 is past",
        ),
        ("cap: 1 ", "cap: [1, 1] ", "f:6: rollout.cap: 2 caps for 1 machine_shares"),
        ("cap: 1 ", "cap: 0.5 ", "f:6: rollout.cap: the last stage"),
        ('zone: "a"', 'zone: "a b"', "f:2: zone: 'a b' may not"),
    ],
)
def test_setting_errors_name_file_line_and_field(old, new, error):
    assert old in FLEET
    with pytest.raises(load.BadSetting) as raised:
        load.parse(schema.Fleet, FLEET.replace(old, new), "f")
    assert str(raised.value).startswith(error) and "\n" not in str(raised.value)


@pytest.mark.parametrize(
    "change, advice",
    [("proxies: 30", "none alone sees enough"), ("proxies: 30 may_signal: true", None), ("proxies: 3", None)],
)
def test_advice_on_unusual_settings(change, advice):
    fleet = load.parse(schema.Fleet, FLEET + change, "f")
    assert [
        advice in line for line in load.advice(fleet) if "window" not in line and "forgotten" not in line
    ] == ([True] if advice else [])


def test_every_setting_is_explained():
    explained = list(load.explain())
    assert len(explained) > 50 and all(text for *_, text, _ in explained)
    for kind in ("Proxy", "Controller"):
        assert load.parse(getattr(schema, kind), 'control: "x:1"' if kind == "Proxy" else "", "f")
