"""The freeze calendar: periods in which no stage is promoted, as date ranges or weekly ranges in UTC. No
I/O."""

from datetime import datetime, timezone

WEEKDAYS = "mon tue wed thu fri sat sun".split()
MINUTES_PER_WEEK = 7 * 1440


def parse_date(text):
    """Converts '2026-12-24 18:00' or '2026-12-24' (UTC) to Unix time in seconds; raises ValueError."""
    try:
        return datetime.fromisoformat(text).replace(tzinfo=timezone.utc).timestamp()
    except ValueError:
        raise ValueError(f"'{text}' is not a date of the form 2026-12-24 18:00") from None


def minute_of_week(text):
    """Converts 'fri 18:00' to minutes since Monday 00:00; raises ValueError."""
    day, _, time = text.strip().lower().partition(" ")
    hour, _, minute = time.partition(":")
    if (
        day not in WEEKDAYS
        or not (hour + minute).isdigit()
        or len(minute) != 2
        or int(hour) > 24
        or int(minute) > 59
    ):
        raise ValueError(f"'{text}' is not a time of the week of the form fri 18:00")
    return (WEEKDAYS.index(day) * 1440 + int(hour) * 60 + int(minute)) % MINUTES_PER_WEEK


class Calendar:
    """The configured freezes of one controller."""

    def __init__(self, freezes):
        """Each freeze has `begin`, `end` and `why`: two dates, or two times of the week. Raises
        ValueError."""
        self.date_ranges, self.weekly_ranges = [], []
        for freeze in freezes:
            if freeze.begin[:3].lower() in WEEKDAYS:
                self.weekly_ranges.append(
                    (minute_of_week(freeze.begin), minute_of_week(freeze.end), freeze.why)
                )
                continue
            begin, end = parse_date(freeze.begin), parse_date(freeze.end)
            if end <= begin:
                raise ValueError(f"freeze ends at {freeze.end}, before its begin at {freeze.begin}")
            self.date_ranges.append((begin, end, freeze.why))

    def freeze_reason(self, unix_time):
        """The reason of the freeze in force at `unix_time` (seconds), or None."""
        for begin, end, why in self.date_ranges:
            if begin <= unix_time < end:
                return why
        minute = (unix_time / 60 + 3 * 1440) % MINUTES_PER_WEEK  # 1970-01-01 was a Thursday
        for begin, end, why in self.weekly_ranges:
            # A range whose end precedes its begin wraps around the end of the week.
            if begin <= minute < end if begin < end else minute >= begin or minute < end:
                return why
        return None
