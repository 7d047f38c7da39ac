"""Plans for the loss of a site: nobody is filled past its room, what is refused follows one order, and settings that are wrong are named."""

import json

import pytest
from click.testing import CliRunner
from hypothesis import given, settings, strategies as st

from gannetfront import records
from gannetfront.cli.sites import main
from gannetfront.config import load, schema_pb2 as schema
from gannetfront.interface import FINGERPRINTED, SIDE_EFFECTING
from gannetfront.sites import failure_detector as r
from gannetfront.sites.plan import OperationClass, Sites
from test_audit import play

OPS = {
    "read": OperationClass("read", 60.0, 1.0, None),
    "order": OperationClass("order", 60.0, 5.0, 0),
    "debit": OperationClass("debit", 40.0, 2.0, 1),
}
FLEET = """
zone: "a" zone: "b" zone: "c"
operation { name: "read" effect: "idempotent" work: 60 }
operation { name: "order" effect: "fingerprinted" work: 60 billed_value: 5 window: 4000 }
operation { name: "debit" effect: "side-effecting" work: 40 billed_value: 2 }
rollout { machine_share: 1 cap: 1 }
protect: "order" protect: "debit"
site { zone: "a" capacity: 8 traffic { operation: "read" rate: 50 } traffic { operation: "order" rate: 30 } }
site { zone: "b" capacity: 8 traffic { operation: "read" rate: 50 } traffic { operation: "debit" rate: 25 } }
site { zone: "c" capacity: 8 traffic { operation: "read" rate: 60 } }
"""


def sites(capacity, traffic, price=lambda a, b: 0.0, **facts):
    return Sites(capacity, traffic, OPS, price, **facts)


ZONES = st.integers(2, 6).flatmap(
    lambda n: st.tuples(
        st.lists(st.floats(0.5, 50), min_size=n, max_size=n),
        st.lists(st.fixed_dictionaries({op: st.floats(0, 400) for op in OPS}), min_size=n, max_size=n),
        st.floats(0, 1),
    )
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(ZONES)
def test_every_plan_fits_keeps_what_it_serves_and_refuses_in_order(drawn):
    capacity, traffic, lean = drawn
    one = sites(
        {f"z{n}": c for n, c in enumerate(capacity)},
        {f"z{n}": t for n, t in enumerate(traffic)},
        lambda a, b: 0.1 * abs(int(a[1]) - int(b[1])),
        lean=lean,
    )
    order = one.refusal_order()
    assert order == ["read", "debit", "order"]
    for case in one.loss_cases():
        p = one.plan_for(case)
        assert all(full <= one.fill + 1e-6 for full in p.utilization.values()) and not set(
            p.utilization
        ) & set(case)
        served, done = (
            sum(map(one.work, p.served.values())),
            sum(p.utilization[z] * one.capacity[z] for z in p.utilization),
        )
        assert served == pytest.approx(done, abs=1e-6)
        # All of what is refused earlier is gone before any of what comes later is touched.
        shares = [p.refused.get(op, 0.0) for op in order if any(t.get(op) for t in one.traffic.values())]
        assert all(a > 1 - 1e-9 or b == 0 for a, b in zip(shares, shares[1:]))
        assert all(sum(row.values()) == pytest.approx(1) and a not in row for a, row in p.shares().items())
        assert 0 <= p.value <= 1 + 1e-9


def test_the_lost_sites_load_goes_by_headroom_not_to_the_nearest():
    def near(a, b):
        return 0.0 if (a, b) == ("a", "b") else 0.2

    facts = (
        {"a": 10.0, "b": 10.0, "c": 20.0},
        {"a": {"read": 80.0}, "b": {"read": 80.0}, "c": {"read": 80.0}},
    )
    even = sites(*facts, near).plan_for(["a"])
    assert even.shares()["a"]["b"] == pytest.approx(3.7 / 15.9) and not even.refused
    cheap = sites(*facts, near, lean=1.0).plan_for(["a"])
    assert (
        cheap.shares()["a"]["b"] == pytest.approx(3.7 / 4.8)
        and cheap.utilization["b"] == pytest.approx(0.85)
        and cheap.price() < even.price()
    )


def run(tmp_path, *words, text=FLEET):
    (tmp_path / "f").write_text(text)
    done = CliRunner().invoke(main, [words[0], str(tmp_path / "f"), *words[1:]])
    return done.exit_code, done.output


def test_plan_and_check_as_commands(tmp_path):
    code, said = run(tmp_path, "plan", "--picture", str(tmp_path / "p.svg"))
    assert code == 0 and said.count(" lost: ") == 6 and "refused first to last: read, debit, order" in said
    assert b"<svg" in (tmp_path / "p.svg").read_bytes()
    assert run(tmp_path, "check")[0] == 0
    code, said = run(tmp_path, "check", "--zones", "2", text=FLEET.replace("rate: 30", "rate: 130"))
    assert code == 1 and "a and b lost: " in said and "of order is refused" in said
    for words, text, wrong in (
        (("check", "--protect", "sweep"), FLEET, "no operation sweep"),
        (("plan", "--lost", "moon"), FLEET, "no site moon"),
        (("plan",), FLEET.split("site {")[0], "have no site"),
        (("plan",), FLEET.replace('zone: "c" cap', 'zone: "x" cap'), "site.zone: 'x' is no zone"),
        (("plan",), FLEET.replace('protect: "debit"', 'protect: "order"'), "protect: 'order' stands twice"),
        (("plan",), FLEET.replace("work: 40", ""), "operation.work: is needed"),
    ):
        code, said = run(tmp_path, *words, text=text)
        assert code == 2 and wrong in said and "Traceback" not in said, said


@pytest.mark.parametrize(
    "standstill, effect", [(0, FINGERPRINTED), (3999, FINGERPRINTED), (4000, SIDE_EFFECTING)]
)
def test_marks_that_a_standstill_outlasts_are_not_relied_on(standstill, effect):
    fleet = load.parse(schema.Fleet, f"{FLEET}\nstandstill: {standstill}", "f")
    assert load.deployment(fleet, 0, "a", 5.0).operations[1].effect == effect
    assert any("may stand still for" in line for line in load.advice(fleet)) == (effect == SIDE_EFFECTING)


# ---- what is with a zone ----

CALM = dict(alone=None, unheard=None)
THERE, GONE, HEARSAY, NOBODY = (4, 4, 4), (0, 0, 4), (4, 0, 4), (0, 0, 0)
SEEN = {  # name: (answered, silent) at each of four nodes, members of the zone, what else stands, nodes (ready, listed) -> state
    "all is well": ([(9, 0)] * 4, THERE, {}, (4, 4), r.HEALTHY),
    "some errors of the way": ([(9, 1)] * 4, THERE, {}, (4, 4), r.HEALTHY),
    "a site lost": ([(0, 2)] * 4, GONE, {}, (4, 4), r.LOST),
    "lost, and nobody asks it": ([], GONE, {}, (0, 4), r.LOST),
    "lost, listed gone, no proxies there": ([(0, 2)] * 4, NOBODY, {}, (0, 4), r.LOST),
    "cut off from us": ([(0, 2)] * 4, HEARSAY, {}, (4, 4), r.PARTITIONED),
    "its nodes alone": ([(0, 2)] * 4, THERE, {}, (4, 4), r.UNRESPONSIVE),
    "half of it": ([(9, 0), (9, 0), (0, 3), (0, 3)], THERE, {}, (4, 4), r.PARTIAL),
    "one node of many": ([(9, 0)] * 8 + [(0, 9)], THERE, {}, (9, 9), r.HEALTHY),
    "we are cut off": ([(0, 2)] * 4, GONE, dict(alone=3000.0), (4, 4), r.ISOLATED),
    "one way": ([(0, 2)] * 4, THERE, dict(unheard=3000.0), (4, 4), r.UNHEARD),
    "nothing is known": ([], THERE, {}, (4, 4), r.HEALTHY),
    "its proxies died, its nodes serve": ([(9, 0)] * 4, GONE, {}, (4, 4), r.HEALTHY),
}


def known_zones():
    """Two zones of which something was heard once, and nothing lately."""
    zones = r.FailureDetector(["home", "far"], "home")
    for zone in ("home", "far"):
        zones.on_outcome(-500.0, zone, "n0", True, 50.0)
    assert [(z, state) for z, state, _ in zones.tick(0.0, {}, CALM, {})] == [
        ("home", r.HEALTHY),
        ("far", r.HEALTHY),
    ]
    return zones


def look(zones, now, nodes, heard, more, listed, took=50.0):
    for n, (answered, silent) in enumerate(nodes):
        for fine in [True] * answered + [False] * silent:
            zones.on_outcome(now, "far", f"n{n}", fine, took)
    return zones.tick(now, {"far": heard, "home": THERE}, CALM | more, {"far": listed})


@pytest.mark.parametrize("name", SEEN)
def test_what_is_with_a_zone_is_told_by_symptom_with_its_evidence(name):
    *facts, state = SEEN[name]
    zones = known_zones()
    changed = look(zones, 1000.0, *facts)
    assert zones.zones["far"].state == state and zones.zones["home"].state == r.HEALTHY
    assert [(z, s) for z, s, _ in changed] == ([("far", state)] if state != r.HEALTHY else []) and all(
        e for *_, e in changed
    )


@pytest.mark.parametrize("name", SEEN)
def test_a_zone_of_which_nothing_was_heard_is_away_or_not_known_yet_but_never_whole(name):
    nodes, *facts, state = SEEN[name]
    zones = r.FailureDetector(["home", "far"], "home")
    look(zones, 1000.0, nodes, *facts)
    answered = any(n for n, _ in nodes)
    assert zones.zones["home"].state == r.UNKNOWN == zones.for_dispatches()["home"]
    assert zones.zones["far"].state == (state if answered or state != r.HEALTHY else r.UNKNOWN)
    assert (zones.for_dispatches()["far"] in r.AVAILABLE) == (answered and state in r.AVAILABLE)


def test_one_that_is_away_stays_so_until_something_answers_there():
    zones = known_zones()
    assert look(zones, 1000.0, [(9, 0)] * 4, THERE, {}, (4, 4)) == []
    assert look(zones, 3000.0, [(0, 2)] * 4, GONE, {}, (4, 4))[0][1] == r.LOST
    # Nothing is sent there any more, and its proxies are back before its nodes are.
    for n in range(9):
        assert (
            look(zones, 5000.0 + 500 * n, [], THERE, {}, (4, 4)) == [] and zones.zones["far"].state == r.LOST
        )
    assert look(zones, 12000.0, [(0, 0), (0, 0), (2, 0)], THERE, {}, (4, 4))[0][1] == r.HEALTHY
    assert look(zones, 14000.0, [], THERE, {}, (0, 4))[0][1] == r.UNRESPONSIVE
    # One without nodes is told by its proxies alone, both ways.
    zones = known_zones()
    assert (
        look(zones, 1000.0, [], GONE, {}, (0, 0))[0][1] == r.LOST
        and look(zones, 3000.0, [], THERE, {}, (0, 0))[0][1] == r.HEALTHY
    )
    # Where nobody is heard nothing is said of the others, but what answers nothing is sent nothing.
    zones = known_zones()
    for at, nodes, state in (
        (1000.0, [(9, 0)] * 4, r.HEALTHY),
        (3000.0, [(0, 2)] * 4, r.UNRESPONSIVE),
        (5000.0, [], r.UNRESPONSIVE),
        (7000.0, [(1, 0)], r.HEALTHY),
    ):
        look(zones, at, nodes, GONE, dict(alone=3000.0), (4, 4))
        assert zones.zones["far"].state == r.ISOLATED and zones.for_dispatches()["far"] == state


@pytest.mark.parametrize(
    "asked",
    [[(0, 8)], [(0, 2)], [(0, 1), (0, 1)]],
    ids=["eight times one node", "twice one node", "two nodes once"],
)
@pytest.mark.parametrize(
    "more, first", [({}, r.LOST), (dict(alone=3000.0), r.ISOLATED), (dict(unheard=3000.0), r.UNHEARD)]
)
def test_one_that_is_away_is_not_back_by_fewer_questions_without_an_answer(asked, more, first):
    """A lost site got traffic again for a fraction of a second, in the middle of its loss.

    Its nodes are asked some times a second, drawn by chance. Where the draw met one node only, nothing answered there, and "one node,
    however often it is asked, is no zone" took the place of "lost". From the log of a proxy, zone b silent since 3.5 s:
    `zone=b state=lost`, 1.5 s later `state="in part" evidence="0 answered, 8 not, at 1 nodes"`, `site weights b: 1.0`, then lost again.
    Seen in 3 of 12 plays of the day of test_site_return.py (docs/incidents/away-without-answer.md).
    """
    zones, heard = known_zones(), THERE if first == r.UNHEARD else GONE
    assert look(zones, 1000.0, [(0, 2)] * 4, heard, more, (4, 4))[0][1] == first
    assert zones.for_dispatches()["far"] in r.UNAVAILABLE
    look(zones, 3000.0, asked, heard, {}, (4, 4))
    assert zones.for_dispatches()["far"] in r.UNAVAILABLE
    look(zones, 5000.0, [], heard, {}, (4, 4))
    assert zones.for_dispatches()["far"] in r.UNAVAILABLE
    assert look(zones, 7000.0, [(1, 0)], heard, {}, (4, 4))[0][1] == r.HEALTHY


def test_one_silent_node_is_no_zone_and_other_nodes_are_not_blamed_for_those_before_them():
    zones = known_zones()
    assert look(zones, 1000.0, [(0, 9)], THERE, {}, (3, 3))[0][1] == r.PARTIAL, (
        "the one that is sick was asked by chance"
    )
    assert look(zones, 3000.0, [(0, 9)], THERE, {}, (1, 1))[0][1] == r.UNRESPONSIVE
    assert not zones.reset_if_replaced("far", ["n0", "n5"]) and not zones.reset_if_replaced("far", [])
    assert zones.reset_if_replaced("far", ["n5", "n6"]) and zones.zones["far"].state == r.UNKNOWN
    assert look(zones, 4100.0, [], THERE, {}, (2, 2)) == [] and not zones.reset_if_replaced("far", ["n7"])
    assert look(zones, 4200.0, [(1, 0)], THERE, {}, (2, 2))[0][1] == r.HEALTHY


def test_slow_is_not_gone_and_one_that_comes_and_goes_is_held_for_longer_each_time():
    zones, well, lost = known_zones(), ([(9, 0)] * 4, THERE, {}, (4, 4)), ([(0, 2)] * 4, GONE, {}, (4, 4))
    for n in range(60):
        assert not look(zones, 500.0 * n, *well)
    now = 31000.0
    assert look(zones, now, *well, took=400.0)[0][1] == r.SLOW
    assert look(zones, now + 2000, *well)[0][1] == r.HEALTHY
    held = []
    for turn in range(3):
        now += 8000.0
        assert look(zones, now, *lost)[0][1] == r.LOST
        back = now + 2000.0
        state = look(zones, back, *well)[0][1]
        while state == r.FLAPPING:
            back += 500.0
            changed = look(zones, back, *well)
            state = changed[0][1] if changed else state
        held.append(back - now)
        now = back
    assert held[0] == 2000.0 < held[1] < held[2]


def test_proxies_say_of_a_zone_that_goes_that_it_is_away_and_that_it_is_back(tmp_path):
    """Six processes: the nodes of zone b vanish and its proxies are cut off from the others."""
    code, said = play(tmp_path, AWAY_DAY, "proxy", "")
    assert code in (0, 2) and "rules kept 5/5" in said, said
    for n in (0, 2, 4):
        told = [
            json.loads(line)
            for line in (tmp_path / f"proxy{n}.log").read_text().splitlines()
            if line.startswith("{")
        ]
        states = [e["state"] for e in told if e["event"] == "zone" and e["zone"] == "b"]
        assert set(states) & set(r.UNAVAILABLE), states
        assert states[-1] in (r.HEALTHY, r.SLOW, r.FLAPPING, r.PARTIAL), states
        assert not [
            e
            for e in told
            if e["event"] == "zone" and e["zone"] == "a" and e["state"] in (*r.UNAVAILABLE, r.ISOLATED)
        ]


AWAY_DAY = """
day 15
seed 7
proxies 6
zones a b
fleet nodes=8 boot=200 told=100
traffic rate=160 retries=1
operation read effect=idempotent share=0.7 work=40 limit=900 slo=800
operation debit effect=side-effecting share=0.3 work=40 limit=900 slo=800
members period=100
rules standstill=10000
at 3 for 5 vanish share=1 zone=b
at 3 for 5 link src=b dst=a cut=1
"""


def test_clients_of_a_lost_proxy_go_to_the_others_of_their_list(tmp_path):
    day = (
        AWAY_DAY.split("rules")[0]
        .replace("day 15", "day 9")
        .replace("proxies 6", "proxies 3")
        .replace("retries=1", "retries=0 failover=1")
    )
    code, said = play(tmp_path, day + "at 2 for 5 kill proxy=1\n", "proxy", "")
    assert code in (0, 2) and "rules kept 5/5" in said, said
    tries = sorted(records.read(tmp_path, "tries"), key=lambda t: (int(t["work"]), t["nth"]))
    last = {t["work"]: t for t in tries}
    lost = [t for t in tries if t["answer"] == "unreachable"]
    assert lost and all(t["proxy"] == 1 for t in lost)
    assert all(last[t["work"]]["proxy"] != 1 and last[t["work"]]["answer"] != "unreachable" for t in lost)
    assert sum(t["proxy"] == 1 for t in last.values()) > 50, "and home again"
    # What the day's records say of its sites is what the script made them.
    done = CliRunner().invoke(main, ["measure", str(tmp_path)])
    assert done.exit_code == 0 and "operation read: work: 4" in done.output, done.output
    both = load.parse(
        schema.Fleet,
        FLEET.split("site {")[0].replace("work: 60", "work: 40")
        + "\n".join(
            line for line in done.output.replace('"debit"', '"order"').splitlines() if line.startswith("site")
        ),
        "f",
    ).site
    assert [s.zone for s in both] == ["a", "b"] and sum(
        t.rate for s in both for t in s.traffic
    ) == pytest.approx(160, rel=0.15)


# ---- lost, cut off and back: processes ----

LOST_DAY = """
day 19
seed 9
proxies 6
zones a b c
fleet nodes=9 cores=2 boot=200 told=100 cold=0.5 cold_for=500
traffic rate=100 retries=1 failover=1
operation read effect=idempotent share=0.5 work=120 limit=1500 slo=900
operation order effect=fingerprinted share=0.3 work=120 limit=1500 slo=900 value=5 window=30000
operation debit effect=side-effecting share=0.2 work=120 limit=1500 slo=900 value=2
members period=100
release trail=1
duties electors=3 lease=600 settle=200 every=300
rules standstill=20000 advice=600
sites protect=order,debit return=1
at 3 for 9 vanish zone=a share=1
at 3 for 6 link src=a dst=proxy cut=1
at 4.5 for 4 holder_kill duty=site-return
"""


def told_by(folder, n, *events):
    lines = (folder / f"proxy{n}.log").read_text().splitlines()
    return [
        e for e in map(json.loads, filter(lambda line: line.startswith("{"), lines)) if e["event"] in events
    ]


@pytest.mark.parametrize(
    "guard, wrong",
    [
        ("", None),
        (
            "from gannetfront.sites.shedding import Shedding as S\nold = S.refuses\n"
            "S.refuses = lambda self, op, draw: draw < self.shares.get({0: 1, 1: 0}.get(op, op), 0.0)",
            "follows the order",
        ),
        (
            "from gannetfront.proxy.sites import ProxySites as A\nA.__init__ = lambda self, *x, old=A.__init__: (old(self, *x), setattr(self, 'entries_for_decisions', tuple))[0]",
            "nothing new to a site that is lost",
        ),
    ],
)
def test_a_site_lost_with_who_leads_its_return_is_left_out_and_let_in_by_steps(tmp_path, guard, wrong):
    code, said = play(tmp_path, LOST_DAY, "proxy", guard)
    assert "rules kept 5/5" in said, said
    if wrong:
        assert wrong in said and code == 1, said
        return
    assert code in (0, 2) and "sites lost: " in said and ", 0 wrong" in said.split("sites lost")[1], said
    killed = {e["who"] for e in records.read(tmp_path, "events") if e["what"] == "proxy killed"}
    for n in range(6):
        told = told_by(tmp_path, n, "site weights", "serving")
        last = max(
            at for at, e in enumerate(told) if e["event"] == "serving"
        )  # one that began anew may have had nobody to ask for it
        weights = [e["weights"] for e in told[last + 1 :]]
        assert not weights or weights[-1] == dict(a=1.0, b=1.0, c=1.0), (n, weights)
        if n % 3 and str(n) not in killed:
            assert dict(a=0.0, b=1.0, c=1.0) in weights and sum(0 < w["a"] < 1 for w in weights) >= 1, (
                n,
                weights,
            )
    holders = {
        (a["round"], a["number"])
        for a in records.read(tmp_path, "acts")
        if a["duty"] == "site-return" and a["how"] == "done"
    }
    assert killed and len(holders) >= 2, (killed, holders)


CUT_DAY = (
    LOST_DAY.split("at 3")[0]
    .replace("day 19", "day 24")
    .replace("release trail=1\n", "")
    .replace(
        "rules",
        """rollout shares=0.34,1 caps=0.4,1 soak=2500 window=2000 drain=1000
release standby=1 patience=900 trail=1
offer 2 good
rules""",
    )
    + """
at 4 for 8 sever zone=a
at 4 for 8 link src=a dst=proxy cut=1
at 4 for 8 link src=a dst=release cut=1
"""
)


def test_both_sides_of_a_cut_go_on_and_no_stage_moves_meanwhile(tmp_path):
    code, said = play(tmp_path, CUT_DAY, "proxy", "")
    assert code == 0 and "rules kept 5/5" in said and ", 0 wrong" in said.split("sites lost")[1], said
    both = "".join((tmp_path / f"release.{name}.log").read_text() for name in "ab").splitlines()
    told = sorted((json.loads(line) for line in both if line.startswith("{")), key=lambda e: e["timestamp"])
    # In the controller's own order: once most of the six had said that a site which carries the build is away, no stage moved until
    # one of them took that back.
    holding, most = set(), 0
    for e in told:
        if e["event"] == "vote":
            (holding.add if e["verdict"] == 2 else holding.discard)(e["proxy"])
            most = max(most, len(holding))
        assert e["event"] != "stage" or e.get("why", "") == "offered" or len(holding) < 4, (e, holding)
    assert most >= 4 and [e["phase"] for e in told if e["event"] == "stage" and e["build"] == 2][-1] == 2
    for n in (0, 3):
        seen = [e["weights"] for e in told_by(tmp_path, n, "site weights")]
        assert dict(a=1.0, b=0.0, c=0.0) in seen and seen[-1] == dict(a=1.0, b=1.0, c=1.0), seen
    tries = records.read(tmp_path, "tries")
    begin = min(t["due"] for t in tries)
    for side in ((0, 3), (1, 2, 4, 5)):
        during = [
            t
            for t in tries
            if t["proxy"] in side and t["operation"] == "order" and 6000 < t["due"] - begin < 11000
        ]
        assert sum(t["answer"] == "succeeded" for t in during) > 0.8 * len(during) > 0, (side, len(during))
