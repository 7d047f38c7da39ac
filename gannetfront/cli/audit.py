"""gannet-audit: judges the five rules from records of what crossed the sockets."""

import json
from collections import Counter
from pathlib import Path

import click

from .. import records
from ..audit import admission, duties, evidence, sites
from ..audit.rules import Judge, service
from ..config import schema_pb2 as schema
from ..release.store import Store
from ..trail import log as trail
from ..trail.records import Damaged
from .common import settings

RULES = {
    "answered": "one final answer in time",
    "effects": "no effect twice",
    "drains": "nothing new after a drain",
    "cold": "no cold node pushed over",
    "exposure": "exposure within the cap",
}


def judge(folder, grace=20.0, slack=60.0, allow=2000.0):
    """(verdict, facts) of a day's folder."""
    fleet = settings(schema.Fleet, f"{folder}/fleet.textproto")
    tables = {name: records.read(folder, name) for name in records.TABLES}
    one = Judge(fleet, *(tables[n] for n in ("tries", "dispatches", "nodes", "told", "events")), grace, slack)
    builds = Counter((d["build"], d["outcome"]) for d in tables["dispatches"])
    ends = Counter((t["operation"], t["answer"]) for t in tables["tries"])
    phases = {}
    for row in sorted(tables["told"], key=lambda r: r["at"]):
        if row["kind"] == "stage":
            phases[row["build"]] = row["phase"]
    facts = dict(
        service=round(service(fleet, tables["tries"]), 4),
        tries=len(tables["tries"]),
        dispatches=len(tables["dispatches"]),
        toppled=sum(n["what"] == "toppled" for n in tables["nodes"]),
        ends={f"{op} {answer}": n for (op, answer), n in sorted(ends.items())},
        builds={
            str(b): {o: n for (x, o), n in sorted(builds.items()) if x == b}
            for b in sorted({b for b, _ in builds})
        },
        phases={
            str(b): ("trial", "going back", "released", "withdrawn")[p] for b, p in sorted(phases.items())
        },
    )
    verdict, facts["not judged"] = one.verdict(), one.not_judged
    facts["admission"] = admission.judge(tables["tries"], tables["events"], allow)
    held = duties.of_day(tables["acts"], tables["events"])
    if held:
        facts["duties"] = (
            sum(c for c, _ in held.values()),
            [f"{duties.RULES[n]}: {s}" for n, (_, some) in held.items() for s in some],
        )
        facts["held by"] = len(
            {(a["duty"], a["round"], a["number"], a["life"]) for a in tables["acts"] if a["how"] == "done"}
        )
    zones = {}
    for path in Path(folder).glob("proxy*.textproto"):
        mine = settings(schema.Proxy, str(path))
        zones[mine.me] = mine.zone or fleet.zone[0]
    lost = sites.judge(
        fleet, dict(sorted(zones.items())), *(tables[n] for n in ("tries", "dispatches", "events"))
    )
    if lost:
        facts["sites"] = (
            sum(c for c, _ in lost.values()),
            [f"{sites.RULES[n]}: {s}" for n, (_, some) in lost.items() for s in some],
        )
    kept, wrong = {}, []
    for path in sorted(Path(folder).glob("trail.*")):
        try:
            kept[path.name.split(".", 1)[1]] = trail.read(path)
        except Damaged as damage:
            wrong.append(str(damage))
    if kept or wrong:
        of = {name.removeprefix("proxy"): rows for name, rows in kept.items() if name.startswith("proxy")}
        checked, stories = evidence.trails(
            fleet, tables["tries"], tables["dispatches"], of, tables["events"], slack
        )
        facts["trail"] = checked, wrong + stories
    if (Path(folder) / "release.db").exists():
        moves = Store(Path(folder) / "release.db").history(10**6)
        facts["webhooks"] = evidence.webhooks(tables["events"], moves)
    return verdict, facts


def report(verdict, facts, most=5):
    """(lines, exit status): 0 kept, 1 broken, 2 too thin to judge, 4 the machine stood still where it mattered."""
    lines, broken, thin, still = [], 0, [], facts.get("not judged", {})
    for n, (name, (checked, stories)) in enumerate(verdict.items(), 1):
        broken += bool(stories)
        thin += [] if checked else [name]
        lines.append(
            f"{n} {RULES[name]}: {checked} checked, {len(stories)} broken"
            + (f"; {still[name]} not judged: the machine stood still" if name in still else "")
        )
        lines += [f"    {story}" for story in stories[:most]]
    lines.append(
        f"service {facts['service']:.3f}; {facts['tries']} tries, {facts['dispatches']} dispatches, "
        f"{facts['toppled']} nodes fell over"
    )
    for build, outcomes in facts["builds"].items():
        lines.append(
            f"build {build} ({facts['phases'].get(build, 'at rest')}): "
            + ", ".join(f"{o} {n}" for o, n in outcomes.items())
        )
    broken_too = 0
    for name, what in (
        ("admission", "admission by the directory"),
        ("trail", "trails against the sockets"),
        ("webhooks", "webhooks in and out"),
        ("duties", f"duties, {facts.get('held by', 0)} times begun"),
        ("sites", "sites lost"),
    ):
        if facts.get(name):
            checked, wrong = facts[name]
            broken_too += bool(wrong)
            lines.append(f"{what}: {checked} checked, {len(wrong)} wrong")
            lines += [f"    {story}" for story in wrong[:most]]
    lines.append(
        f"rules kept {len(verdict) - broken}/5" + (f"; too thin to judge: {', '.join(thin)}" if thin else "")
    )
    return lines, 1 if broken or broken_too else 2 if thin else 4 if still else 0


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True))
@click.option("--json", "as_json", is_flag=True)
@click.option("--slack", default=60.0, show_default=True, help="ms that a dispatch may be on its way")
@click.option("--most", default=5, show_default=True, help="breaches of a rule told in full")
def main(folder, as_json, slack, most):
    """Judge the records in FOLDER: exit 0 kept, 1 broken, 2 too thin to judge, 4 not judged in part."""
    verdict, facts = judge(folder, slack=slack)
    lines, status = report(verdict, facts, most)
    if as_json:
        click.echo(
            json.dumps(dict(facts, rules={n: dict(checked=c, broken=s) for n, (c, s) in verdict.items()}))
        )
    else:
        click.echo("\n".join(lines))
    raise SystemExit(status)


if __name__ == "__main__":
    main()
