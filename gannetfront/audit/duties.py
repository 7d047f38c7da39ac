"""Whether duties were held by one at a time, judged from what was acted upon: each place's own record of acts. No I/O.

A place that was killed and started anew may have forgotten which tokens it saw; that it forgets is no excuse for acting below them.
"""

from collections import defaultdict

ORDERED = ("seal",)  # duties whose acts at all places are one work: its holders' acts may not interleave
RULES = {
    "tokens": "accepted tokens never fall",
    "holders": "no two holders' acts interleave",
    "steps": "each step done once, in order",
    "held": "a holder again in time, nothing left out",
}


def of_day(acts, events):
    """As `judge`, with what a day's events tell: its duties, its bound, and its faults."""
    told = next((e for e in events if e["what"] == "duties"), None)
    if told is None:
        return None
    faults, open_since = [], {}
    for e in sorted(events, key=lambda e: e["at"]):
        if e["what"] in ("stalled", "proxy killed"):
            open_since.setdefault(e["who"], e["at"])
        elif e["what"] in ("continued", "proxy started") and e["who"] in open_since:
            faults.append((open_since.pop(e["who"]), e["at"]))
        elif e["what"] == "link struck":
            faults.append((e["at"], float(e["detail"])))
    last = max((a["at"] for a in acts), default=0.0)
    return judge(acts, faults, float(told["detail"]), last, told["who"].split())


def apart(faults, bound):
    """Faults that others follow before `bound` is over are one."""
    found = []
    for begin, until in sorted(faults):
        if found and begin < found[-1][1] + bound:
            found[-1] = found[-1][0], max(until, found[-1][1])
        else:
            found.append((begin, until))
    return found


def judge(acts, faults=(), bound=None, end=None, duties=()):
    """{rule: (checked, [story])}. `acts` are rows of the table; `faults` [(begin, end)] in which a duty may be without a holder,
    `bound` ms that it may be so after, and `end` when the day ended; `duties` are those that must have been held at all."""
    found = {rule: [0, []] for rule in RULES}
    done = sorted((a for a in acts if a["how"] == "done"), key=lambda a: a["at"])

    def token(a):
        return (a["round"], a["number"], a["life"])

    by_place, by_duty = defaultdict(list), defaultdict(list)
    for a in done:
        by_place[a["duty"], a["place"]].append(a)
        by_duty[a["duty"]].append(a)

    def look(rule, wrong, story):
        found[rule][0] += 1
        if wrong:
            found[rule][1].append(story())

    for (duty, place), some in sorted(by_place.items()):
        for before, after in zip(some, some[1:]):
            look(
                "tokens",
                token(after) < token(before),
                lambda: f"{duty} at {place}: {token(after)} was let act after {token(before)}",
            )
            wrong = (
                after["step"] <= before["step"]
                if duty in ORDERED
                else (token(after), after["step"]) <= (token(before), before["step"])
            )
            look("steps", wrong, lambda: f"{duty} at {place}: step {after['step']} after {before['step']}")
    for duty in ORDERED:
        some = by_duty.get(duty, [])
        for before, after in zip(some, some[1:]):
            look(
                "holders",
                token(after) < token(before),
                lambda: (
                    f"{duty}: {token(after)} acted at {after['place']} after {token(before)} had at {before['place']}"
                ),
            )
            # A follower that could not hear the place that was furthest begins where the others are: order is each place's own.
            look(
                "steps",
                token(after) == token(before) and after["step"] < before["step"],
                lambda: (
                    f"{duty}: step {after['step']} at {after['place']} after {before['step']} at {before['place']}"
                ),
            )
    for duty in duties:
        times = [a["at"] for a in by_duty.get(duty, [])]
        look("held", not times, lambda: f"{duty}: nothing was ever done")
        for begin, until in apart(faults, bound) if bound is not None and duty in ORDERED else ():
            if end is None or until + bound <= end:
                look(
                    "held",
                    not any(until <= t <= until + bound for t in times),
                    lambda: (
                        f"{duty}: nothing done within {bound:.0f} ms after the fault of {begin:.0f} to {until:.0f}"
                    ),
                )
    return {rule: (checked, stories) for rule, (checked, stories) in found.items()}
