"""Who was let in: judged from what clients saw and what the directory held. No I/O.

A tenant that is in the directory and was never turned away for good; one that is not, and got in later than `allow` ms after
it went (while the directory was away, after it was back). Never a proxy's own word.
"""


def judge(tries, events, allow):
    """(tries checked, [story]) or None where the day had no directory."""
    here = sorted(
        (e["at"], e["what"] == "directory here")
        for e in events
        if e["what"] in ("directory here", "directory away")
    )
    if not here:
        return None
    gone = {}
    for e in sorted(events, key=lambda e: e["at"]):
        if e["what"] in ("tenant gone", "tenant here"):
            gone.setdefault(e["who"], []).append((e["at"], e["what"] == "tenant gone"))

    def told(at):
        """When a change made at `at` could first be read: at once, or when the directory was back."""
        state = [is_here for t, is_here in here if t <= at]
        if not state or state[-1]:
            return at
        return next((t for t, is_here in here if t > at and is_here), float("inf"))

    checked, stories = 0, []
    for t in tries:
        checked += 1
        news = gone.get(t["tenant"], [])
        before = [(at, is_gone) for at, is_gone in news if at <= t["ended"]]
        if t["answer"] == "succeeded":
            if t["tenant"] == "nobody":
                stories.append(f"{t['request']}: '{t['tenant']}' is in no directory and got in")
            elif before and before[-1][1] and t["sent"] > told(before[-1][0]) + allow:
                stories.append(
                    f"{t['request']}: '{t['tenant']}' got in {t['sent'] - told(before[-1][0]):.0f} ms after it could be "
                    "known that it is gone"
                )
        elif t["status"] == 403 and t["tenant"] != "nobody":
            # Turned away for good though it is there, and had been for longer than the news takes.
            last = [at for at, is_gone in news if at <= t["ended"] + 1]
            is_gone_lately = any(
                is_gone
                and at <= t["ended"]
                and all(told(x) + allow > t["sent"] for x, back in news if not back and x > at)
                for at, is_gone in news
            )
            if not last or not is_gone_lately:
                stories.append(
                    f"{t['request']}: '{t['tenant']}' is in the directory and was refused for good"
                )
    return checked, stories
