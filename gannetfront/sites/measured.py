"""Capacity and traffic of sites, measured from the records of a run, as lines for the fleet's settings. No
I/O."""

from collections import defaultdict


def measure_sites(zones, zone_of, tries, dispatches, nodes):
    """({operation: ms of work}, {zone: capacity, ms of work a ms}, {zone: {operation: invocations a
    second}}). `zones` are names in the order of the settings, `zone_of` is {proxy number: zone}; the others
    are rows of the records' tables. Raises ValueError where the records hold too little."""
    works, slots, requested = defaultdict(list), {}, defaultdict(lambda: defaultdict(set))
    for dispatch in dispatches:
        if dispatch["outcome"] == "ok":
            works[dispatch["operation"]].append(dispatch["work"])
    for row in sorted(nodes, key=lambda n: n["at"]):
        if row["what"] == "up":
            slots[row["slot"]] = (
                row["zone"],
                row["power"],
            )  # of the slot's last process: one that was replaced is not counted
    for attempt in tries:
        if attempt["proxy"] in zone_of:
            requested[zone_of[attempt["proxy"]]][attempt["operation"]].add(
                attempt["work"]
            )  # retries of one invocation count once
    times = [attempt["due"] for attempt in tries]
    if not works or not slots or len(times) < 2 or max(times) <= min(times):
        raise ValueError("the records hold no successful dispatch, no node or no traffic")
    seconds, capacity = (max(times) - min(times)) / 1000, dict.fromkeys(zones, 0.0)
    for zone, power in slots.values():
        capacity[zones[zone]] += power
    return (
        {op: sum(w) / len(w) for op, w in sorted(works.items())},
        capacity,
        {z: {op: len(ids) / seconds for op, ids in sorted(requested[z].items())} for z in zones},
    )


def as_settings(works, capacity, traffic):
    """The lines in protobuf text format. The works are comments, as operations are set elsewhere."""
    lines = [f"# operation {op}: work: {ms:.1f}" for op, ms in works.items()]
    for zone, power in capacity.items():
        rates = "".join(
            f' traffic {{ operation: "{op}" rate: {rate:.2f} }}' for op, rate in traffic[zone].items()
        )
        lines.append(f'site {{ zone: "{zone}" capacity: {power:.2f}{rates} }}')
    return lines
