"""Whether the loss of a site was met as planned, judged from what clients were told and what nodes were sent. No I/O.

The order of refusal is worked out here from the settings: unprotected operations by value per work, the least first, then those that are
protected, the last named first. Shares are of 2 seconds, so that chance is not taken for a breach.
"""

from collections import defaultdict

from .ramp import DISTURBANCES, Returns, strikes

SPAN, LEAST = 2000.0, 25  # ms; tries of an operation in it, below which its share says nothing
NOTICED, SETTLED = (
    3000.0,
    12000.0,
)  # ms from a loss until it must be acted upon; from its end until all is as before
BEFORE = 0.25  # refused more than one that is to be refused before it: by more than this is a breach
CALM, STRAY = (
    0.1,
    0.03,
)  # shares refused with all sites there; of a proxy's dispatches that still go to a lost one
RULES = {
    "order": "what is refused follows the order",
    "calm": "nothing is refused with all sites there",
    "sent": "nothing new to a site that is lost",
    "ramp": "a site that is back is let in by steps",
}


def order_of(fleet):
    protect = list(fleet.protect)

    def worth(o):
        return o.billed_value / o.work if o.work else float("inf")

    return [
        o.name
        for o in sorted(
            fleet.operation,
            key=lambda o: (1, -protect.index(o.name), o.name) if o.name in protect else (0, worth(o), o.name),
        )
    ]


def judge(fleet, zone_of, tries, dispatches, events):
    """{rule: (checked, [story])}, or None where no plan is acted upon. `zone_of` {proxy number: zone's name}."""
    if not fleet.site_acts:
        return None
    struck = strikes(events)
    other = [e["at"] for e in events if e["what"] in DISTURBANCES]
    found, order = {rule: [0, []] for rule in RULES}, order_of(fleet)
    begin = min((t["sent"] for t in tries), default=0.0)
    seen = defaultdict(lambda: defaultdict(lambda: [0, 0]))
    for t in tries:
        row = seen[int((t["sent"] - begin) / SPAN)][t["operation"]]
        row[0] += 1
        row[1] += t["answer"] == "throttled"

    def look(rule, wrong, story):
        found[rule][0] += 1
        if wrong:
            found[rule][1].append(story)

    for nth, rows in sorted(seen.items()):
        at = begin + nth * SPAN
        shares = {op: rows[op][1] / rows[op][0] for op in order if rows[op][0] >= LEAST}
        lost = [z for since, until, z in struck if since + NOTICED <= at and at + SPAN <= until]
        if lost:
            for nth_op, op in enumerate(order):
                for later in order[nth_op + 1 :]:
                    if op in shares and later in shares:
                        look(
                            "order",
                            shares[later] > shares[op] + BEFORE,
                            f"{later} refused {shares[later]:.2f}, {op} {shares[op]:.2f}, {at - begin:.0f} ms into the day, {', '.join(lost)} lost",
                        )
        elif (
            at > begin + SPAN
            and not any(since - SPAN <= at <= until + SETTLED for since, until, _ in struck)
            and not any(at - SETTLED <= e <= at + SPAN for e in other)
        ):
            for op, share in shares.items():
                look(
                    "calm",
                    share > CALM,
                    f"{op} refused {share:.2f}, {at - begin:.0f} ms into the day, no site lost",
                )
    for since, until, zone in struck:
        some = [d for d in dispatches if since + NOTICED <= d["came"] <= until]
        for proxy, home in zone_of.items():
            if home == zone or any(
                since - NOTICED <= e["at"] <= until
                and e["who"] == str(proxy)
                and e["what"] == "proxy started"
                for e in events
            ):
                continue  # at home of one that is cut off it is the others that are gone; one that begins anew finds out anew
            mine = [d for d in some if d["proxy"] == f"proxy/{proxy}"]
            stray = sum(fleet.zone[d["zone"]] == zone for d in mine)
            if mine:
                look(
                    "sent",
                    stray > STRAY * len(mine) + 2,
                    f"proxy {proxy} sent {stray} of {len(mine)} to {zone}, lost since {since:.0f}",
                )
    found["ramp"] = Returns(list(fleet.zone), tries, dispatches, events).judge()
    return {rule: (checked, stories) for rule, (checked, stories) in found.items()}
