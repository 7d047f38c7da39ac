"""Emulated nodes on loopback sockets: places filled and emptied as the controller says, troubled as the script says.

Every dispatch that reaches a node is a row of what crossed its socket, with the effect that it had.
"""

import json

from .. import host
from ..records import Table
from ..proxy.links import Epochs, StreamLink
from ..wire import control_pb2 as c, frames, http
from ..wire.asking import receive_request
from .fleet import Fleet, Place, served_row
from .model import REFUSED, TAKEN, TOPPLED, Job


class Machines(StreamLink):
    """To the controllers: places come in, what runs there goes out."""

    def __init__(self, kitchen, to):
        super().__init__(to, kitchen.log, host.chance(kitchen.day.seed, 22), "control", 4096)
        self.kitchen, self.check = kitchen, Epochs().check

    def hello(self):
        return c.Hello(role=c.MACHINES, id="kitchen")

    def connected(self):
        for place in self.kitchen.places.values():
            self.kitchen.report(place, 0)
        self.kitchen.tell(c.Report(all=True))

    def on_refusal(self, message):
        self.turned_away = True  # it stands by: another acts

    def on_place(self, message):
        host.spawn(self.kitchen.place, message)

    def on_remove(self, message):
        host.spawn(self.kitchen.remove, message)


class Kitchen(Fleet):
    def __init__(self, day, control, folder, start, log):
        """`start` is the clock time at which the script's day begins."""
        super().__init__(day, start)
        self.log = log
        self.link = Machines(self, control) if control else None
        self.served, self.life = Table(folder, "dispatches", "kitchen"), Table(folder, "nodes", "kitchen")
        self.done = host.Once()
        self.clock, self.later = host.now, host.later

    # ---- the link to the controller ----

    def run(self):
        self.schedule_troubles()
        if self.link is None:  # by itself: the fleet at rest, for whoever is pointed at it
            for slot in range(self.day.fleet["nodes"]):
                self.place(
                    c.Place(
                        slot=slot,
                        build=1,
                        zone=slot % len(self.day.zones),
                        warm=True,
                        cell=slot // self.day.fleet["cell"],
                    )
                )
            return
        self.link.run()

    def tell(self, report):
        """Without a link it is left: the next one begins with all that runs."""
        if self.link is not None and self.link.out is not None:  # an empty box is false
            self.link.out.put(frames.pack(report=report))

    def report(self, place, delay):
        """The platform hears of a process late, and only whether it runs."""
        if place.state == "down" and not place.incarnation:
            return
        state = {"up": c.READY, "draining": c.DRAINING}.get(place.state, c.GONE)
        born = place.node.born if place.node and not place.node.warm else None
        facts = dict(
            id=place.at,
            zone=place.zone,
            build=place.build,
            kind=0,
            cell=place.cell,
            state=state,
            heft=1.0,
            incarnation=place.incarnation,
        )

        def tell():
            age = host.now() - born if born is not None else -1.0
            self.tell(c.Report(slot=place.slot, node=c.Node(age=age, **facts)))

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
        try:
            place.listener = host.Listener(place.at)
        except OSError as trouble:
            self.log.warning("place cannot listen", slot=place.slot, why=str(trouble))
            host.later(200, self.up, place, warm)
            return
        place.at = place.listener.where
        self.equip(place, warm)
        self.note_address(place)
        host.spawn(host.serve, place.listener, lambda stream: self.handle(place, stream), self.log, 2000)
        self.report(place, 0 if warm else self.day.fleet["told"])

    def note_address(self, place):
        if self.link is None:
            self.log.info("node", slot=place.slot, at=place.at, zone=self.day.zones[place.zone])

    def note(self, place, what):
        node = place.node
        self.life.add(
            host.now(),
            place.at,
            place.slot,
            place.incarnation,
            place.build,
            place.zone,
            place.cell,
            what,
            node.cores * node.speed,
            1.0 if node.warm else node.cold,
            0.0 if node.warm else node.cold_for,
        )

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
        self.tell(
            c.Report(
                slot=message.slot,
                node=c.Node(
                    id=place.at if place else "", state=c.GONE, incarnation=place.incarnation if place else 0
                ),
            )
        )

    # ---- one connection ----

    def handle(self, place, stream):
        node, incarnation = place.node, place.incarnation
        place.streams.add(stream)
        node.connected = len(place.streams)
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
        except (OSError, host.Timeout, http.BadRequest):
            pass
        finally:
            place.streams.discard(stream)
            node.connected = len(place.streams)
            stream.close()

    def work(self, place, node, stream, request, came):
        """The answer's bytes, or None where nobody waits for one."""
        _, path, headers, body, keep = request
        proxy = (http.header(headers, b"gannet-from") or b"").decode("latin-1")
        number = int(proxy.rpartition("/")[2]) if proxy.rpartition("/")[2].isdigit() else -1
        self.while_severed(place, number)
        if path == b"/-/shallow":  # beside the queue: says only that the process runs
            return http.answer(200, [self.reported(place)], b"ok\n", keep)
        if path == b"/-/deep":  # waits and is served as an invocation is
            headers = [(b"x-work-ms", b"1"), (b"x-request-id", b"probe")]

        def get(name):
            return (http.header(headers, name) or b"").decode("latin-1")

        op, mark = path[1:].decode("latin-1"), get(b"idempotency-key")
        job = Job(
            get(b"x-request-id"),
            proxy,
            int(get(b"gannet-dispatch") or 0),
            op,
            self.effects.get(op, "side-effecting"),
            mark,
            float(get(b"x-work-ms") or 10.0),
            came,
        )
        job.done = host.Once()
        lag = self.lag(place, number)
        host.sleep(lag)
        verdict, begun = self.met(place, job)
        self.schedule(place, node, begun)
        if verdict == TOPPLED:
            self.row(place, job, "lost", False)
            self.down(place, "toppled", self.day.fleet["told"])
            return None
        if verdict == REFUSED:
            self.row(place, job, "refused", False)
            return http.answer(503, [(b"gannet-unseen", b"1"), self.reported(place)], b"full\n", keep)
        assert verdict == TAKEN
        place.jobs[id(job)] = job
        try:
            data = stream.recv_or(job.done, 65536)
        except OSError:
            data = b""
        if data is not None:
            # The proxy is gone or sent out of turn: its dispatch is called off.
            if id(job) not in place.jobs:
                return None  # lost with its process, and written down as that: one dispatch is one row
            never = node.drop(job, self.day.fleet["cancelled"] == "stops")
            if never or self.day.fleet["cancelled"] == "stops":
                del place.jobs[id(job)]
                self.row(place, job, "cancelled", False)
                self.schedule(place, node, node.begin(host.now()))
            return None
        host.sleep(lag)
        self.while_severed(place, number)
        if job.done.value() is None:
            return None
        failed, _ = job.done.value()
        return http.answer(
            500 if failed else 200,
            [(b"x-build", b"%d" % place.build), self.reported(place)],
            b"failed\n" if failed else b"done\n",
            keep,
        )

    def while_severed(self, place, number):
        """What crosses a cut is held and heard once it ends, as a kept stream has it."""
        while self.severed(place, number):
            host.sleep(20)

    def reported(self, place):
        return b"gannet-load", b"queue=%d,inflight=%d" % self.load(place)

    def schedule(self, place, node, begun):
        for job in begun:
            host.later(job.ends - host.now(), self.finish, place, node, job)

    def finish(self, place, node, job):
        if node.silent and place.node is node:
            host.later(50, self.finish, place, node, job)
            return
        if id(job) not in place.jobs or place.node is not node:
            return  # lost with its process, or called off
        del place.jobs[id(job)]
        failed, effect, begun = self.through(place, job)
        self.row(place, job, "error" if failed else "ok", effect)
        job.done.set((failed, effect))
        self.schedule(place, node, begun)

    def row(self, place, job, outcome, effect):
        self.served.add(*served_row(place, job, host.now(), outcome, effect))

    def view(self):
        """Each place as it stands, for whoever asks."""
        now = host.now()
        return [
            dict(
                slot=p.slot,
                address=p.at,
                build=p.build,
                zone=self.day.zones[p.zone],
                state=p.state,
                incarnation=p.incarnation,
                capacity=round(p.node.ramp(now), 3),
                running=len(p.node.running),
                waiting=len(p.node.waiting),
                connections=len(p.streams),
                silent=p.node.silent,
                slow=round(p.node.slow * p.node.leak, 3),
            )
            for _, p in sorted(self.places.items())
            if p.node
        ]

    def show(self, at):
        """Answers any request at `at` with the view, as JSON."""

        def handle(stream):
            try:
                if receive_request(stream, http.RequestReader(8192, 8192), 5000):
                    stream.send(
                        http.answer(
                            200,
                            [(b"content-type", b"application/json")],
                            json.dumps(self.view(), indent=1).encode() + b"\n",
                            False,
                        ),
                        5000,
                    )
            except (OSError, host.Timeout, http.BadRequest):
                pass
            finally:
                stream.close()

        listener = host.Listener(at)
        host.spawn(host.serve, listener, handle, self.log, 32)
        return listener.where

    def close(self):
        self.over = True
        self.done.set()
        for place in list(self.places.values()):
            for job in list(place.jobs.values()):
                self.row(place, job, "lost" if job.began is None else "running", False)
        self.served.close()
        self.life.close()
