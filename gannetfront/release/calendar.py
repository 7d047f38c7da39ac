"""Times in which no stage moves on, without I/O: spans of dates and weekly ones, in UTC."""

from datetime import datetime, timezone

DAYS = "mon tue wed thu fri sat sun".split()
WEEK = 7 * 1440


def date(text):
    """Seconds of the calendar clock for '2026-12-24 18:00' or '2026-12-24', UTC; raises ValueError."""
    try:
        return datetime.fromisoformat(text).replace(tzinfo=timezone.utc).timestamp()
    except ValueError:
        raise ValueError(f"'{text}' is no date as 2026-12-24 18:00") from None


def minute(text):
    """Minutes into the week for 'fri 18:00'; raises ValueError."""
    day, _, clock = text.strip().lower().partition(" ")
    hour, _, rest = clock.partition(":")
    if day not in DAYS or not (hour + rest).isdigit() or len(rest) != 2 or int(hour) > 24 or int(rest) > 59:
        raise ValueError(f"'{text}' is no time of a week as fri 18:00")
    return (DAYS.index(day) * 1440 + int(hour) * 60 + int(rest)) % WEEK


class Calendar:
    def __init__(self, freezes):
        """`freezes` have `begin`, `end` and `why`: two dates, or two times of the week. Raises ValueError."""
        self.spans, self.weekly = [], []
        for f in freezes:
            if f.begin[:3].lower() in DAYS:
                self.weekly.append((minute(f.begin), minute(f.end), f.why))
                continue
            begin, end = date(f.begin), date(f.end)
            if end <= begin:
                raise ValueError(f"a freeze that ends at {f.end}, before it begins at {f.begin}")
            self.spans.append((begin, end, f.why))

    def frozen(self, wall):
        """Why nothing moves on at `wall` (seconds of the calendar clock), or None."""
        for begin, end, why in self.spans:
            if begin <= wall < end:
                return why
        at = (wall / 60 + 3 * 1440) % WEEK  # the calendar clock began on a Thursday
        for begin, end, why in self.weekly:
            # One that ends before it begins goes over the end of the week.
            if begin <= at < end if begin < end else at >= begin or at < end:
                return why
        return None
