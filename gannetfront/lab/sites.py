"""Simulation of the loss of a site: the monitor of a proxy (sites/monitor.py) over the lab's nodes and
clients.

There is no membership here: the state of a zone follows from its nodes alone, and nobody leads the return.
"""

from .. import host
from ..interface import CANCELLED, ERROR, GONE
from ..sites.plan import Sites
from ..sites.monitor import TICK, Monitor
from ..sites.shedding import Shedding
from .world import Flight, Shell, Try, World

NO_STANDING = dict(alone=None, unheard=None)  # as Members.standing, while nothing is wrong


class SiteAwareShell(Shell):
    """A proxy's runner with a site monitor whose plan is acted upon."""

    def start(self, kept):
        world = self.world
        sites, zone = Sites.of(world.facts), world.day.zones[self.zone]
        zone_proxies = len(range(self.zone, world.day.proxies, len(world.day.zones)))
        self.shedding = Shedding(
            sites,
            list(world.day.operations),
            sites.work(sites.traffic[zone]) / zone_proxies,
            TICK,
            world.time,
        )
        fleet = world.day.fleet
        self.monitor = Monitor(world.day.zones, zone, fleet["cold"], fleet["cold_for"], self.shedding)
        self.listed = {}
        self.site_random = host.Jitter(world.day.seed * 31 + self.number)
        super().start(kept)
        world.later(TICK * self.site_random.random(), self.tick_sites, self.lives)

    def tell(self, *event):
        if event[0] != "listed" or not self.up:
            return super().tell(*event)
        kind, entries = event[1:]
        self.keep(kind, entries)
        self.listed = {**({} if kind != "changes" else self.listed), **{e[0]: e for e in entries}}
        self.listed = {address: e for address, e in self.listed.items() if e[5] != GONE}
        self.notify_decisions(kind, entries)

    def notify_decisions(self, kind, entries):
        """Passes a list on to the decisions, as the monitor adapts it."""
        self.carrier.events.append(("listed", kind, self.monitor.entries_for_decisions(entries)))
        self.poke()

    def tick_sites(self, life):
        """Probes, ticks the monitor and applies the result; called every TICK while this process lives."""
        if life != self.lives or not self.up:
            return
        world, entries = self.world, list(self.listed.values())
        in_flight = [(self.listed.get(flight.addr), flight.begun) for flight in self.flights.values()]
        for zone, address in self.monitor.to_probe(world.time, entries, in_flight, self.site_random.random):
            machine = world.by_addr.get(address)
            answered = (
                machine is not None
                and machine.state != "down"
                and not machine.node.silent
                and not world.severed(machine, self.number)
            )
            self.monitor.on_probe(world.time, zone, address, answered, 1.0)  # at once, as if after 1 ms
        _, weights_changed, stopped = self.monitor.tick(world.time, entries, {}, NO_STANDING)
        stage, _, _, _, version, phase = world.stage_facts()
        pending_vote = self.monitor.stage_vote(world.time, stage, version, phase, entries)
        if pending_vote and not self.cut():
            world.later(world.wire(), world.control, "vote", self.number, self.lives, *pending_vote)
        if weights_changed:
            self.notify_decisions("changes", entries)
            for flight in list(self.flights.values()):
                if self.monitor.zone_of(self.listed.get(flight.addr)) in stopped:
                    flight.land(CANCELLED)
        world.later(TICK, self.tick_sites, life)

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

    def vote(self, stage, version, verdict):
        if self.monitor.withholds_vote(verdict, version, self.listed.values()):
            self.tell("stage_told", True, stage, 0.0, 0.0, ERROR, version, 0)
        else:
            super().vote(stage, version, verdict)


class SiteAwareTry(Try):
    """A client's attempt at a proxy that refuses by the plan."""

    def arrive(self, life):
        shell = self.shell
        if life == shell.lives and not self.over:
            operation = self.world.op_of[self.arrival.operation]
            shell.shedding.on_request(operation)
            if shell.shedding.refuses(operation, shell.site_random.random()):
                self.answered(
                    "throttled", self.world.day.rules["advice"] * (0.5 + 0.5 * shell.site_random.random())
                )
                return
        super().arrive(life)


class SiteAwareWorld(World):
    """The World of a script with `sites`."""

    SHELL, FLIGHT, TRY = SiteAwareShell, Flight, SiteAwareTry


def make_world(day, *args, **kwargs):
    """The World that runs a script, with site monitoring if the script turns it on."""
    return (SiteAwareWorld if day.sites and day.sites["acts"] else World)(day, *args, **kwargs)
