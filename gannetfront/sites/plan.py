"""Plans, made in advance, for the loss of sites: where their load goes, what is refused first and how much
value remains. No I/O.

The plans are statically stable: at the moment of a loss a proxy only has to know which site is lost. The load
of the lost sites goes to the others in proportion to their headroom, so that all of them fill alike and none
is overloaded; where prices differ, `lean` lets a part go to the cheaper sites first. What does not fit is
refused in one order that is the same everywhere: first unprotected operations, the least value per work
first, then protected ones, the last named first. Only the last operation refused is refused in part.

Units: rates are invocations a second, work is ms of a node, capacity is ms of work a ms.
"""

from itertools import combinations


class OperationClass:
    """One operation: its work and value for an invocation, and its place among the protected operations or
    None."""

    __slots__ = "name", "work", "value", "protected"

    def __init__(self, name, work, value, protected):
        self.name, self.work, self.value, self.protected = name, work, value, protected


class Sites:
    """The sites and their usual traffic, from which plans are made.

    `capacity` is {zone: ms of work a ms}, `traffic` {zone: {operation: rate}}, `classes` {operation:
    OperationClass}, `price(from, to)` the price of a dispatch between zones as a share of its value, `fill`
    the part of its capacity to which a site may be filled, `lean` from 0 (by headroom alone) to 1 (cheapest
    first)."""

    def __init__(self, capacity, traffic, classes, price, fill=0.85, lean=0.0):
        self.capacity = capacity
        self.traffic = traffic
        self.classes = classes
        self.price = price
        self.fill = fill
        self.lean = lean

    @classmethod
    def of(cls, fleet):
        """From checked settings; raises ValueError where they have no sites."""
        if not fleet.site:
            raise ValueError("the fleet's settings have no site")
        protect = list(fleet.protect)
        classes = {
            o.name: OperationClass(
                o.name, o.work, o.billed_value, protect.index(o.name) if o.name in protect else None
            )
            for o in fleet.operation
        }
        ways = {(getattr(w, "from"), w.to): w.price for w in fleet.way}

        def price(a, b):
            return 0.0 if a == b else ways.get((a, b), fleet.cross_zone_price)

        traffic = {}
        for site in fleet.site:
            traffic[site.zone] = {}
            for t in site.traffic:
                traffic[site.zone][t.operation] = traffic[site.zone].get(t.operation, 0.0) + t.rate
        return cls(
            {s.zone: s.capacity for s in fleet.site},
            traffic,
            classes,
            price,
            fleet.site_fill,
            fleet.site_lean,
        )

    def work(self, traffic):
        """Work, in ms a ms, of the traffic {operation: rate}."""
        return sum(rate * self.classes[op].work for op, rate in traffic.items()) / 1000

    def value(self, traffic):
        """Billed value a second of the traffic {operation: rate}."""
        return sum(rate * self.classes[op].value for op, rate in traffic.items())

    def refusal_order(self):
        """Names of operations, in the order in which they are refused."""

        def value_density(c):
            return c.value / c.work if c.work else float("inf")

        return [
            c.name
            for c in sorted(
                self.classes.values(),
                key=lambda c: (
                    (0, value_density(c), c.name) if c.protected is None else (1, -c.protected, c.name)
                ),
            )
        ]

    def loss_cases(self, max_lost=2):
        """Every zone, every pair, and so on up to `max_lost` zones lost together, as long as one zone
        remains."""
        zones = list(self.capacity)
        return [
            lost
            for count in range(1, max_lost + 1)
            for lost in combinations(zones, count)
            if len(zones) > count
        ]

    def plan_for(self, lost):
        """The Plan for the loss of the zones `lost`."""
        remaining = [z for z in self.capacity if z not in lost]
        room = {z: self.fill * self.capacity[z] for z in remaining}
        served = {z: dict(ops) for z, ops in self.traffic.items()}
        refused = self.refuse(served, sum(room.values()))
        local = self.local_work(served, room, remaining)
        return Plan(self, tuple(lost), remaining, room, served, refused, local)

    def refuse(self, served, room):
        """Removes from `served` what does not fit into `room`; returns {operation: refused share}."""
        excess, shares = sum(map(self.work, served.values())) - room, {}
        for op in self.refusal_order():
            requested = sum(ops.get(op, 0.0) for ops in served.values()) * self.classes[op].work / 1000
            if excess <= 1e-9 or not requested:
                continue
            shares[op] = min(1.0, excess / requested)
            excess -= shares[op] * requested
            # The same share in every zone, so that clients of the lost zone are not refused first.
            for ops in served.values():
                if op in ops:
                    ops[op] *= 1 - shares[op]
        return shares

    def local_work(self, served, room, remaining):
        """{remaining zone: work a ms that it does for its own clients}, up to its room."""
        return {z: min(self.work(served.get(z, {})), room[z]) for z in remaining}


class Plan:
    """What happens when the zones `lost` are lost.

    `refused` is {operation: share}, `moves` {(from, to): work a ms}, `utilization` {zone: part of its
    capacity in use} and `value` the share of the usual value that remains."""

    def __init__(self, sites, lost, remaining, room, served, refused, local):
        self.sites = sites
        self.lost = lost
        self.remaining = remaining
        self.served = served
        self.refused = refused
        remote = {z: sites.work(ops) - local.get(z, 0.0) for z, ops in served.items()}
        self.moves = self.distribute(
            {z: w for z, w in remote.items() if w > 1e-9}, {z: room[z] - local[z] for z in remaining}
        )
        received = {z: sum(w for (_, to), w in self.moves.items() if to == z) for z in remaining}
        self.utilization = {
            z: (local[z] + received[z]) / sites.capacity[z] if sites.capacity[z] else 0.0 for z in remaining
        }
        usual_value = sum(map(sites.value, sites.traffic.values()))
        self.value = sum(map(sites.value, served.values())) / usual_value if usual_value else 1.0

    def distribute(self, remote, headroom):
        """{(from, to): work a ms} that distributes the work `remote` {zone: work a ms} over `headroom` {zone:
        work a ms}."""
        total, room = sum(remote.values()), sum(headroom.values())
        if total <= 0 or room <= 0:
            return {}
        # Part of its headroom that each zone may take: the same for all, or in cheaper zones more, up to
        # `lean`.
        part = max(min(1.0, total / room), self.sites.lean)
        free, unplaced, moves = {z: part * h for z, h in headroom.items()}, dict(remote), {}
        if part <= total / room + 1e-12:
            return {
                (a, b): w * headroom[b] / room
                for a, w in remote.items()
                for b in headroom
                if a != b and headroom[b] > 0
            }
        for a, b in sorted(
            ((a, b) for a in remote for b in headroom if a != b), key=lambda ab: (self.sites.price(*ab), ab)
        ):
            moved = min(unplaced[a], free[b])
            if moved > 1e-12:
                moves[a, b] = moved
                unplaced[a] -= moved
                free[b] -= moved
        return moves

    def shares(self):
        """{from: {to: share of the work that leaves `from`}}, as a router needs it."""
        work_from = {}
        for (a, b), work in self.moves.items():
            work_from.setdefault(a, {})[b] = work
        return {a: {b: w / sum(row.values()) for b, w in row.items()} for a, row in work_from.items()}

    def price(self):
        """Price paid for dispatches to other zones, as a share of the usual value."""
        usual_value, paid = sum(map(self.sites.value, self.sites.traffic.values())), 0.0
        for (a, b), work in self.moves.items():
            ops = self.served[a]
            all_work = self.sites.work(ops)
            paid += self.sites.value(ops) * work / all_work * self.sites.price(a, b) if all_work else 0.0
        return paid / usual_value if usual_value else 0.0

    def protected_refused(self, protect):
        """{operation: refused share} of the operations `protect` that are refused at all."""
        return {op: self.refused[op] for op in protect if self.refused.get(op, 0.0) > 1e-9}
