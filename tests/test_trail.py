"""The audit trail: torn and damaged files, group commit, rotation, sealing, full disks, killed writers."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from gannetfront import host
from gannetfront.config import schema_pb2 as schema
from gannetfront.duties.seal import Sealing
from gannetfront.trail import log, records, sealed
from rig import Log, Node, Rig, ok

ROOT = Path(__file__).parents[1]


@pytest.fixture
def trail(tmp_path):
    """Makes running trails in tmp_path/t, and stops them after the test."""
    (tmp_path / "t").mkdir()
    greenlets = []

    def make(**options):
        started = log.Trail(str(tmp_path / "t"), Log(), **options)
        greenlets.append(host.spawn(started.run))
        return started

    yield make
    for greenlet in greenlets:
        host.stop(greenlet)


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(st.dictionaries(st.text(max_size=5), st.text(max_size=20), max_size=3), max_size=8),
    st.integers(0, 400),
)
def test_any_cut_leaves_whole_records_only(rows, cut):
    data = b"".join(records.pack(n + 1, 1.0, "x", row) for n, row in enumerate(rows))
    found, intact_size = records.read(data[:cut], 1)
    assert [r[3] for r in found] == rows[: len(found)] and intact_size <= min(cut, len(data))
    assert cut < len(data) or len(found) == len(rows)


def test_damage_within_is_told_from_a_torn_end():
    parts = [records.pack(n, 1.0, "x", {"n": n}) for n in (1, 2, 3)]
    with pytest.raises(records.Damaged, match="followed by intact records"):
        records.read(parts[0] + parts[1][:-1] + b"?" + parts[2], 1)
    with pytest.raises(records.Damaged, match="found record 3 where 2 was expected"):
        records.read(parts[0] + parts[2], 1)


def test_groups_are_committed_and_read_back_over_rotations(trail, tmp_path):
    writer = trail(rotate=400)
    pending = [writer.append("answer", request=str(n)) for n in range(50)]
    assert all(once.wait(3000) for once in pending)
    for n in range(50, 60):
        assert writer.written("intent", 3000, request=str(n))
    assert [r[3]["request"] for r in log.read(str(tmp_path / "t"))] == [str(n) for n in range(60)]
    assert len(list((tmp_path / "t").iterdir())) >= 3


def filled(trail, tmp_path, count=60):
    """The records of a new trail that was rotated several times."""
    writer = trail(rotate=400)
    for n in range(count):
        assert writer.written("intent", 3000, request=f"r{n % 7}", n=n, seen=0.1 * n)
    return log.read(str(tmp_path / "t"))


def test_sealed_segments_read_as_before_and_are_searched(trail, tmp_path):
    before, folder = filled(trail, tmp_path), str(tmp_path / "t")
    plain = sorted((tmp_path / "t").iterdir())
    plain_data = plain[0].read_bytes()
    sealed.seal(folder)
    assert len(list((tmp_path / "t").glob("*.trail"))) == 1 and log.read(folder) == before
    assert log.read(folder, "r3") == [r for r in before if r[3]["request"] == "r3"]
    plain[0].write_bytes(
        plain_data
    )  # as after a kill between writing the sealed form and removing the plain one
    assert log.read(folder) == before
    sealed.seal(folder, keep=2)
    remaining = log.read(folder)
    assert len(list((tmp_path / "t").glob("*.parquet"))) == 2 and remaining == before[-len(remaining) :]


@pytest.mark.parametrize("harm", ["flip", "missing", "cut", "foreign"])
def test_harm_to_a_sealed_segment_is_found_and_named(trail, tmp_path, harm):
    filled(trail, tmp_path)
    folder = str(tmp_path / "t")
    sealed.seal(folder)
    segment = sorted((tmp_path / "t").glob("*.parquet"))[1]
    data = segment.read_bytes()
    if harm == "missing":
        segment.unlink()
    else:
        offset = len(data) // 3
        segment.write_bytes(
            dict(
                flip=data[:offset] + bytes([data[offset] ^ 4]) + data[offset + 1 :],
                cut=data[:offset],
                foreign=b"PAR1",
            )[harm]
        )
    with pytest.raises(records.Damaged, match="segment is missing" if harm == "missing" else segment.name):
        log.read(folder)


THREADS = """
import os, sys
from gannetfront.trail import log, sealed
threads = lambda: len(os.listdir("/proc/self/task"))
before = threads()
log.read(sys.argv[1])
log.read(sys.argv[1], "r3")
assert threads() == before, (before, threads())
"""


def test_reading_sealed_segments_starts_no_thread_that_outlives_it(trail, tmp_path):
    """Guards against an abort at process exit, caused by the thread pool of pyarrow's dataset reader.

    `gannet-day` printed its verdict, "rules kept 5/5", and then ended by SIGABRT with `terminate called
    without an active exception`. `gannet-audit` on the records of that day did so in 11 of 150 runs, reading
    the trails alone in 14 of 120, the tables or the store alone in 0 of 120 each.
    `pyarrow.parquet.read_table` uses the dataset reader, whose threads (7 before, 14 after one segment) are
    still running when the process ends.
    docs/incidents/abort-after-verdict.md
    """
    filled(trail, tmp_path)
    sealed.seal(str(tmp_path / "t"))
    done = subprocess.run(
        [sys.executable, "-c", THREADS, str(tmp_path / "t")],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=ROOT,
    )
    assert done.returncode == 0, done.stderr


def test_sealing_round_after_round_loses_nothing(trail, tmp_path):
    """Sealing removes records only if `seal_keep` is set, however many rounds there are."""
    writer = trail()
    for n in range(80):
        writer.written("intent", 3000, request=str(n))
        Sealing(schema.Duty(name="seal", seal_from=0), writer, Log()).seal()
    assert [r[3]["request"] for r in log.read(writer.folder)] == [str(n) for n in range(80)]
    assert len(host.folder_files(writer.folder, sealed.ENDING)) > 64
    Sealing(schema.Duty(name="seal", seal_from=0, seal_keep=5), writer, Log()).seal()
    assert len(host.folder_files(writer.folder, sealed.ENDING)) == 5


def test_killed_in_the_middle_of_a_rotation(trail, tmp_path):
    before = filled(trail, tmp_path)
    (tmp_path / "t" / f"{before[-1][0] + 1:016d}.trail").write_bytes(b"")  # the next segment, still empty
    writer = trail(rotate=400)
    assert writer.written("intent", 3000, request="after")
    assert [r[0] for r in log.read(str(tmp_path / "t"))] == list(range(1, before[-1][0] + 2))


def test_a_missing_or_torn_segment_in_the_middle_is_named(trail, tmp_path):
    filled(trail, tmp_path)
    segments = sorted((tmp_path / "t").glob("*.trail"))
    data = segments[1].read_bytes()
    segments[1].write_bytes(data[:-3])
    with pytest.raises(records.Damaged, match=segments[1].name):
        log.read(str(tmp_path / "t"))
    segments[1].unlink()
    with pytest.raises(records.Damaged, match="segment is missing"):
        log.read(str(tmp_path / "t"))


def test_torn_end_is_cut_off_and_numbers_go_on(trail, tmp_path):
    writer = trail()
    writer.written("intent", 3000, request="a")
    path = next((tmp_path / "t").iterdir())
    path.write_bytes(path.read_bytes() + records.pack(2, 1.0, "intent", {"request": "b"})[:-3])
    reopened = trail()
    assert reopened.torn_bytes and reopened.written("intent", 3000, request="c")
    assert [(r[0], r[3]["request"]) for r in log.read(str(tmp_path / "t"))] == [(1, "a"), (2, "c")]


def test_full_disk_refuses_what_must_be_written_and_recovers(trail, tmp_path, monkeypatch):
    writer = trail()
    writer.written("intent", 3000, request="before")
    real_write, full = os.write, [True]

    def write(fd, data):
        if full[0] and fd == writer.file.fd:
            if len(data) > 40:
                return real_write(fd, data[:40])  # a part still fits: the record is torn
            raise OSError(28, "No space left on device")
        return real_write(fd, data)

    monkeypatch.setattr(os, "write", write)
    with pytest.raises(log.Refused):
        writer.written("intent", 3000, request="during")
    assert writer.append("answer", request="x").wait(3000) is False
    full[0] = False
    deadline = host.now() + 5000
    while writer.full and host.now() < deadline:
        host.sleep(20)
    assert writer.written("intent", 3000, request="after")
    found = log.read(str(tmp_path / "t"))
    assert [r[2] for r in found] == ["intent", "lost", "intent"] and found[1][3] == {"records": 1}


WRITER = """
import sys
from gannetfront import host
from gannetfront.config import schema_pb2 as schema
from gannetfront.duties.seal import Sealing
from gannetfront.trail.log import Trail
class SilentLog:
    def __getattr__(self, name): return lambda *a, **k: None
writer = Trail(sys.argv[1], SilentLog(), delay=0.2)
host.spawn(writer.run)
n = 0
while True:
    n += 1
    writer.written("intent", 5000, request=str(n))
    sys.stdout.write(f"{n}\\n")
    sys.stdout.flush()
"""


def test_killed_at_any_point_every_acknowledged_record_is_there(tmp_path):
    for attempt in range(8):
        folder = tmp_path / str(attempt)
        folder.mkdir()
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(folder)],
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | dict(PYTHONPATH=str(ROOT)),
        )
        for _ in range(3 + 7 * attempt):
            last_line = process.stdout.readline()
        process.send_signal(signal.SIGKILL)
        remaining_lines = process.stdout.read().split("\n")
        process.wait()
        acknowledged = int([last_line, *(line for line in remaining_lines[:-1] if line)][-1])
        found = log.read(str(folder))
        assert len(found) >= acknowledged and [int(r[3]["request"]) for r in found] == list(
            range(1, len(found) + 1)
        )


def test_proxy_writes_intents_first_and_sends_nothing_unrecorded(tmp_path):
    rig = Rig(tmp_path, Node(ok()), trail=str(tmp_path / "t"), trail_delay=1.0)
    assert rig.ask("debit", x_request_id="d1")[1] == "succeeded"
    rig.until(lambda: len(log.read(str(tmp_path / "t"))) >= 3)
    kinds = [(r[2], r[3]["request"]) for r in log.read(str(tmp_path / "t"))]
    assert kinds[0] == ("intent", "d1") and sorted(kinds[1:]) == [("answer", "d1"), ("outcome", "d1")]
    rig.proxy.rounds.trail.full = True
    sent = len(rig.nodes[0].seen)
    assert rig.ask("debit", x_request_id="d2")[:2] == (429, "throttled") and len(rig.nodes[0].seen) == sent
    assert rig.ask("read")[1] == "succeeded"  # only side-effecting operations need a record
    rig.close()
