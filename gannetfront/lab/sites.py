"""The loss of a site in virtual time: the same cores as at a proxy (sites/monitor.py), over the lab's nodes and clients.

No members: a zone is told by its nodes alone, and nobody leads the return.
"""

from .. import host
from ..interface import CANCELLED, ERROR, GONE
from ..sites.plan import Sites
from ..sites.monitor import TICK, Monitor
from ..sites.shedding import Shedding
from .world import Flight, Shell, Try, World

NOBODY = dict(alone=None, unheard=None)


class AwareShell(Shell):
    def start(self, kept):
        world = self.world
        sites, zone = Sites.of(world.facts), world.day.zones[self.zone]
        mates = len(range(self.zone, world.day.proxies, len(world.day.zones)))
        self.shedding = Shedding(
            sites, list(world.day.operations), sites.work(sites.traffic[zone]) / mates, TICK, world.time
        )
        fleet = world.day.fleet
        self.monitor, self.listed = (
            Monitor(world.day.zones, zone, fleet["cold"], fleet["cold_for"], self.shedding),
            {},
        )
        self.draw = host.Jitter(world.day.seed * 31 + self.number)
        super().start(kept)
        world.later(TICK * self.draw.random(), self.look, self.lives)

    def tell(self, *event):
        if event[0] != "listed" or not self.up:
            return super().tell(*event)
        kind, entries = event[1:]
        self.keep(kind, entries)
        self.listed = {**({} if kind != "changes" else self.listed), **{e[0]: e for e in entries}}
        self.listed = {addr: e for addr, e in self.listed.items() if e[5] != GONE}
        self.hear(kind, entries)

    def hear(self, kind, entries):
        self.carrier.events.append(("listed", kind, self.monitor.entries_for_decisions(entries)))
        self.poke()

    def look(self, life):
        if life != self.lives or not self.up:
            return
        world, entries = self.world, list(self.listed.values())
        out = [(self.listed.get(flight.addr), flight.begun) for flight in self.flights.values()]
        for zone, addr in self.monitor.to_probe(world.time, entries, out, self.draw.random):
            place = world.by_addr.get(addr)  # answers as they would come, at once
            fine = (
                place is not None
                and place.state != "down"
                and not place.node.silent
                and not world.severed(place, self.number)
            )
            self.monitor.on_probe(world.time, zone, addr, fine, 1.0)
        _, moved, gone = self.monitor.tick(world.time, entries, {}, NOBODY)
        stage, _, _, _, ver, phase = world.stage_facts()
        word = self.monitor.stage_vote(world.time, stage, ver, phase, entries)
        if word and not self.cut():
            world.later(world.wire(), world.control, "vote", self.number, self.lives, *word)
        if moved:
            self.hear("changes", entries)
            for flight in list(self.flights.values()):
                if self.monitor.zone_of(self.listed.get(flight.addr)) in gone:
                    flight.land(CANCELLED)
        world.later(TICK, self.look, life)

    def told_as(self, flight, status):
        entry = self.listed.get(flight.addr)
        self.monitor.on_outcome(
            self.world.time,
            entry,
            status,
            self.world.time - flight.begun,
            flight.held.context.intent.op["slo"],
        )
        return self.monitor.status_for_decisions(entry, status)

    def vote(self, stage, ver, verdict):
        if self.monitor.withholds_vote(verdict, ver, self.listed.values()):
            self.tell("stage_told", True, stage, 0.0, 0.0, ERROR, ver, 0)
        else:
            super().vote(stage, ver, verdict)


class AwareTry(Try):
    def arrive(self, life):
        shell = self.shell
        if life == shell.lives and not self.over:
            op = self.world.op_of[self.arrival.operation]
            shell.shedding.on_request(op)
            if shell.shedding.refuses(op, shell.draw.random()):
                self.answered("throttled", self.world.day.rules["advice"] * (0.5 + 0.5 * shell.draw.random()))
                return
        super().arrive(life)


class AwareWorld(World):
    """A World whose script has `sites`."""

    SHELL, FLIGHT, TRY = AwareShell, Flight, AwareTry


def world_of(day, *facts, **named):
    """The world that plays a script: with sites where it says so."""
    return (AwareWorld if day.sites and day.sites["acts"] else World)(day, *facts, **named)
