"""Whether a site that is back was let in by steps, judged from what its nodes were sent. No I/O.

The quickest ramp that docs/sites.md allows is that of whoever leads the return: settled for a second, then a step every half second. What a
proxy, and all of them together, sent there in the first two seconds is held against it. Only invocations that began in that time count:
what was sent into the loss may reach a node as the site comes back.
"""

from collections import Counter
from math import sqrt

RAMP = (1000.0, 0.0), (500.0, 0.1), (500.0, 0.3)  # ms, and part of the site's usual weight
WATCHED = sum(span for span, _ in RAMP)  # ms from the site's return
USUAL_SPAN = 10000.0  # ms before the loss, of which the usual shares are taken
LEAST_USUAL = 25  # dispatches in it, below which they say nothing
LEFT_OUT_SPAN = 1000.0  # ms before the return in which a proxy that knew of the loss sends nothing there
LEAST_LOSS = 4000.0  # ms that a loss lasts at least, to be known and to have ended everywhere
SIGMAS, FREE = 3.0, 2.0  # of chance beside the mean, and dispatches beside that
DISTURBANCES = "proxy killed", "proxy started", "stalled", "continued"


def strikes(events):
    """[(since, until, site)] of the sites that the day's script took away."""
    return [(e["at"], float(e["detail"]), e["who"]) for e in events if e["what"] == "site struck"]


def allowed(sent, odds):
    """Dispatches to the site, of `sent` in all; `odds` is its usual share against that of the others that are there."""
    mean = sum(sent * span / WATCHED * part * odds / (1 + part * odds) for span, part in RAMP)
    return mean + SIGMAS * sqrt(mean) + FREE


class Returns:
    """Rows as records.TABLES names their columns; `zones` are names in the order of the settings."""

    def __init__(self, zones, tries, dispatches, events):
        self.zones, self.events = zones, events
        self.struck = strikes(events)
        self.began = {t["request"]: t["sent"] for t in tries}
        self.by_proxy = {}
        for dispatch in dispatches:
            self.by_proxy.setdefault(dispatch["proxy"], []).append(dispatch)

    def judge(self):
        """(checked, [story])."""
        checked, stories = 0, []
        for since, until, site in self.struck:
            if not self.judgeable(since, until, site):
                continue
            all_got, all_sent, all_allowed_of = 0, 0, []
            for proxy, rows in sorted(self.by_proxy.items()):
                if self.disturbed(proxy, until):
                    continue
                odds = self.odds(rows, site, since, until)
                got, sent = self.first_seconds(rows, site, until)
                if odds is None or not sent or not self.left_out(rows, site, until):
                    continue
                checked += 1
                most = allowed(sent, odds)
                if got > most:
                    stories.append(self.story(proxy, got, sent, site, most))
                all_got, all_sent = all_got + got, all_sent + sent
                all_allowed_of.append((sent, odds))
            if all_sent:
                checked += 1
                mean_odds = sum(sent * odds for sent, odds in all_allowed_of) / all_sent
                most = allowed(all_sent, mean_odds)
                if all_got > most:
                    stories.append(self.story("all proxies", all_got, all_sent, site, most))
        return checked, stories

    def judgeable(self, since, until, site):
        again = any(other == site and abs(begin - until) < WATCHED for begin, _, other in self.struck)
        return until - since >= LEAST_LOSS and not again

    def disturbed(self, proxy, until):
        """True for one that began anew or stood still around the return: it has not seen the loss as the others have."""
        number = proxy.rpartition("/")[2]
        return any(
            e["what"] in DISTURBANCES
            and e["who"] == number
            and until - LEAST_LOSS <= e["at"] <= until + WATCHED
            for e in self.events
        )

    def odds(self, rows, site, since, until):
        usual = Counter(self.zones[d["zone"]] for d in rows if since - USUAL_SPAN <= d["came"] < since)
        away = {zone for begin, end, zone in self.struck if begin < until + WATCHED and end > until}
        others = sum(count for zone, count in usual.items() if zone != site and zone not in away)
        if sum(usual.values()) < LEAST_USUAL or not others:
            return None
        return usual[site] / others

    def left_out(self, rows, site, until):
        last = [self.zones[d["zone"]] for d in rows if until - LEFT_OUT_SPAN <= d["came"] < until]
        return bool(last) and last.count(site) <= 1

    def first_seconds(self, rows, site, until):
        """(dispatches to the site, all dispatches) of invocations that began in the watched time."""
        first = [
            self.zones[d["zone"]]
            for d in rows
            if until <= d["came"] < until + WATCHED and self.began.get(d["request"], 0.0) >= until
        ]
        return first.count(site), len(first)

    @staticmethod
    def story(who, got, sent, site, most):
        return f"{who} sent {got} of {sent} to {site} in the first {WATCHED:.0f} ms of its return, {most:.1f} allowed"
