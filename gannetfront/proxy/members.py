"""Membership of one proxy on its datagram port: the core's messages in and out, and its findings in the log.

What membership reports is a hint, never a proof.
"""

from collections import Counter

from .. import host
from ..members.core import ALIVE, GONE, LEFT, SUSPECT, Members
from ..wire import duties as lease, members as wire

STATE_NAMES = {ALIVE: "alive", SUSPECT: "suspected", GONE: "gone", LEFT: "left"}


class Membership:
    """Runs the membership protocol (members/core.py). `dropped` counts the rejected datagrams by reason, and
    `sent` those sent."""

    def __init__(self, mine, zones, log, random):
        """`mine` is a checked Proxy whose mates include itself, and `zones` are the names of the fleet's.

        Raises ValueError for a number given twice, a list without this proxy, a bad address or zone."""
        self.log = log
        self.fleet = wire.fleet_number(mine.member_fleet)
        self.dropped = Counter()
        self.reported = {}
        self.addresses = {mate.number: mate.address for mate in mine.mate}
        if len(self.addresses) < len(mine.mate):
            raise ValueError("mate: two of one number")
        if mine.me not in self.addresses:
            raise ValueError(f"mate: this proxy, number {mine.me}, is not among the mates")
        for mate in mine.mate:
            host.address(mate.address)
            if mate.zone not in zones:
                raise ValueError(f"mate {mate.number}: no zone '{mate.zone}' in the fleet")
        self.numbers_by_address = {address: number for number, address in self.addresses.items()}
        self.core = Members(
            mine.me, {m.number: m.zone for m in mine.mate}, mine.member_period, random, host.now()
        )
        self.me = mine.me
        self.period = mine.member_period
        self.port = host.Datagrams(mine.member_listen or self.addresses[mine.me])
        self.stopped = False
        self.sent = 0
        self.duties = None  # receives the lease messages, which arrive at the same port

    # ---- called by the core ----

    def send(self, number, message):
        """Sends a message of the membership protocol to a member."""
        self.send_datagram(number, wire.pack(self.fleet, self.me, message))

    def send_datagram(self, number, data):
        """Sends one datagram of any kind to a member."""
        self.sent += 1
        self.port.send(self.addresses[number], data)

    def changed(self, number, state):
        """Logs the new state of a member."""
        self.log.info("member", number=number, state=STATE_NAMES[state])

    # ---- greenlets ----

    def run(self):
        """Runs the timers of the protocol until `stop`."""
        while not self.stopped:
            host.sleep(max(0.0, self.core.due_at() - host.now()))
            if not self.stopped:
                self.core.tick(host.now(), self)
                self.log_connectivity()

    def receive(self):
        """Receives datagrams until the port is closed."""
        while (datagram := self.port.recv(1024)) is not None:
            data, sender = datagram
            try:
                name, body = wire.body(data)
                if name == "lease" and self.duties:
                    source, duty, message = lease.unpack(self.fleet, body, self.core.members)
                elif name == "gossip":
                    source, message = wire.unpack_gossip(self.fleet, body, self.core.members)
                else:
                    raise wire.Bad("garbage")
                if self.numbers_by_address.get(sender) != source:
                    raise wire.Bad(
                        "address"
                    )  # another process has the address, or the sender uses the number of another member
                if name == "lease":
                    self.duties.hear(source, duty, message)
                    continue
            except wire.Bad as error:
                self.dropped[str(error)] += 1
                continue
            self.core.receive(host.now(), source, message, self)

    def log_connectivity(self):
        """Logs when one of three conditions, which look alike from inside, begins or ends: no member of a
        zone is heard, no member at all is heard, or no member answers."""
        now = host.now()
        connectivity = self.core.connectivity(now)
        conditions = {f"hears nobody of {zone}": ms for zone, ms in connectivity["zones"].items()}
        conditions |= {
            condition: connectivity[key]
            for key, condition in (("alone", "hears nobody"), ("unheard", "nobody answers"))
            if connectivity[key]
        }
        for condition, ms in conditions.items():
            if condition not in self.reported:
                self.log.warning(condition, for_ms=round(ms))
        for condition in self.reported.keys() - conditions.keys():
            self.log.info(f"no longer: {condition}")
        self.reported = conditions

    def counts(self):
        """Returns {state: number of members}; this proxy counts as alive."""
        return Counter(STATE_NAMES[m.state] for m in self.core.members.values())

    def stop(self):
        """Tells the members that this proxy leaves, and closes the port."""
        if not self.stopped:
            self.stopped = True
            self.core.leave(host.now(), self)
            self.port.close()
