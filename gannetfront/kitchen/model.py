"""One emulated order node, without I/O: cores, queue, warm-up, toppling, builds that are bad, marks remembered.

The caller hands in the clock and gets back what it must do: jobs that began come with the time at which they end.
Work is in ms on one core of speed 1.
"""

from collections import deque

REFUSED, TAKEN, TOPPLED = "refused", "taken", "toppled"


class Job:
    def __init__(self, request, proxy, seq, op, effect, mark, work, came):
        self.request, self.proxy, self.seq, self.op, self.effect, self.mark = (
            request,
            proxy,
            seq,
            op,
            effect,
            mark,
        )
        self.work, self.came, self.began, self.ends, self.dropped = work, came, None, None, False


class Marks:
    """Marks remembered by one group of nodes for a window after the first that had its effect."""

    def __init__(self):
        self.kept = {}

    def known(self, mark, now):
        return self.kept.get(mark, -1.0) > now

    def keep(self, mark, now, window):
        self.kept[mark] = now + window
        if len(self.kept) > 200000:
            self.kept = {m: t for m, t in self.kept.items() if t > now}


class Shared:
    """What all nodes of a fleet lean on: slowdowns of everything, and builds that slow old and new alike."""

    def __init__(self):
        self.x, self.lately = 1.0, deque(maxlen=4000)

    def slow(self, now, size, rate):
        """A 'shared' build slows all in step with the part of the traffic that it gets."""
        if not size:
            return self.x
        part = sum(t > now - 1000 for t in self.lately) / max(1.0, rate)
        return self.x * (1 + size * min(1.0, part))


class Node:
    def __init__(
        self,
        cores,
        speed,
        queue,
        cold,
        cold_for,
        multiple,
        overload_for,
        born,
        warm,
        build,
        chance,
        warm_by="time",
        thrash=0.02,
        connections=0.0,
    ):
        """`build` is (form, size, operation); `cold` the part of capacity at the start, `cold_for` ms to the whole
        (sooner with work done where `warm_by` is "work"); `thrash` work added for each job waiting beyond the cores;
        `connections` capacity that a hundred open ones take, as a share."""
        self.by_work, self.thrash, self.tax, self.connected, self.done = (
            warm_by == "work",
            thrash,
            connections,
            0,
            0.0,
        )
        self.leak, self.leak_per = 1.0, 0.0
        self.cores, self.speed, self.most_waiting, self.cold, self.cold_for = (
            cores,
            speed,
            queue,
            cold,
            cold_for,
        )
        self.multiple, self.overload_for, self.born, self.warm = multiple, overload_for, born, warm
        self.form, self.size, self.bad_op = build
        self.chance, self.running, self.waiting = chance, set(), deque()
        self.pushed, self.toppled, self.silent = deque(), False, False
        self.slow, self.fail_fast, self.extra, self.tail = 1.0, 0.0, {}, {}

    def ramp(self, now):
        if self.warm or not self.cold_for:
            return 1.0
        part = max(0.0, now - self.born) / self.cold_for
        if self.by_work:  # never slower than by time
            part = max(part, 2 * self.done / (self.cores * self.speed * self.cold_for))
        return min(1.0, self.cold + (1 - self.cold) * part)

    def pressed(self, now, work):
        """True once what was sent within the span is past the multiple of what a cold node can do."""
        if self.ramp(now) >= 1.0:
            return False
        self.pushed.append((now, work))
        while self.pushed[0][0] <= now - self.overload_for:
            self.pushed.popleft()
        sent = sum(w for _, w in self.pushed)
        return sent > self.multiple * self.cores * self.speed * self.ramp(now) * self.overload_for

    def arrive(self, now, job):
        """(REFUSED | TAKEN | TOPPLED, jobs that began)."""
        if self.pressed(now, job.work):
            self.toppled = True
            return TOPPLED, []
        if self.fail_fast and self.chance.random() < self.fail_fast:
            job.began = job.ends = now
            job.fails = True
            self.running.add(job)
            return TAKEN, [job]
        job.fails = False
        if len(self.running) >= self.cores and len(self.waiting) >= self.most_waiting:
            return REFUSED, []
        self.waiting.append(job)
        return TAKEN, self.begin(now)

    def begin(self, now):
        begun = []
        while self.waiting and len(self.running) < self.cores:
            job = self.waiting.popleft()
            work = job.work * self.slow + self.extra.get(job.op, 0.0) * self.speed
            share, x = self.tail.get(job.op, (0.0, 1.0))
            if share and self.chance.random() < share:
                work *= x
            if self.form == "slow":
                work *= self.size
            work /= self.size if self.form == "good" else 1.0
            # More waiting than cores: switching and memory cost a little each.
            work *= 1 + self.thrash * max(0, len(self.waiting) - self.cores)
            work *= self.leak / max(0.05, 1 - self.tax * self.connected / 100)
            job.began, job.ends = now, now + work / (self.speed * self.ramp(now))
            self.running.add(job)
            begun.append(job)
        return begun

    def busy(self):
        return len(self.running) / self.cores

    def finish(self, now, job):
        """Ends a running job: (failed, jobs that began)."""
        if job not in self.running:
            return True, []
        self.running.discard(job)
        self.done += job.work
        self.leak += self.leak_per  # memory that is never given back: each job costs the next ones more
        return job.fails or self.breaks(now, job), self.begin(now)

    def breaks(self, now, job):
        draw, form, size = self.chance.random(), self.form, self.size
        return (
            form == "errors"
            and draw < size
            or form == "class"
            and job.op == self.bad_op
            and draw < size
            or form == "load"
            and self.busy() + 1 / self.cores > 0.5
            and len(self.waiting) > 0
            and draw < size
            or form == "late"
            and now - self.born > 5000
            and draw < size
        )

    def drop(self, job, stops):
        """Its caller is gone: waiting work is dropped, running work stops or goes on. True if it never began."""
        job.dropped = True
        if job in self.waiting:
            self.waiting.remove(job)
            return True
        if stops:
            self.running.discard(job)
        return False
