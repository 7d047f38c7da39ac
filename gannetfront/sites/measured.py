"""What sites can carry and are asked for, from records of what crossed the sockets: lines for the fleet's settings. No I/O."""

from collections import defaultdict


def measured(zones, zone_of, tries, dispatches, nodes):
    """({operation: ms of work}, {zone: capacity, ms a ms}, {zone: {operation: invocations a second}}). `zones` are names in the order of
    the settings, `zone_of` {proxy number: zone}; the others rows of the records' tables. Raises ValueError where too little is there."""
    works, slots, asked = defaultdict(list), {}, defaultdict(lambda: defaultdict(set))
    for d in dispatches:
        if d["outcome"] == "ok":
            works[d["operation"]].append(d["work"])
    for row in sorted(nodes, key=lambda n: n["at"]):
        if row["what"] == "up":
            slots[row["slot"]] = (
                row["zone"],
                row["power"],
            )  # its last process: one that was replaced counts once
    for t in tries:
        if t["proxy"] in zone_of:
            asked[zone_of[t["proxy"]]][t["operation"]].add(
                t["work"]
            )  # tries of one client's wish are one invocation
    times = [t["due"] for t in tries]
    if not works or not slots or len(times) < 2 or max(times) <= min(times):
        raise ValueError("no dispatch, node or traffic in the records")
    seconds, capacity = (max(times) - min(times)) / 1000, dict.fromkeys(zones, 0.0)
    for zone, power in slots.values():
        capacity[zones[zone]] += power
    return (
        {op: sum(w) / len(w) for op, w in sorted(works.items())},
        capacity,
        {z: {op: len(some) / seconds for op, some in sorted(asked[z].items())} for z in zones},
    )


def as_settings(works, capacity, traffic):
    """The lines, as protobuf text format; works of operations as remarks, as their lines stand elsewhere."""
    lines = [f"# operation {op}: work: {ms:.1f}" for op, ms in works.items()]
    for zone, power in capacity.items():
        rates = "".join(
            f' traffic {{ operation: "{op}" rate: {rate:.2f} }}' for op, rate in traffic[zone].items()
        )
        lines.append(f'site {{ zone: "{zone}" capacity: {power:.2f}{rates} }}')
    return lines
