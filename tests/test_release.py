"""The controller: when stages move, what a webhook must carry, and what a restart still knows."""

import base64
import hmac
import json

import pytest

from gannetfront import host
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.interface import (
    ROLL_BACK,
    FULL,
    ROLLING_BACK,
    HOLD,
    NO_VOTE,
    MOOT,
    PROMOTE,
    RELEASED,
    SUCCEEDED,
    TRIAL,
    WITHDRAWN,
    Rollout,
)
from gannetfront.release import webhooks
from gannetfront.release.serve import Controller
from gannetfront.release.stages import Stages
from gannetfront.release.store import BadStore, Store
from rig import FLEET, Log

SECRET, OTHER = b"a secret of enough bytes", b"another secret of enough"


class Out:
    def __init__(self, stages):
        self.stages, self.acts, self.gone = stages, [], []

    def place(self, slot, ver, zone, cell, warm):
        self.acts.append(("place", slot, ver))
        self.stages.slots[slot].ready = True

    def remove(self, slot):
        self.acts.append(("remove", slot))
        self.gone.append(("gone", slot))

    def __getattr__(self, name):
        return lambda *facts: self.acts.append((name, *facts))


@pytest.fixture
def stages():
    facts = Rollout(
        (0.25, 1.0),
        (0.3, 1.0),
        1000.0,
        2000.0,
        2.0,
        False,
        0,
        False,
        1,
        1,
        0,
        False,
        5000.0,
        500.0,
        4000.0,
        0,
        0,
        0,
        0,
        0,
    )
    facts.__dict__["vote_allowance"] = 10
    one = Stages(facts, 4, 2, 4)
    one.o = Out(one)
    one.round(0.0, [("begin",)], one.o)
    return one


def play(one, now, *events):
    gone, one.o.gone = one.o.gone, []
    one.round(now, [*gone, *events], one.o)


def test_a_build_goes_through_its_stages_and_the_old_ones_leave(stages):
    play(stages, 100.0, ("offered", 2))
    play(stages, 200.0)
    play(stages, 900.0, ("vote", "0", 1, 0, 2, PROMOTE))
    assert stages.stage == 0, "before its soak"
    play(stages, 1300.0)
    assert (stages.phase, stages.stage, stages.cap) == (TRIAL, 1, 1.0)
    play(stages, 1400.0)
    play(stages, 2500.0, ("vote", "0", 2, 1, 2, PROMOTE))
    assert stages.phase == RELEASED and sum(s.leaving for s in stages.slots.values()) == 4


def test_back_lowers_the_cap_before_nodes_leave(stages):
    play(stages, 100.0, ("offered", 2))
    play(stages, 200.0, ("vote", "0", 1, 0, 2, ROLL_BACK))
    assert stages.phase == ROLLING_BACK and stages.cap == 0.0
    play(stages, 300.0)
    acts = [a[0] for a in stages.o.acts]
    assert acts.index("answer") < acts.index("stage", acts.index("answer")) < acts.index("remove")
    play(stages, 400.0)
    assert stages.phase == WITHDRAWN and not [s for s in stages.slots.values() if s.ver == 2]


def test_votes_count_as_they_must(stages):
    play(stages, 100.0, ("offered", 2))
    play(
        stages,
        200.0,
        ("vote", "0", 1, 1, 2, PROMOTE),
        ("vote", "0", 2, 0, 1, ROLL_BACK),
        ("vote", "0", 3, 0, 2, PROMOTE),
    )
    assert [a[3] for a in stages.o.acts if a[0] == "answer"] == [MOOT, MOOT, SUCCEEDED]
    play(stages, 210.0, *[("vote", "1", n, 1, 2, PROMOTE) for n in range(30)])
    assert [a[3] for a in stages.o.acts if a[0] == "answer"].count(FULL) >= 10
    play(stages, 5500.0)
    assert stages.stage == 0, "a vote that has lapsed moved a stage"


def test_a_stage_waits_while_most_say_that_a_site_is_away_and_goes_on_by_itself(stages):
    play(stages, 100.0, ("offered", 2))
    play(stages, 200.0, *[("vote", p, 1, 0, 2, PROMOTE) for p in "0123"])
    play(stages, 900.0, ("vote", "1", 2, 0, 2, HOLD), ("vote", "2", 2, 0, 2, HOLD))
    play(stages, 1000.0, ("vote", "3", 2, 0, 2, HOLD))
    play(stages, 3000.0)
    assert stages.stage == 0, "earlier votes moved it over a lost site"
    play(
        stages, 3100.0, ("vote", "3", 3, 0, 2, NO_VOTE)
    )  # two of four see it so: one may see wrong, half is not most
    assert stages.stage == 1
    play(stages, 3200.0, *[("vote", p, 4, 1, 2, HOLD) for p in "0123"])
    play(stages, 4300.0, ("vote", "0", 5, 1, 2, ROLL_BACK))
    assert stages.phase == ROLLING_BACK, "a bad build hides in it"


def test_a_second_offer_sends_the_first_back(stages):
    play(stages, 100.0, ("offered", 2))
    play(stages, 200.0, ("offered", 3), ("offered", 3), ("offered", 2))
    for now in (300.0, 400.0, 500.0):
        play(stages, now)
    assert (stages.ver, stages.phase, stages.queue) == (3, TRIAL, [])


def test_saved_and_restored_takes_up_with_the_clock_right(stages):
    play(stages, 100.0, ("offered", 2))
    play(stages, 200.0)
    play(stages, 300.0, ("vote", "0", 1, 0, 2, PROMOTE))
    saved = json.loads(json.dumps(stages.saved()))
    again = Stages.__new__(Stages)
    again.__dict__.update(stages.__dict__, slots={}, votes={})
    again.o = Out(again)
    again.restore(50000.0, saved, 600.0)  # away for 600 ms: 100 + 600 of the soak are over
    play(again, 50200.0)
    assert again.stage == 0
    play(again, 50400.0)
    assert again.stage == 1 and set(again.slots) >= set(stages.slots)


# ---- webhooks ----


def standard(body, ident="d1", at=1000, secret=SECRET):
    sign = base64.b64encode(hmac.digest(secret, f"{ident}.{at}.".encode() + body, "sha256"))
    return [
        (b"webhook-id", ident.encode()),
        (b"webhook-timestamp", b"%d" % at),
        (b"webhook-signature", b"v1," + sign),
    ]


def hub(body, ident="d1", secret=SECRET):
    return [
        (b"x-github-delivery", ident.encode()),
        (b"x-hub-signature-256", b"sha256=" + hmac.digest(secret, body, "sha256").hex().encode()),
    ]


BODY = b'{"build": 7}'
CLOUD = json.dumps(dict(specversion="1.0", source="/ci", id="e9", type="x", data=dict(build=7))).encode()
DOOR = webhooks.Pipeline("ci", [SECRET, OTHER], 2, 100)


@pytest.mark.parametrize(
    "headers, body, ident",
    [
        (standard(BODY), BODY, "d1"),
        (hub(BODY), BODY, "d1"),
        (standard(BODY, secret=OTHER), BODY, "d1"),
        (
            standard(CLOUD) + [(b"content-type", b"application/cloudevents+json; charset=utf-8")],
            CLOUD,
            "/ci e9",
        ),
        (
            hub(BODY) + [(b"ce-specversion", b"1.0"), (b"ce-source", b"/ci"), (b"ce-id", b"e9")],
            BODY,
            "/ci e9",
        ),
        (
            [*standard(BODY)[:2], (b"webhook-signature", b"v1,bm9wZQ== v2,x " + standard(BODY)[2][1])],
            BODY,
            "d1",
        ),
    ],
)
def test_published_forms_are_read(headers, body, ident):
    assert webhooks.check(DOOR, headers, body, 1000.0, 300.0) == (ident, 7)


@pytest.mark.parametrize(
    "headers, body, status",
    [
        ([], BODY, 401),
        (standard(BODY), b'{"build": 8}', 401),
        (standard(BODY, secret=b"x" * 16), BODY, 401),
        (hub(BODY), BODY + b" ", 401),
        (standard(BODY, at=1), BODY, 401),
        (standard(BODY, at=99999), BODY, 401),
        ([(b"x-hub-signature-256", b"sha256=zz")], BODY, 401),
        ([(b"x-hub-signature-256", b"sha1=" + b"00" * 20)], BODY, 401),
        (hub(b"[1"), b"[1", 400),
        (hub(b"[]"), b"[]", 400),
        (hub(b"{}"), b"{}", 422),
        (hub(b'{"build": true}'), b'{"build": true}', 422),
        (hub(b'{"build": 1}'), b'{"build": 1}', 403),
        (hub(b'{"build": 999}'), b'{"build": 999}', 403),
        (hub(BODY, ident=""), BODY, 400),
        (hub(BODY, ident="x" * 300), BODY, 400),
        (hub(BODY) + [(b"ce-specversion", b"0.3"), (b"ce-source", b"/ci"), (b"ce-id", b"e9")], BODY, 400),
        ([(b"webhook-signature", b"v1,x"), (b"webhook-timestamp", b"soon")], BODY, 400),
    ],
)
def test_what_may_not_be_believed_is_refused(headers, body, status):
    with pytest.raises(webhooks.Refused) as refused:
        webhooks.check(DOOR, headers, body, 1000.0, 300.0)
    assert refused.value.status == status and "secret" not in refused.value.why


# ---- what is on disk ----


def controller(path, log=None):
    facts = load.parse(schema.Fleet, FLEET, "f")
    one = Controller(facts, schema.Controller(), load.deployment(facts, 0, "", 1.0).rollout, 2, log or Log())
    one.store = Store(path)
    one.begin()
    return one


def ask(one, body=BODY, ident="d1", **kind):
    return one.delivered({"ci": DOOR}, 300.0, b"POST", b"/hooks/ci", hub(body, ident, **kind), body)


def test_a_repeat_gets_the_answer_of_the_first_also_after_a_restart(tmp_path):
    one = controller(tmp_path / "s")
    one.round(one.box.drain())
    first = ask(one)
    assert first[0] == 202 and ask(one) == first
    one.round(one.box.drain())
    assert (one.stages.ver, one.stages.phase) == (7, TRIAL)
    again = controller(tmp_path / "s")
    assert ask(again) == first and (again.stages.ver, again.stages.phase) == (7, TRIAL)
    assert ask(again, ident="d2")[0] == 409 and ask(again, b'{"build": 8}', "d3")[0] == 202
    assert [m["what"] for m in again.store.history()] == ["offered", "stage"]


def test_killed_between_the_answer_and_the_stage_the_offer_is_not_lost(tmp_path):
    one = controller(tmp_path / "s")
    one.round(one.box.drain())
    assert (
        ask(one)[0] == 202 and ask(one, b'{"build": 8}', "d2")[0] == 202
    )  # and it dies before its next round
    again = controller(tmp_path / "s")
    assert again.stages.queue == [7, 8]
    again.round([])  # where none was held back, the round takes it up
    assert again.stages.ver == 7


def test_nothing_is_told_that_could_not_be_written(tmp_path):
    log = Log()
    one = controller(tmp_path / "s", log)
    one.round(one.box.drain())

    class Heard:
        told = []

        def put(self, *what):
            self.told.append(what)

    one.links["0"] = heard = Heard()
    one.store.db.execute("PRAGMA query_only=ON")  # as a full disk: no write succeeds
    one.round([("offered", 7)])
    assert log.said("state not kept") and not heard.told and ask(one, b'{"build": 9}')[0] == 503
    one.store.db.execute("PRAGMA query_only=OFF")
    one.round([])
    assert heard.told and Store(tmp_path / "s").restore()[0]["ver"] == 7


def test_store_of_a_later_version_or_no_store_is_refused(tmp_path):
    Store(tmp_path / "s").db.execute("PRAGMA user_version=99")
    with pytest.raises(BadStore, match="later version"):
        Store(tmp_path / "s")
    (tmp_path / "t").write_bytes(b"no database at all, by any means" * 40)
    with pytest.raises(BadStore):
        Store(tmp_path / "t")


def test_snapshot_is_whole(tmp_path):
    one = controller(tmp_path / "s")
    one.round(one.box.drain())
    one.store.snapshot(tmp_path / "copy")
    assert Store(tmp_path / "copy").restore()[0] == one.store.restore()[0]
    assert host.wall() > 0
