"""Does nothing but write down when it could not: `python -m gannetfront.day.witness FOLDER CORE|disk|queue`, until it is told to end.

A verdict on time must tell a program that was late from a machine that stood still. What a program does to itself, these processes
do not feel: they share nothing with any of them but the machine. One looks at the clock on each core, as a core may be held up alone;
one writes to the disk and waits for it, as the trails do; one reads how long the kernel kept each of the day's processes waiting for a
core though they had something to do (schedstat; what a process spends on a core itself is not in it).
"""

import json
import os
import sys

from .. import host
from ..records import Table

EVERY, FELT, LOOK = (
    5.0,
    5.0,
    20.0,
)  # ms: from one look to the next; how late is written down; between looks at the queues


def waited(pid):
    """ms for which a process has waited for a core since its start; None where the kernel does not tell."""
    try:
        return int(host.read_file(f"/proc/{pid}/schedstat").split()[1]) / 1e6
    except (OSError, AttributeError, IndexError, ValueError):
        return None


class Queue:
    def __init__(self, folder, events):
        self.file, self.events, self.before, self.at = f"{folder}/pids", events, {}, host.now()

    def look(self):
        host.sleep(LOOK)
        begin, self.at = self.at, host.now()
        for name, pid in json.loads(host.read_file(self.file) or b"{}").items():
            now, before = waited(pid), self.before.get(pid)
            if now is not None:
                self.before[pid] = now
                if before is not None and now - before > 1.0:
                    self.events.add(begin, "kept from running", name, f"{now - before:.1f}")


class Clock:
    def __init__(self, core, events):
        self.core, self.events = core, events
        if hasattr(os, "sched_setaffinity"):
            try:
                os.sched_setaffinity(0, {int(core)})
            except OSError:
                pass  # not a core of ours: it watches from wherever it is put

    def look(self):
        before = host.now()
        host.sleep(EVERY)
        late = host.now() - before - EVERY
        if late > FELT:
            self.events.add(before, "machine held up", self.core, f"{late:.1f}")


class Disk:
    def __init__(self, folder, events):
        self.file, self.events = host.AppendFile(f"{folder}/witness"), events

    def look(self):
        before = host.now()
        self.file.append(b"here\n")
        took = host.now() - before
        if took > FELT:
            self.events.add(before, "disk held up", "disk", f"{took:.1f}")
        host.sleep(2 * EVERY)


def main(folder, what):
    events, done = Table(folder, "events", f"witness{what}"), host.Once()
    one = (
        Disk(folder, events)
        if what == "disk"
        else Queue(folder, events)
        if what == "queue"
        else Clock(what, events)
    )
    host.on_signal(("SIGTERM", "SIGINT"), done.set)
    while not done.ready():
        one.look()
    events.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
