"""Members on sockets: one port for datagrams, the core's messages in and out, and what it sees in the log. Hints only."""

from collections import Counter

from .. import host
from ..members.core import ALIVE, GONE, LEFT, SUSPECT, Members
from ..wire import duties as lease, members as wire

WORDS = {ALIVE: "alive", SUSPECT: "suspected", GONE: "gone", LEFT: "left"}


class Membership:
    def __init__(self, mine, zones, log, chance):
        """`mine` is a checked Proxy with mates, itself among them; `zones` names of the fleet's. Raises ValueError."""
        self.log, self.fleet, self.dropped, self.said = (
            log,
            wire.fleet_number(mine.member_fleet),
            Counter(),
            {},
        )
        self.addresses = {mate.number: mate.address for mate in mine.mate}
        if len(self.addresses) < len(mine.mate):
            raise ValueError("mate: two of one number")
        if mine.me not in self.addresses:
            raise ValueError(f"mate: this proxy, {mine.me}, is not among them")
        for mate in mine.mate:
            host.address(mate.address)
            if mate.zone not in zones:
                raise ValueError(f"mate {mate.number}: no zone '{mate.zone}' in the fleet")
        self.numbers = {address: number for number, address in self.addresses.items()}
        self.core = Members(
            mine.me, {m.number: m.zone for m in mine.mate}, mine.member_period, chance, host.now()
        )
        self.me, self.period = mine.me, mine.member_period
        self.port = host.Datagrams(mine.member_listen or self.addresses[mine.me])
        self.stopped, self.sent = False, 0
        self.duties = None  # told of the words of leases, which come in at the same port

    # ---- the core's way out ----

    def send(self, number, message):
        self.put(number, wire.pack(self.fleet, self.me, message))

    def put(self, number, data):
        """One datagram to a member, of whatever kind."""
        self.sent += 1
        self.port.send(self.addresses[number], data)

    def changed(self, number, state):
        self.log.info("member", number=number, state=WORDS[state])

    # ---- greenlets ----

    def run(self):
        while not self.stopped:
            host.sleep(max(0.0, self.core.due_at() - host.now()))
            if not self.stopped:
                self.core.tick(host.now(), self)
                self.tell()

    def hear(self):
        while (got := self.port.recv(1024)) is not None:
            data, sender = got
            try:
                name, told = wire.body(data)
                if name == "lease" and self.duties:
                    source, duty, message = lease.unpack(self.fleet, told, self.core.members)
                elif name == "gossip":
                    source, message = wire.unpack_gossip(self.fleet, told, self.core.members)
                else:
                    raise wire.Bad("garbage")
                if self.numbers.get(sender) != source:
                    raise wire.Bad(
                        "address"
                    )  # another process there, or one that calls itself what it is not
                if name == "lease":
                    self.duties.hear(source, duty, message)
                    continue
            except wire.Bad as bad:
                self.dropped[str(bad)] += 1
                continue
            self.core.receive(host.now(), source, message, self)

    def tell(self):
        """The three things that look alike, as each begins and ends."""
        now = host.now()
        standing = self.core.connectivity(now)
        found = {f"hears nobody of {zone}": ms for zone, ms in standing["zones"].items()}
        found |= {
            what: standing[key]
            for key, what in (("alone", "hears nobody"), ("unheard", "nobody answers"))
            if standing[key]
        }
        for what, ms in found.items():
            if what not in self.said:
                self.log.warning(what, for_ms=round(ms))
        for what in self.said.keys() - found.keys():
            self.log.info(f"no longer: {what}")
        self.said = found

    def counts(self):
        """{state: members}, this one among the alive."""
        return Counter(WORDS[m.state] for m in self.core.members.values())

    def stop(self):
        if not self.stopped:
            self.stopped = True
            self.core.leave(host.now(), self)
            self.port.close()
