"""Runs a program of the project on a disk that fails as a day script says: `python -m gannetfront.day.struck FILE PROGRAM WORDS...`

FILE is JSON: {disk: [[from, until, ms, every, lasts, calls]], clock: [[from, until, rate, set]]}, clock readings and spans in ms,
`set` in seconds. Only this process is touched: its calls to sync, rename and write take their time or fail, as they do on a disk that
stands still or is full; its clock and its waits run at `rate`, its calendar is set by so much. The program knows nothing of it.
"""

import errno
import json
import os
import runpy
import sqlite3
import stat
import sys

from .. import host

OF = dict(
    sync=("fdatasync", "fsync"),
    fdatasync=("fdatasync",),
    fsync=("fsync",),
    rename=("replace",),
    all=("fdatasync", "fsync", "replace"),
    full=("fdatasync", "fsync", "write"),
)


def held(rows, name, now):
    """(ms that a call made now takes, whether it fails)."""
    longest = 0.0
    for begin, until, ms, every, lasts, calls in rows:
        if begin <= now < until and name in OF[calls]:
            into = (now - begin) % every if every else now - begin
            end = min(until, now - into + (lasts if every else until - begin))
            if now < end:
                if calls == "full":
                    return 0.0, True
                longest = max(longest, ms or end - now)
    return longest, False


def strike(rows):
    def struck(name):
        real = getattr(os, name)

        def call(*fields, **named):
            span, full = held(rows, name, host.now())
            if full and (name != "write" or fields[0] > 2 and stat.S_ISREG(os.fstat(fields[0]).st_mode)):
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            if span:
                host.hold_up(span)
            return real(*fields, **named)

        setattr(os, name, call)

    class Connection(sqlite3.Connection):
        """Its syncs are made by the library in C: a commit is where they are."""

        def execute(self, text, *fields):
            if text == "COMMIT":
                span, full = held(rows, "fsync", host.now())
                if full:
                    raise sqlite3.OperationalError("database or disk is full")
                if span:
                    host.hold_up(span)
            return super().execute(text, *fields)

    for name in {n for row in rows for n in OF[row[5]]}:
        struck(name)
    real = sqlite3.connect
    sqlite3.connect = lambda *fields, **named: real(*fields, factory=Connection, **named)


def gained(rows, at):
    """(ms that a clock has gained over the machine's by `at`, its rate then, seconds that its calendar is set by)."""
    ahead, rate, calendar = 0.0, 1.0, 0.0
    for begin, until, fast, by in rows:
        ahead += (fast - 1) * max(
            0.0, min(at, until) - begin
        )  # what it gained stays: no such clock steps back
        if begin <= at < until:
            rate, calendar = fast, calendar + by
    return ahead, rate, calendar


def strike_clock(rows):
    now, wall, sleep, later, park = host.now, host.wall, host.sleep, host.later, host.park

    def real(span):
        return span / gained(rows, now())[1]

    host.now = lambda: now() + gained(rows, now())[0]
    host.wall = lambda: wall() + gained(rows, now())[2]
    host.sleep = lambda span: sleep(real(span))
    host.later = lambda span, *call: later(real(span), *call)
    host.park = lambda wait, limit: park(wait, None if limit is None else real(limit))


def main(file, program, *words):
    facts = json.loads(host.read_file(file))
    strike(facts["disk"])
    if facts["clock"]:
        strike_clock(facts["clock"])
    sys.argv = [program, *words]
    runpy.run_module(program, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main(*sys.argv[1:])
