"""Emulated nodes on loopback sockets: places filled and emptied as the controller says, troubled as the script says.

Every dispatch that reaches a node is a row of what crossed its socket, with the effect that it had.
"""
from .. import host
from ..records import Table
from ..wire import control_pb2 as c, frames, http
from .model import REFUSED, TAKEN, TOPPLED, Job, Marks, Node, Shared

EFFECTS = {"idempotent": False, "fingerprinted": True, "side-effecting": True}


class Place:
    def __init__(self, slot, build, zone, cell):
        self.slot, self.build, self.zone, self.cell = slot, build, zone, cell
        self.at, self.incarnation, self.listener, self.node, self.streams = "127.0.0.1:0", 0, None, None, set()
        self.state, self.jobs, self.stuck = "down", {}, False


class Kitchen:
    def __init__(self, day, control, folder, start, log):
        """`start` is the clock time at which the script's day begins."""
        self.day, self.control, self.start, self.log = day, control, start, log
        self.places, self.marks, self.shared = {}, {}, Shared()
        self.served, self.life = Table(folder, "dispatches", "kitchen"), Table(folder, "nodes", "kitchen")
        self.chance, self.count, self.out = host.chance(day.seed, 21), 0, host.Mailbox(4096)
        self.zone_of = [day.zones[n % len(day.zones)] for n in range(day.proxies)]
        self.effects = {name: op["effect"] for name, op in day.operations.items()}
        self.done, self.pending = host.Once(), []

    def now(self):
        return host.now() - self.start

    # ---- the link to the controller ----

    def run(self):
        for trouble in self.day.troubles:
            if hasattr(self, "on_" + trouble.kind):
                host.later(trouble.at - self.now(), self.trouble, trouble, True)
                host.later(trouble.until - self.now(), self.trouble, trouble, False)
        while not self.done.ready():
            try:
                stream = host.connect(self.control, 1000)
            except host.Refused:
                host.sleep(100)
                continue
            writer = host.spawn(self.write, stream)
            try:
                reader = frames.FrameReader()
                stream.send(frames.pack(hello=c.Hello(role=c.MACHINES, id="kitchen")))
                for place in self.places.values():
                    self.report(place, 0)
                while True:
                    data = stream.recv(65536, 10000)
                    if not data:
                        break
                    for name, message in reader.feed(data):
                        if name == "place":
                            host.spawn(self.place, message)
                        elif name == "remove":
                            host.spawn(self.remove, message)
            except (OSError, host.Late, frames.BadFrame) as trouble:
                self.log.warning("control broke", why=str(trouble))
            host.stop(writer)
            stream.close()

    def write(self, stream):
        try:
            while True:
                stream.send(self.out.take(1000) or frames.pack(alive=c.Alive()), 4000)
        except (OSError, host.Late):
            stream.close()

    def report(self, place, delay):
        """The platform hears of a process late, and only whether it runs."""
        if place.state == "down" and not place.incarnation:
            return
        state = {"up": c.READY, "draining": c.DRAINING}.get(place.state, c.GONE)
        born = place.node.born if place.node and not place.node.warm else None
        facts = dict(id=place.at, zone=place.zone, build=place.build, kind=0, cell=place.cell, state=state,
                     heft=1.0, incarnation=place.incarnation)

        def tell():
            age = host.now() - born if born is not None else -1.0
            self.out.put(frames.pack(report=c.Report(slot=place.slot, node=c.Node(age=age, **facts))))
        if delay > 0:
            host.later(delay, tell)
        else:
            tell()

    # ---- lives of nodes ----

    def place(self, message):
        if message.slot in self.places:
            return
        place = self.places[message.slot] = Place(message.slot, message.build, message.zone, message.cell)
        if not message.warm:
            host.sleep(self.day.fleet["boot"] * (0.7 + 0.6 * self.chance.random()))
        self.up(place, message.warm)

    def up(self, place, warm=False):
        if place.state != "down" or self.places.get(place.slot) is not place:
            return
        fleet, rules = self.day.fleet, self.day.rules
        bad = self.day.offers[place.build - 2] if 2 <= place.build < 2 + len(self.day.offers) else None
        try:
            place.listener = host.Listener(place.at)
        except OSError as trouble:
            self.log.warning("place cannot listen", slot=place.slot, why=str(trouble))
            host.later(200, self.up, place, warm)
            return
        place.at, place.incarnation = place.listener.where, place.incarnation + 1
        spread = 1 + fleet["spread"] * (2 * host.chance(self.day.seed, 31, place.slot).random() - 1)
        place.node = Node(fleet["cores"], fleet["speed"] * spread, fleet["queue"], fleet["cold"], fleet["cold_for"],
                          rules["multiple"], rules["overload_for"], host.now(), warm,
                          (bad.form, bad.size, bad.operation) if bad else ("", 0.0, ""),
                          host.chance(self.day.seed, 41, place.slot, place.incarnation))
        place.state, place.jobs = "up", {}
        self.note(place, "up")
        for trouble in self.day.troubles:
            if trouble.at <= self.now() < trouble.until and trouble.kind not in ("crash", "drain"):
                self.trouble(trouble, True, place)
        host.spawn(host.serve, place.listener, lambda stream: self.handle(place, stream), self.log, 2000)
        self.report(place, 0 if warm else self.day.fleet["told"])

    def note(self, place, what):
        node = place.node
        self.life.add(host.now(), place.at, place.slot, place.incarnation, place.build, place.zone, place.cell, what,
                      node.cores * node.speed, 1.0 if node.warm else node.cold, 0.0 if node.warm else node.cold_for)

    def down(self, place, what, told):
        """Its process ends at once: connections are reset, what it worked on is lost."""
        if place.state == "down":
            return
        place.state = "down"
        place.listener.close()
        for stream in list(place.streams):
            stream.reset()
        for job in list(place.jobs.values()):
            self.row(place, job, "lost", False)
            job.done.set(None)
        place.jobs = {}
        self.note(place, what)
        self.report(place, told)

    def remove(self, message):
        place = self.places.get(message.slot)
        if place and place.state == "up":
            place.state = "draining"
            self.note(place, "draining")
            host.sleep(message.drain)
        if place:
            self.down(place, "stopped", 0)
            self.places.pop(message.slot, None)
        # Said in any case: a place that was still starting, or lay crashed, is empty now as well.
        self.out.put(frames.pack(report=c.Report(slot=message.slot, node=c.Node(
            id=place.at if place else "", state=c.GONE, incarnation=place.incarnation if place else 0))))

    # ---- one connection ----

    def handle(self, place, stream):
        node, incarnation = place.node, place.incarnation
        place.streams.add(stream)
        reader = http.RequestReader(65536, 8 << 20)
        try:
            while True:
                while not reader.ready:
                    data = stream.recv(65536, 120000)
                    if not data:
                        return
                    came = host.now()
                    reader.feed(data)
                while node.silent and place.incarnation == incarnation:
                    host.sleep(20)
                answer = self.work(place, node, stream, reader.ready.pop(0), came)
                if answer is None or place.incarnation != incarnation:
                    return
                stream.send(answer, 5000)
        except (OSError, host.Late, http.BadRequest):
            pass
        finally:
            place.streams.discard(stream)
            stream.close()

    def work(self, place, node, stream, request, came):
        """The answer's bytes, or None where nobody waits for one."""
        _, path, headers, body, keep = request
        get = lambda name: (http.header(headers, name) or b"").decode("latin-1")
        op, mark, proxy = path[1:].decode("latin-1"), get(b"idempotency-key"), get(b"gannet-from")
        job = Job(get(b"x-request-id"), proxy, int(get(b"gannet-dispatch") or 0), op,
                  self.effects.get(op, "side-effecting"), mark, float(get(b"x-work-ms") or 10.0), came)
        job.done = host.Once()
        self.lag(place, proxy)
        marks = self.group(place, op)
        if job.effect == "fingerprinted" and marks.known(mark, host.now()):
            job.work = 1.0      # a repeat of what has had its effect is known and dropped
        if place.build > 1 and node.form == "shared":
            self.shared.lately.append(host.now())
        size = max((o.size for o in self.day.offers if o.form == "shared"), default=0.0)
        base = node.slow
        node.slow = base * self.shared.slow(host.now(), size, self.day.traffic["rate"])
        verdict, begun = node.arrive(host.now(), job)
        node.slow = base
        self.schedule(place, node, begun)
        if verdict == TOPPLED:
            self.row(place, job, "lost", False)
            self.down(place, "toppled", self.day.fleet["told"])
            return None
        if verdict == REFUSED:
            self.row(place, job, "refused", False)
            return http.answer(503, [(b"gannet-unseen", b"1"), *self.load(place)], b"full\n", keep)
        assert verdict == TAKEN
        self.count += 1
        place.jobs[id(job)] = job
        try:
            data = stream.recv_or(job.done, 65536)
        except OSError:
            data = b""
        if data is not None:
            # The proxy is gone or sent out of turn: its dispatch is called off.
            never = node.drop(job, self.day.fleet["cancelled"] == "stops")
            if never or self.day.fleet["cancelled"] == "stops":
                place.jobs.pop(id(job), None)
                self.row(place, job, "cancelled", False)
                self.schedule(place, node, node.begin(host.now()))
            return None
        self.lag(place, proxy)
        if job.done.value() is None:
            return None
        failed, _ = job.done.value()
        return http.answer(500 if failed else 200, [(b"x-build", b"%d" % place.build), *self.load(place)],
                           b"failed\n" if failed else b"done\n", keep)

    def schedule(self, place, node, begun):
        for job in begun:
            host.later(job.ends - host.now(), self.finish, place, node, job)

    def finish(self, place, node, job):
        if node.silent and place.node is node:
            host.later(50, self.finish, place, node, job)
            return
        if id(job) not in place.jobs or place.node is not node:
            return      # lost with its process, or called off
        del place.jobs[id(job)]
        now = host.now()
        failed, begun = node.finish(now, job)
        if self.day.fleet["errors"] and node.chance.random() < self.day.fleet["errors"]:
            failed = True
        effect, marks = False, self.group(place, job.op)
        if EFFECTS[job.effect] and (not failed or not job.fails and node.chance.random() < 0.5):
            effect = True
            if job.effect == "fingerprinted":
                effect = not marks.known(job.mark, now)
                if effect:
                    marks.keep(job.mark, now, self.day.operations[job.op]["window"])
        self.row(place, job, "error" if failed else "ok", effect)
        job.done.set((failed, effect))
        self.schedule(place, node, begun)

    def row(self, place, job, outcome, effect):
        self.served.add(job.request, job.proxy, job.seq, job.op, job.mark, place.at, place.incarnation, place.build,
                        place.zone, place.cell, job.came, job.began, host.now(), outcome, effect, job.work)

    def group(self, place, op):
        kind = self.day.operations.get(op, {}).get("group", "all")
        key = (op, place.zone, place.cell if kind == "cell" else -1) if kind != "all" else (op,)
        return self.marks.setdefault(key, Marks())

    def lag(self, place, proxy):
        name = proxy.rpartition("/")[2]
        home = self.zone_of[int(name)] if name.isdigit() and int(name) < len(self.zone_of) else None
        for trouble in self.day.during("slow_link", self.now()):
            here = self.day.zones[place.zone]
            if home and home != here and trouble.zone in (home, here):
                host.sleep(trouble.ms / 2)

    def load(self, place):
        queue, inflight = len(place.node.waiting), len(place.node.running)
        if place.stuck:
            queue, inflight = 0, 0      # a false report: idle, whatever it holds
        return [(b"gannet-load", b"queue=%d,inflight=%d" % (queue, inflight))]

    # ---- troubles of the script ----

    def trouble(self, trouble, begins, only=None):
        if not hasattr(self, "on_" + trouble.kind) or self.done.ready():
            return
        if only is None:
            self.log.info("trouble", kind=trouble.kind, begins=begins)
        base = self.day.fleet["nodes"]
        struck = self.day.struck(trouble, base) if hasattr(trouble, "share") else set(range(base))
        for place in [only] if only else list(self.places.values()):
            if place.slot % base in struck and place.node:
                getattr(self, "on_" + trouble.kind)(trouble, place, begins)
        if trouble.kind == "shared_slow":
            self.shared.x = trouble.x if begins else 1.0

    def on_crash(self, trouble, place, begins):
        if begins:
            self.down(place, "crashed", self.day.fleet["told"])
        elif place.state == "down" and place.slot in self.places:
            host.later(self.day.fleet["boot"], self.up, place)

    def on_vanish(self, trouble, place, begins):
        place.node.silent = begins
        self.note(place, "silent" if begins else "heard")

    def on_slow(self, trouble, place, begins):
        place.node.slow *= trouble.x if begins else 1 / trouble.x

    def on_neighbour(self, trouble, place, begins):
        """A greedy program takes the machine in bursts, every so often, for half the time."""
        node = place.node

        def swing(high):
            if self.now() >= trouble.until or place.node is not node:
                high = False
            node.slow *= trouble.x if high else 1.0 if node.pulsed is False else 1 / trouble.x
            node.pulsed = high
            if self.now() < trouble.until and place.node is node:
                host.later(trouble.every / 2, swing, not high)
        if begins:
            node.pulsed = False
            swing(True)

    def on_fast_errors(self, trouble, place, begins):
        place.node.fail_fast = trouble.p if begins else 0.0

    def on_heavy_tail(self, trouble, place, begins):
        place.node.tail[trouble.operation] = (trouble.p, trouble.x) if begins else (0.0, 1.0)

    def on_slow_class(self, trouble, place, begins):
        place.node.extra[trouble.operation] = trouble.ms if begins else 0.0

    def on_false_reports(self, trouble, place, begins):
        place.stuck = begins

    def on_shared_slow(self, trouble, place, begins):
        pass    # of the fleet, not of a place

    def on_drain(self, trouble, place, begins):
        if begins and place.state == "up":
            place.state = "draining"
            self.note(place, "draining")
            self.report(place, 0)
            host.later(self.day.rollout["drain"], self.renew, place)

    def renew(self, place):
        """Drained: stopped, then back at another address."""
        self.down(place, "stopped", 0)
        place.at = "127.0.0.1:0"
        host.later(self.day.fleet["boot"], self.up, place)

    def close(self):
        self.done.set()
        for place in list(self.places.values()):
            for job in list(place.jobs.values()):
                self.row(place, job, "lost" if job.began is None else "running", False)
        self.served.close()
        self.life.close()
