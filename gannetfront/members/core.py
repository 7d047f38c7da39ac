"""Membership of the roster as one proxy sees it: SWIM with Lifeguard's local health, without I/O.

SWIM (Das, Gupta, Motivala 2002): each period one member is probed, and also through other members where it
does not answer. A member is suspected before it is declared gone, refutes a suspicion by a higher
incarnation, and updates are piggybacked on probes. Lifeguard (Dadgar, Phillips, Currey 2018): a member that
was itself stalled, or whose probes are not answered, waits longer before it suspects others, and a suspicion
ends the sooner the more members confirm it.

The view is a hint that makes reactions quick; nothing that must be safe relies on it. Times are ms of a
monotonic clock. The traffic of one member does not grow with the fleet: a probe and its answer, and the
answer to a probe, each with a few updates.
"""

from math import log, log2

ALIVE, SUSPECT, GONE, LEFT = 0, 1, 2, 3  # of two states with the same incarnation the higher one wins
PING, ACK, PING_REQ, NACK = 0, 1, 2, 3
MAX_UPDATES = 12  # updates in a datagram, which stays under 256 bytes with them
INDIRECT_PROBES = 3  # members that are asked to probe a target that did not answer
MAX_LOCAL_HEALTH = 8  # Lifeguard's local health score; timeouts are multiplied by 1 + the score
GONE_PROBE_INTERVAL = 4  # periods between probes of gone members, by which a healed partition is noticed
MAX_CONFIRMATIONS = 3  # confirmations that shorten a suspicion to its minimum
MAX_SUSPICION_FACTOR = 6.0  # the longest suspicion, as a multiple of the shortest


class Member:
    """What is known of one member: its state, and when a message of it arrived last (None: never)."""

    __slots__ = "zone", "state", "incarnation", "state_since", "last_heard_at", "confirmers", "transmissions"

    def __init__(self, zone, now):
        self.zone = zone
        self.state = ALIVE
        self.incarnation = 0
        self.state_since = now
        self.last_heard_at = None
        self.confirmers = set()  # members that confirm a suspicion
        self.transmissions = 0  # times that the update was sent


class Members:
    """The membership protocol of one member, `me`.

    `roster` is {number: zone}, `period` the ms between probes; `random.random()` spreads what must not run in
    step. `out` has the callbacks send(number, message) and changed(number, state). A message is (kind, seq,
    about, updates), and updates are [(number, state, incarnation)]."""

    def __init__(self, me, roster, period, random, now):
        self.me, self.period, self.random, self.started_at = me, period, random, now
        self.members = {n: Member(zone, now) for n, zone in sorted(roster.items())}
        self.members[me].last_heard_at = now
        self.local_health = 0
        self.seq = 0
        self.probe_count = 0
        self.next_probe_at = now + random.random() * period
        self.probe_order = []
        self.probe = None  # [target, seq, sent at, indirect probes sent at or None]
        self.relayed_probes = {}  # own seq -> (requester, its seq, expiry, target)
        self.last_ack_at = None
        self.probes_since_ack = 0
        self.leaving, self.suspects = False, set()
        self.updates = {}  # number -> times that its update was sent

    # ---- timeouts and limits that follow from the fleet's size ----

    def minimum_suspicion(self):
        """ms of a suspicion that MAX_CONFIRMATIONS members confirm."""
        return 4.0 * max(1.0, log(max(2, len(self.members)), 10)) * self.period

    def max_transmissions(self):
        """Times that an update is sent: enough for it to reach all members with high probability."""
        return 3 * max(1, int(log2(len(self.members)) + 1))

    def health_multiplier(self):
        """Lifeguard's multiplier of this member's own timeouts."""
        return 1 + self.local_health

    def suspicion_timeout(self, member):
        """ms until a suspected member is declared gone; it shrinks with each confirmation."""
        maximum, minimum = MAX_SUSPICION_FACTOR * self.minimum_suspicion(), self.minimum_suspicion()
        return max(
            minimum,
            maximum - (maximum - minimum) * log(1 + len(member.confirmers)) / log(1 + MAX_CONFIRMATIONS),
        )

    # ---- time ----

    def tick(self, now, out):
        """To be called at `due_at()`. A call more than a period late means that this member was stalled: it
        restarts its suspicions and raises its local health score."""
        if now - self.due_at() > self.period:
            self.degrade_health()
            if self.probe:  # its answer may be unread yet: the probe does not count as failed
                self.probe = None
            for number in self.suspects:
                self.members[number].state_since = now
        if (
            self.probe
            and self.probe[3] is None
            and now >= self.probe[2] + self.health_multiplier() * 0.3 * self.period
        ):
            self.probe_indirectly(now, out)
        for number in sorted(self.suspects):
            member = self.members[number]
            if now >= member.state_since + self.suspicion_timeout(member):
                self.set_state(now, number, GONE, member.incarnation, out)
        self.relayed_probes = {seq: relay for seq, relay in self.relayed_probes.items() if relay[2] > now}
        if now >= self.next_probe_at:
            self.end_probe(now, out)
            self.start_probe(now, out)

    def due_at(self):
        """When `tick` is to be called next."""
        if self.probe and self.probe[3] is None:
            return min(self.next_probe_at, self.probe[2] + self.health_multiplier() * 0.3 * self.period)
        return self.next_probe_at

    def start_probe(self, now, out):
        """Probes the next member, or at times one that is gone, and schedules the next probe."""
        self.probe_count += 1
        self.next_probe_at = now + self.period * (0.9 + 0.2 * self.random.random())
        gone = (
            [n for n, m in self.members.items() if m.state in (GONE, LEFT) and n != self.me]
            if (self.probe_count % GONE_PROBE_INTERVAL == 0)
            else ()
        )
        if gone:
            # An answer shows that the member is back; silence is no new information.
            return self.send(out, gone[int(self.random.random() * len(gone))], PING, self.next_seq(), None)
        target = self.next_target()
        if target is None:
            return
        self.probe = [target, self.next_seq(), now, None]
        self.next_probe_at = (
            max(self.next_probe_at, now + self.health_multiplier() * self.period * 0.9)
            if self.local_health
            else self.next_probe_at
        )
        self.probes_since_ack += 1
        self.send(out, target, PING, self.probe[1], None)

    def next_target(self):
        """The next member to probe, or None. The order is shuffled after each round, so the time until a
        member is probed is bounded."""
        for _ in range(2):
            while self.probe_order:
                number = self.probe_order.pop()
                if number != self.me and self.members[number].state in (ALIVE, SUSPECT):
                    return number
            self.probe_order = sorted(self.members)
            for index in range(len(self.probe_order) - 1, 0, -1):
                other = int(self.random.random() * (index + 1))
                self.probe_order[index], self.probe_order[other] = (
                    self.probe_order[other],
                    self.probe_order[index],
                )
        return None

    def probe_indirectly(self, now, out):
        """Asks other members to probe a target that has not answered."""
        target, seq, _, _ = self.probe
        candidates = [n for n, m in self.members.items() if m.state == ALIVE and n not in (self.me, target)]
        self.probe[3] = now
        for _ in range(min(INDIRECT_PROBES, len(candidates))):
            self.send(out, candidates.pop(int(self.random.random() * len(candidates))), PING_REQ, seq, target)

    def end_probe(self, now, out):
        """Ends the period of a probe that was not answered: its target is suspected, or the suspicion
        confirmed."""
        if not self.probe:
            return
        target, self.probe = self.probe[0], None
        self.degrade_health()
        member = self.members[target]
        if member.state == ALIVE:
            self.set_state(now, target, SUSPECT, member.incarnation, out, self.me)
        elif member.state == SUSPECT:
            member.confirmers.add(self.me)

    def degrade_health(self):
        """Raises the local health score: this member may be the one that is slow."""
        self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)

    # ---- incoming messages ----

    def receive(self, now, source, message, out):
        """Handles a message from a member of the roster, in whatever state that member is."""
        kind, seq, about, updates = message
        member = self.members.get(source)
        if member is None or source == self.me:
            return
        member.last_heard_at = now
        for number, state, incarnation in updates:
            self.apply_update(now, number, state, incarnation, source, out)
        if kind == PING:
            self.send(out, source, ACK, seq, None)
        elif kind == PING_REQ and about in self.members and len(self.relayed_probes) < 64:
            own_seq = self.next_seq()
            self.relayed_probes[own_seq] = source, seq, now + self.period, about
            self.send(out, about, PING, own_seq, None)
        elif kind == ACK and about is None and seq in self.relayed_probes:
            requester, requester_seq, _, target = self.relayed_probes.pop(seq)
            self.send(out, requester, ACK, requester_seq, target)
        if kind == ACK and self.probe and seq == self.probe[1] and (about or source) == self.probe[0]:
            self.local_health, self.probe, self.last_ack_at, self.probes_since_ack = (
                max(0, self.local_health - 1),
                None,
                now,
                0,
            )

    def apply_update(self, now, number, state, incarnation, source, out):
        """Takes over an update that outweighs what is known, or refutes one about this member."""
        member = self.members.get(number)
        if member is None:
            return
        if number == self.me:
            if (
                state in (SUSPECT, GONE)
                and incarnation >= member.incarnation
                or state == LEFT
                and not self.leaving
                and incarnation >= member.incarnation
            ):
                # Refuted by a higher incarnation. A member that others suspect may well be the slow one.
                self.degrade_health()
                member.incarnation = incarnation + 1
                self.updates[self.me] = 0
            elif state in (SUSPECT, GONE):
                # The refutation was sent before, but while a link cut one way let nobody receive it. Without
                # sending it again this member would stay gone for ever.
                self.updates[self.me] = 0
            return
        if (incarnation, state) > (member.incarnation, member.state):
            self.set_state(now, number, state, incarnation, out, source)
        elif (
            state == SUSPECT == member.state
            and incarnation == member.incarnation
            and source not in member.confirmers
        ):
            if len(member.confirmers) < MAX_CONFIRMATIONS:
                self.updates[number] = 0  # each new confirmation is passed on
            member.confirmers.add(source)

    def set_state(self, now, number, state, incarnation, out, reporter=None):
        """Changes a member's state, which is then passed on; `reporter` is the member that says so."""
        member = self.members[number]
        previous, member.state, member.incarnation, member.state_since = (
            member.state,
            state,
            incarnation,
            now,
        )
        member.confirmers = {reporter} - {None} if state == SUSPECT else set()
        (self.suspects.add if state == SUSPECT else self.suspects.discard)(number)
        self.updates[number] = 0
        if previous != state:
            out.changed(number, state)

    # ---- outgoing messages ----

    def next_seq(self):
        self.seq += 1
        return self.seq

    def send(self, out, to, kind, seq, about):
        """Sends a message with the updates that were sent least often."""
        picked = sorted(self.updates, key=lambda n: (self.updates[n], n))[:MAX_UPDATES]
        other = self.members[to]
        if other.state != ALIVE and to not in picked:
            # A member that is suspected, or that sends although it is gone, has to learn of it to be
            # candidates to refute it.
            picked = [to, *picked[: MAX_UPDATES - 1]]
        for number in picked:
            if number in self.updates:
                self.updates[number] += 1
                if self.updates[number] >= self.max_transmissions():
                    del self.updates[number]
        out.send(
            to, (kind, seq, about, [(n, self.members[n].state, self.members[n].incarnation) for n in picked])
        )

    def leave(self, now, out):
        """Leaves in order: notifies a few members, which pass it on, so that nobody has to suspect this
        one."""
        self.leaving, me = True, self.members[self.me]
        self.set_state(now, self.me, LEFT, me.incarnation, out)
        candidates = [n for n, m in self.members.items() if m.state == ALIVE]
        for _ in range(min(INDIRECT_PROBES, len(candidates))):
            self.send(
                out, candidates.pop(int(self.random.random() * len(candidates))), PING, self.next_seq(), None
            )

    # ---- results ----

    def alive(self):
        """Numbers of the members that are alive, this one among them."""
        return [n for n, m in self.members.items() if m.state == ALIVE]

    def by_zone(self, now):
        """{zone: (members alive or suspected, members heard from lately, members)}, without this one."""
        span, counts = self.minimum_suspicion() + 2 * self.period, {}
        for number, m in self.members.items():
            if number != self.me:
                alive, recent, total = counts.get(m.zone, (0, 0, 0))
                counts[m.zone] = (
                    alive + (m.state in (ALIVE, SUSPECT)),
                    recent + (m.last_heard_at is not None and now - m.last_heard_at < span),
                    total + 1,
                )
        return counts

    def connectivity(self, now):
        """Tells apart three failures that look alike, each with its evidence, as a dict.

        `gone`: members that are gone while others are heard from. `zones`: {zone: ms} of the other zones that
        nobody was heard from for as long as a suspicion lasts, with the ms since. `alone`: ms since any
        member was heard from, and `unheard`: ms since any member answered although others are heard from
        (this one can receive but not send); None where that is not the case."""
        span = self.minimum_suspicion() + 2 * self.period

        def age(m):
            return now - (self.started_at if m.last_heard_at is None else m.last_heard_at)

        others = [m for n, m in self.members.items() if n != self.me]
        contact_age = min(map(age, others), default=0.0)
        unreachable_zones = {}
        for zone in sorted({m.zone for m in others} - {self.members[self.me].zone}):
            zone_age = min(age(m) for m in others if m.zone == zone)
            if zone_age > span:
                unreachable_zones[zone] = zone_age
        ack_age = now - (self.started_at if self.last_ack_at is None else self.last_ack_at)
        alone = contact_age if others and contact_age > span else None
        return dict(
            gone=[n for n, m in self.members.items() if m.state == GONE],
            zones={} if alone else unreachable_zones,
            alone=alone,
            unheard=ack_age
            if others and alone is None and ack_age > span and self.probes_since_ack > 2
            else None,
        )
