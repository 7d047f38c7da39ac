"""One proxy process under drawn clients, nodes, signals and, on some runs, a crowd; judged from what crossed the sockets.

`python tests/soak.py FIRST LAST [JOBS]` plays these seeds, JOBS at a time, and prints a line for each.
"""

import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from copy import deepcopy

import hostile_clients as hostile
from edge_process import EdgeProcess
from edge_rig import SETTINGS, Client, PgNode, fields, insert, row, said, select
from gannetfront import host
from gannetfront.wire import pg

SPAN = 12000.0  # ms of a run
ADMITTED_AFTER_STOP = 300.0  # ms after SIGTERM in which new connections keep coming
LATE_COMER = 700.0  # ms after SIGTERM: what came later is lost if the kill finds it unanswered
KILL_DELAY = 700.0  # ms beyond the longest time limit from SIGTERM to SIGKILL at the earliest
GRACE = 500.0  # ms past its time until a request without its final answer is lost
AFTER_CLOSE = 100.0  # ms after a client's close in which an attempt may still begin
TIME_SLACK = 150.0  # ms that an attempt may tell its server beyond what is left to the client
SERVED_AT_LEAST = 0.5  # of what usual clients ask
CROWDS = [
    hostile.half_a_large_request,
    hostile.slow_large_requests,
    hostile.start_with_many_short_fields,
    hostile.many_large_requests_at_once,
    hostile.answers_left_unread,
    hostile.written_ahead,
    hostile.flood_of_empty_queries,
    hostile.flood_of_unsound_requests,
    hostile.flood_under_new_names,
    hostile.open_connections,
]


def settings():
    told = deepcopy(SETTINGS)
    told["ceilings"]["mostHeld"] = 20000
    for operation in told["classes"]:
        operation["giveUpMs"], operation["aimMs"] = 1500.0, 600.0
    return told


LONGEST = 1500.0  # ms, the longest time limit of these settings


def ident_of(sql):
    return sql.split(b"id=")[1].split(b",")[0].decode()


class DrawnNode(PgNode):
    """A node that answers with the request's id as the value, fails by chance, and records (time, id, ms told)."""

    def __init__(self, chance):
        self.chance = chance
        self.runs = []
        self.work = chance.uniform(5, 40)
        self.faults = chance.uniform(0, 0.12)
        super().__init__()

    def handle(self, stream):
        self.streams.append(stream)
        try:
            for sql in self.requests(stream):
                run = host.now(), ident_of(sql), float(sql.split(b",d=")[1].split(b",")[0].split()[0])
                self.runs.append(run)
                if not self.answer(stream, sql, run):
                    return
        except (OSError, host.Timeout):
            pass
        finally:
            stream.close()

    def answer(self, stream, sql, run):
        """Answers one statement; returns whether the connection goes on."""
        chance = self.chance
        host.sleep(chance.expovariate(1 / self.work))
        fault = chance.choice(("error", "full", "reset", "close", "hang", "cut", "slow"))
        whole = row(ident_of(sql).encode())
        if chance.random() >= self.faults:
            stream.send(whole, 1000)
        elif fault == "error":
            stream.send(said(b"XX000"), 1000)
        elif fault == "full":
            self.runs.remove(run)  # turned away: it has not run
            stream.send(said(b"53300"), 1000)
        elif fault == "hang":
            stream.recv(1, 5000)
            return False
        elif fault == "cut":
            stream.send(whole[:25], 1000)
            return False
        elif fault == "slow":
            for byte in whole:
                stream.send(bytes([byte]), 1000)
                host.sleep(0.3)
        else:
            if fault == "reset":
                stream.reset()
            return False
        return True


class Asked:
    """One request of a usual client and what became of it."""

    def __init__(self, ident, operation, limit):
        self.ident = ident
        self.operation = operation
        self.limit = limit
        self.sent_at = None
        self.connected_at = None
        self.on_new_connection = True
        self.closed_at = None  # when its client left
        self.ended_at = None
        self.outcome = None  # value, code, "closed", "broken by a kill" or None


class Run:
    """One drawn run."""

    def __init__(self, seed, folder):
        self.chance = chance = random.Random(seed)
        self.seed = seed
        self.nodes = [DrawnNode(random.Random(seed * 100 + n)) for n in range(chance.randint(3, 6))]
        self.memory_mb = chance.choice((32, 64, 64, 192))
        self.sockets = chance.choice((256, 1024))
        self.crowd = chance.choice(CROWDS) if chance.random() < 0.5 else None
        self.asked = []
        self.kills = []  # (time of SIGTERM or None, time of SIGKILL)
        self.admitted = True
        self.running = True
        self.problems = []
        self.process = EdgeProcess(
            pathlib.Path(folder),
            *self.nodes,
            memory_mb=self.memory_mb,
            sockets=self.sockets,
            settings=settings(),
        )

    # ---- clients ----

    def client(self, number):
        chance = random.Random(self.seed * 1000 + number)
        connection, count = None, 0
        host.sleep(chance.uniform(0, 300))
        while self.running:
            if connection is None:
                connection = self.connect()
                if connection is None:
                    host.sleep(50)
                    continue
                new = True
            count += 1
            one = Asked(f"{self.seed:04x}{number:04x}{count:06x}", *self.draw_request(chance))
            one.on_new_connection = new
            self.asked.append(one)
            leaves = chance.random() < 0.05
            connection = self.ask(connection, one, leaves, chance)
            new = False
            host.sleep(chance.expovariate(1 / 60))

    @staticmethod
    def draw_request(chance):
        return chance.choice(("look", "look", "place", "debit")), chance.choice((300.0, 800.0, 1500.0))

    def connect(self):
        if not self.admitted:
            return None
        try:
            client = Client(self.process.at, start=False)
            client.connected_at = host.now()
            client.stream.send(pg.startup(b"client", b"core"), 1000)
            return client if client.until(b"Z")[-1] else None
        except (OSError, host.Refused, host.Timeout):
            return None

    def ask(self, connection, one, leaves, chance, again=True):
        """Sends a request and awaits its answer; returns the connection if it stays usable."""
        make, more = (
            (select, "")
            if one.operation == "look"
            else (insert, ",k=5c0f" if one.operation == "place" else "")
        )
        sql = make(one.ident, d=int(one.limit), c=one.operation, more=more)
        one.sent_at, one.connected_at = host.now(), connection.connected_at
        try:
            connection.write(sql)
            if leaves:
                host.sleep(chance.uniform(0, 60))
                one.closed_at = host.now()
                connection.stream.close()
                return None
            outcome = self.read(connection, one)
        except (OSError, host.Timeout) as error:
            outcome = "closed" if isinstance(error, OSError) else None
        one.ended_at = host.now()
        one.outcome = outcome
        if outcome == "closed" and not one.on_new_connection and again and not self.killed_since(one.sent_at):
            # The close may have crossed the request: it is sent once more on a new connection.
            connection = self.connect()
            if connection:
                one.on_new_connection = True
                return self.ask(connection, one, False, chance, again=False)
            one.outcome = "crossed"
        return connection if outcome not in ("closed", None) and connection.stream.open else None

    def read(self, connection, one):
        outcome = "closed"
        while True:
            message = connection.one(one.limit + 2 * GRACE)
            if message is None:
                return outcome
            kind, body = message
            if kind == b"D":
                outcome = body[6:]
            elif kind == b"E":
                told = fields(body)
                outcome = told["C"]
                if told["S"] == "FATAL":
                    connection.stream.close()
                    return outcome
            elif kind == b"Z":
                return outcome

    def killed_since(self, time):
        return any(kill >= time for _, kill in self.kills)

    # ---- signals ----

    def signals(self):
        chance = self.chance
        end = host.now() + SPAN
        while host.now() < end:
            host.sleep(chance.uniform(400, 2500))
            kind = chance.choice(("SIGHUP", "SIGHUP", "SIGTERM", "SIGKILL"))
            if kind == "SIGHUP":
                for _ in range(chance.randint(1, 3)):
                    self.process.signal(signal.SIGHUP)
                    host.sleep(chance.uniform(0, 200))
            else:
                self.restart(host.now() if kind == "SIGTERM" else None)

    def restart(self, stopped_at):
        if stopped_at is not None:
            self.process.signal(signal.SIGTERM)
            host.sleep(ADMITTED_AFTER_STOP)
            self.admitted = False
            host.sleep(LONGEST + KILL_DELAY - ADMITTED_AFTER_STOP)
        self.note_limits()
        if self.process.alive:
            self.process.signal(signal.SIGKILL)
        elif self.process.process.returncode != 0 or stopped_at is None:
            self.problems.append(f"the process ended by itself: {self.process.process.returncode}")
            self.problems.append(self.process.traceback())
        self.kills.append((stopped_at, host.now()))
        self.process.process.wait()
        self.admitted = False
        self.process.start()
        self.admitted = True

    def note_limits(self):
        if not self.process.alive:
            return
        peak, descriptors = self.process.peak_mb(), self.process.descriptors()
        if peak > self.memory_mb:
            self.problems.append(f"memory: {peak:.1f} MB of {self.memory_mb}")
        if descriptors > self.sockets:
            self.problems.append(f"descriptors: {descriptors} of {self.sockets}")
        self.peak = max(getattr(self, "peak", 0.0), peak)

    # ---- the run and its judgement ----

    def play(self):
        clients = [host.spawn(self.client, number) for number in range(self.chance.randint(8, 30))]
        crowd = None
        if self.crowd:
            few = self.crowd.__name__.startswith("flood") or self.crowd is hostile.open_connections
            crowd = hostile.start(self.crowd, self.process.at, SPAN, 2 if few else 300, True)
        self.signals()
        self.running = False
        host.join(clients, 6000)
        self.note_limits()
        if crowd:
            crowd.kill()
            crowd.wait()
        if not self.process.alive:
            self.problems.append("the process ended by itself")
        self.process.close()
        self.judge()

    def judge(self):
        by_ident = {one.ident: one for one in self.asked}
        runs = Counter()
        for node in self.nodes:
            for time, ident, told in node.runs:
                one = by_ident.get(ident)
                if one is None:
                    continue  # of the crowd
                runs[ident] += 1
                if one.closed_at is not None and time > one.closed_at + AFTER_CLOSE:
                    self.problems.append(f"{ident}: an attempt {time - one.closed_at:.0f} ms after the close")
                left = one.limit - (time - one.sent_at)
                if told > left + TIME_SLACK:
                    self.problems.append(f"{ident}: told {told:.0f} ms where {left:.0f} are left")
        for ident, count in runs.items():
            if count > 1 and by_ident[ident].operation == "debit":
                self.problems.append(f"{ident}: side-effecting, ran {count} times")
        served = sum(isinstance(one.outcome, bytes) for one in self.asked)
        if served < SERVED_AT_LEAST * len(self.asked):
            self.problems.append(f"{served} of {len(self.asked)} served")
        for one in self.asked:
            if one.closed_at is None and one.sent_at is not None:
                self.judge_answer(one, runs[one.ident] > 0)

    def judge_answer(self, one, has_run):
        if isinstance(one.outcome, bytes) and one.outcome != one.ident.encode():
            self.problems.append(f"{one.ident}: served {one.outcome!r}")
        if isinstance(one.outcome, bytes) or one.outcome not in (None, "closed", "crossed"):
            if one.ended_at - one.sent_at > one.limit + GRACE:
                self.problems.append(f"{one.ident}: answered after {one.ended_at - one.sent_at:.0f} ms")
            return
        if one.outcome == "crossed" and not has_run or self.is_excused(one):
            return
        self.problems.append(
            f"{one.ident}: lost ({one.outcome}), new connection: {one.on_new_connection}, ran: {has_run},"
            f" out from {one.sent_at:.0f} to {one.ended_at or 0:.0f}, stops and kills {self.kills}"
        )

    def is_excused(self, one):
        """Whether a kill took the request: any kill from outside, or one after a stop that it came before."""
        for stopped_at, killed_at in self.kills:
            if one.connected_at <= killed_at <= one.sent_at:
                return True  # written to a connection of a process that was dead by then
            if one.sent_at <= killed_at and (one.ended_at is None or one.ended_at >= killed_at - 50):
                return stopped_at is None or one.sent_at <= stopped_at + LATE_COMER
        return False

    def line(self):
        served = sum(isinstance(one.outcome, bytes) for one in self.asked)
        answered = sorted(one.ended_at - one.sent_at for one in self.asked if isinstance(one.outcome, bytes))
        p99 = answered[int(0.99 * len(answered))] if answered else 0.0
        crowd = self.crowd.__name__ if self.crowd else "-"
        return (
            f"seed {self.seed}: {len(self.asked)} asked, {served} served, p99 {p99:.0f} ms, {len(self.kills)} restarts,"
            f" {self.memory_mb} MB told, peak {getattr(self, 'peak', 0):.1f}, crowd {crowd}: "
            + (
                "held"
                if not self.problems
                else f"BROKEN {len(self.problems)}: " + "; ".join(self.problems[:6])
            )
        )


def play(seed):
    """Plays one seed; returns the Run."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(seed, folder)
        try:
            run.play()
        finally:
            run.process.close()
    return run


def main(first, last, jobs=3):
    """Plays the seeds in processes of their own, so that one does not hold up the clocks of another."""
    waiting, playing, broken = list(range(int(first), int(last) + 1)), [], 0
    while waiting or playing:
        while waiting and len(playing) < int(jobs):
            playing.append(subprocess.Popen([sys.executable, __file__, str(waiting.pop(0))]))
        host.sleep(100)
        broken += sum(1 for one in playing if one.poll())
        playing = [one for one in playing if one.poll() is None]
    print(f"{int(last) - int(first) + 1} seeds, {broken} broken")
    return int(broken > 0)


if __name__ == "__main__":
    os.chdir(pathlib.Path(__file__).resolve().parent.parent)
    if len(sys.argv) > 2:
        sys.exit(main(*sys.argv[1:]))
    result = play(int(sys.argv[1]))
    print(result.line(), flush=True)
    sys.exit(int(bool(result.problems)))
