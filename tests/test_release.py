"""The release controller: stage transitions, verification of webhooks, and state that survives a restart."""

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

SECRET, OTHER_SECRET = b"a secret of enough bytes", b"another secret of enough"


class RecordingWriter:
    """A writer for Stages that records decisions. Nodes are ready at once and end a round after removal."""

    def __init__(self, stages):
        self.stages, self.decisions, self.gone = stages, [], []

    def place(self, slot, version, zone, cell, warm):
        self.decisions.append(("place", slot, version))
        self.stages.slots[slot].ready = True

    def remove(self, slot):
        self.decisions.append(("remove", slot))
        self.gone.append(("gone", slot))

    def __getattr__(self, name):
        return lambda *fields: self.decisions.append((name, *fields))


@pytest.fixture
def stages():
    rollout = Rollout(
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
    rollout.__dict__["vote_allowance"] = 10
    stages = Stages(rollout, 4, 2, 4)
    stages.writer = RecordingWriter(stages)
    stages.round(0.0, [("begin",)], stages.writer)
    return stages


def run_round(stages, now, *events):
    gone, stages.writer.gone = stages.writer.gone, []
    stages.round(now, [*gone, *events], stages.writer)


def test_a_build_is_promoted_through_its_stages_and_replaces_the_old_nodes(stages):
    run_round(stages, 100.0, ("offered", 2))
    run_round(stages, 200.0)
    run_round(stages, 900.0, ("vote", "0", 1, 0, 2, PROMOTE))
    assert stages.stage == 0, "promoted before its soak time"
    run_round(stages, 1300.0)
    assert (stages.phase, stages.stage, stages.cap) == (TRIAL, 1, 1.0)
    run_round(stages, 1400.0)
    run_round(stages, 2500.0, ("vote", "0", 2, 1, 2, PROMOTE))
    assert stages.phase == RELEASED and sum(s.leaving for s in stages.slots.values()) == 4


def test_rollback_lowers_the_cap_before_nodes_are_removed(stages):
    run_round(stages, 100.0, ("offered", 2))
    run_round(stages, 200.0, ("vote", "0", 1, 0, 2, ROLL_BACK))
    assert stages.phase == ROLLING_BACK and stages.cap == 0.0
    run_round(stages, 300.0)
    kinds = [decision[0] for decision in stages.writer.decisions]
    assert kinds.index("answer") < kinds.index("stage", kinds.index("answer")) < kinds.index("remove")
    run_round(stages, 400.0)
    assert stages.phase == WITHDRAWN and not [s for s in stages.slots.values() if s.version == 2]


def test_votes_are_checked_rate_limited_and_expire(stages):
    run_round(stages, 100.0, ("offered", 2))
    run_round(
        stages,
        200.0,
        ("vote", "0", 1, 1, 2, PROMOTE),
        ("vote", "0", 2, 0, 1, ROLL_BACK),
        ("vote", "0", 3, 0, 2, PROMOTE),
    )
    assert [d[3] for d in stages.writer.decisions if d[0] == "answer"] == [MOOT, MOOT, SUCCEEDED]
    run_round(stages, 210.0, *[("vote", "1", n, 1, 2, PROMOTE) for n in range(30)])
    assert [d[3] for d in stages.writer.decisions if d[0] == "answer"].count(FULL) >= 10
    run_round(stages, 5500.0)
    assert stages.stage == 0, "an expired vote promoted the stage"


def test_hold_votes_of_a_majority_stop_promotion_until_they_end(stages):
    run_round(stages, 100.0, ("offered", 2))
    run_round(stages, 200.0, *[("vote", p, 1, 0, 2, PROMOTE) for p in "0123"])
    run_round(stages, 900.0, ("vote", "1", 2, 0, 2, HOLD), ("vote", "2", 2, 0, 2, HOLD))
    run_round(stages, 1000.0, ("vote", "3", 2, 0, 2, HOLD))
    run_round(stages, 3000.0)
    assert stages.stage == 0, "earlier PROMOTE votes promoted it while a site was unreachable"
    run_round(stages, 3100.0, ("vote", "3", 3, 0, 2, NO_VOTE))  # two of four hold it: not a majority
    assert stages.stage == 1
    run_round(stages, 3200.0, *[("vote", p, 4, 1, 2, HOLD) for p in "0123"])
    run_round(stages, 4300.0, ("vote", "0", 5, 1, 2, ROLL_BACK))
    assert stages.phase == ROLLING_BACK, "HOLD votes kept a bad build on trial"


def test_a_second_offer_rolls_back_the_first(stages):
    run_round(stages, 100.0, ("offered", 2))
    run_round(stages, 200.0, ("offered", 3), ("offered", 3), ("offered", 2))
    for now in (300.0, 400.0, 500.0):
        run_round(stages, now)
    assert (stages.version, stages.phase, stages.queue) == (3, TRIAL, [])


def test_restore_counts_the_downtime_as_soak_time(stages):
    run_round(stages, 100.0, ("offered", 2))
    run_round(stages, 200.0)
    run_round(stages, 300.0, ("vote", "0", 1, 0, 2, PROMOTE))
    saved = json.loads(json.dumps(stages.saved()))
    restored = Stages.__new__(Stages)
    restored.__dict__.update(stages.__dict__, slots={}, votes={})
    restored.writer = RecordingWriter(restored)
    restored.restore(50000.0, saved, 600.0)  # 600 ms down: 100 + 600 ms of the soak time are over
    run_round(restored, 50200.0)
    assert restored.stage == 0
    run_round(restored, 50400.0)
    assert restored.stage == 1 and set(restored.slots) >= set(stages.slots)


# ---- webhooks ----


def standard_webhook_headers(body, delivery_id="d1", timestamp=1000, secret=SECRET):
    signature = base64.b64encode(hmac.digest(secret, f"{delivery_id}.{timestamp}.".encode() + body, "sha256"))
    return [
        (b"webhook-id", delivery_id.encode()),
        (b"webhook-timestamp", b"%d" % timestamp),
        (b"webhook-signature", b"v1," + signature),
    ]


def github_headers(body, delivery_id="d1", secret=SECRET):
    return [
        (b"x-github-delivery", delivery_id.encode()),
        (b"x-hub-signature-256", b"sha256=" + hmac.digest(secret, body, "sha256").hex().encode()),
    ]


BODY = b'{"build": 7}'
CLOUD_EVENT = json.dumps(
    dict(specversion="1.0", source="/ci", id="e9", type="x", data=dict(build=7))
).encode()
PIPELINE = webhooks.Pipeline("ci", [SECRET, OTHER_SECRET], 2, 100)


@pytest.mark.parametrize(
    "headers, body, delivery_id",
    [
        (standard_webhook_headers(BODY), BODY, "d1"),
        (github_headers(BODY), BODY, "d1"),
        (standard_webhook_headers(BODY, secret=OTHER_SECRET), BODY, "d1"),
        (
            standard_webhook_headers(CLOUD_EVENT)
            + [(b"content-type", b"application/cloudevents+json; charset=utf-8")],
            CLOUD_EVENT,
            "/ci e9",
        ),
        (
            github_headers(BODY) + [(b"ce-specversion", b"1.0"), (b"ce-source", b"/ci"), (b"ce-id", b"e9")],
            BODY,
            "/ci e9",
        ),
        (
            [
                *standard_webhook_headers(BODY)[:2],
                (b"webhook-signature", b"v1,bm9wZQ== v2,x " + standard_webhook_headers(BODY)[2][1]),
            ],
            BODY,
            "d1",
        ),
    ],
)
def test_published_webhook_formats_are_accepted(headers, body, delivery_id):
    assert webhooks.check(PIPELINE, headers, body, 1000.0, 300.0) == (delivery_id, 7)


def test_a_build_is_read_in_every_spelling_of_a_whole_number():
    for body in (b'{"build": 7.0}', b'{"build": 70E-1, "size": NaN}'):
        assert webhooks.check(PIPELINE, github_headers(body), body, 1000.0, 300.0) == ("d1", 7)


def signed_at(timestamp):
    """A delivery whose signature is right for this text of a timestamp."""
    signature = hmac.digest(SECRET, b"d1." + timestamp + b"." + BODY, "sha256")
    return [
        (b"webhook-id", b"d1"),
        (b"webhook-timestamp", timestamp),
        (b"webhook-signature", b"v1," + base64.b64encode(signature)),
    ]


@pytest.mark.parametrize(
    "headers, body, status",
    [
        (signed_at(b"100\xb2"), BODY, 400),  # a superscript is a digit, but not one of a number
        (github_headers(b'{"build": 7.5}'), b'{"build": 7.5}', 422),
        (github_headers(b'{"build": "7"}'), b'{"build": "7"}', 422),
        ([], BODY, 401),
        (standard_webhook_headers(BODY), b'{"build": 8}', 401),
        (standard_webhook_headers(BODY, secret=b"x" * 16), BODY, 401),
        (github_headers(BODY), BODY + b" ", 401),
        (standard_webhook_headers(BODY, timestamp=1), BODY, 401),
        (standard_webhook_headers(BODY, timestamp=99999), BODY, 401),
        ([(b"x-hub-signature-256", b"sha256=zz")], BODY, 401),
        ([(b"x-hub-signature-256", b"sha1=" + b"00" * 20)], BODY, 401),
        (github_headers(b"[1"), b"[1", 400),
        (github_headers(b"[]"), b"[]", 400),
        (github_headers(b"{}"), b"{}", 422),
        (github_headers(b'{"build": true}'), b'{"build": true}', 422),
        (github_headers(b'{"build": 1}'), b'{"build": 1}', 403),
        (github_headers(b'{"build": 999}'), b'{"build": 999}', 403),
        (github_headers(BODY, delivery_id=""), BODY, 400),
        (github_headers(BODY, delivery_id="x" * 300), BODY, 400),
        (
            github_headers(BODY) + [(b"ce-specversion", b"0.3"), (b"ce-source", b"/ci"), (b"ce-id", b"e9")],
            BODY,
            400,
        ),
        ([(b"webhook-signature", b"v1,x"), (b"webhook-timestamp", b"soon")], BODY, 400),
    ],
)
def test_unauthentic_or_invalid_webhooks_are_refused(headers, body, status):
    with pytest.raises(webhooks.Refused) as refused:
        webhooks.check(PIPELINE, headers, body, 1000.0, 300.0)
    assert refused.value.status == status and "secret" not in refused.value.why


# ---- durable state ----


def start_controller(path, log=None):
    fleet = load.parse(schema.Fleet, FLEET, "f")
    controller = Controller(
        fleet, schema.Controller(), load.deployment(fleet, 0, "", 1.0).rollout, 2, log or Log()
    )
    controller.store = Store(path)
    controller.join_election()
    return controller


def deliver(controller, body=BODY, delivery_id="d1", **options):
    """The controller's (status, text) for a webhook."""
    return controller.handle_delivery(
        {"ci": PIPELINE}, 300.0, b"POST", b"/hooks/ci", github_headers(body, delivery_id, **options), body
    )


def test_a_repeated_delivery_gets_the_first_answer_even_after_a_restart(tmp_path):
    controller = start_controller(tmp_path / "s")
    controller.round(controller.event_queue.drain())
    first = deliver(controller)
    assert first[0] == 202 and deliver(controller) == first
    controller.round(controller.event_queue.drain())
    assert (controller.stages.version, controller.stages.phase) == (7, TRIAL)
    restarted = start_controller(tmp_path / "s")
    assert deliver(restarted) == first and (restarted.stages.version, restarted.stages.phase) == (7, TRIAL)
    assert (
        deliver(restarted, delivery_id="d2")[0] == 409 and deliver(restarted, b'{"build": 8}', "d3")[0] == 202
    )
    assert [m["what"] for m in restarted.store.history()] == ["offered", "stage"]


def test_an_answered_offer_survives_a_crash_before_the_next_round(tmp_path):
    controller = start_controller(tmp_path / "s")
    controller.round(controller.event_queue.drain())
    assert (
        deliver(controller)[0] == 202 and deliver(controller, b'{"build": 8}', "d2")[0] == 202
    )  # crashes before its next round
    restarted = start_controller(tmp_path / "s")
    assert restarted.stages.queue == [7, 8]
    restarted.round([])  # the next round begins the trial
    assert restarted.stages.version == 7


def test_no_decision_is_sent_that_could_not_be_stored(tmp_path):
    log = Log()
    controller = start_controller(tmp_path / "s", log)
    controller.round(controller.event_queue.drain())

    class RecordingLink:
        sent = []

        def put(self, *message):
            self.sent.append(message)

    controller.links["0"] = link = RecordingLink()
    controller.store.db.execute("PRAGMA query_only=ON")  # like a full disk: every write fails
    controller.round([("offered", 7)])
    assert log.said("state not kept") and not link.sent and deliver(controller, b'{"build": 9}')[0] == 503
    controller.store.db.execute("PRAGMA query_only=OFF")
    controller.round([])
    assert link.sent and Store(tmp_path / "s").restore()[0]["ver"] == 7


def test_a_store_of_a_later_version_or_an_invalid_file_is_refused(tmp_path):
    Store(tmp_path / "s").db.execute("PRAGMA user_version=99")
    with pytest.raises(BadStore, match="later version"):
        Store(tmp_path / "s")
    (tmp_path / "t").write_bytes(b"no database at all, by any means" * 40)
    with pytest.raises(BadStore):
        Store(tmp_path / "t")


def test_a_snapshot_is_complete(tmp_path):
    controller = start_controller(tmp_path / "s")
    controller.round(controller.event_queue.drain())
    controller.store.snapshot(tmp_path / "copy")
    assert Store(tmp_path / "copy").restore()[0] == controller.store.restore()[0]
    assert host.wall() > 0
