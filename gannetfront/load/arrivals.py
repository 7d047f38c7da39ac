"""The day's arrivals, drawn ahead from the script's seed: open loop, so that a slow fleet is asked no less. No I/O."""

from math import log, sqrt

from .. import host

STEP = 10.0  # ms
TAIL = 2.2  # of the heavy law: a mean and a variance, but no third moment


class Arrival:
    def __init__(self, nth, due, proxy, operation, tenant, key, work, patience, leaves):
        self.nth, self.due, self.proxy, self.operation, self.tenant = nth, due, proxy, operation, tenant
        self.key, self.work, self.patience, self.leaves = key, work, patience, leaves


def draw(day):
    """Arrivals in order of `due` (ms from the start). `work` is ms on a core, `patience` ms a try is waited for,
    `leaves` None or the ms after which the client goes away unasked."""
    chance, out, traffic = host.chance(day.seed, 51), [], day.traffic
    names, shares = list(day.operations), [op["share"] for op in day.operations.values()]
    tenants = list(day.tenants)
    portions = [t["portion"] for t in day.tenants.values()]
    portions = [p / sum(portions) for p in portions]
    zone_of = [n % len(day.zones) for n in range(day.proxies)]
    for step in range(int(day.seconds * 1000 / STEP)):
        at = step * STEP
        x = 1.0
        for trouble in day.during("burst", at):
            x *= trouble.x
        weights = list(portions)
        for trouble in day.during("tenant_burst", at):
            weights[tenants.index(trouble.tenant)] *= trouble.x
        more = sum(weights) if tenants else 1.0
        for _ in range(chance.poisson(traffic["rate"] * x * more * STEP / 1000)):
            name = names[chance.choice(len(names), p=shares)]
            tenant = tenants[chance.choice(len(tenants), p=[w / more for w in weights])] if tenants else ""
            if tenant and day.tenants[tenant]["members"]:
                tenant = f"{tenant}-{int(chance.integers(day.tenants[tenant]['members']))}"
            if traffic["intruders"] and chance.random() < traffic["intruders"]:
                tenant = "nobody"
            proxy = int(chance.integers(day.proxies))
            for trouble in day.during("hot_caller", at):
                if chance.random() < trouble.share:
                    proxy = trouble.proxy
            for trouble in day.during("shift", at):
                there = [n for n, z in enumerate(zone_of) if day.zones[z] == trouble.zone]
                if there and chance.random() < trouble.share:
                    proxy = there[int(chance.integers(len(there)))]
            op = day.operations[name]
            if op["law"] == "exp":
                work = float(chance.exponential(op["work"]))
            elif op["law"] == "pareto":
                work = op["work"] * (TAIL - 1) / TAIL * (1 + float(chance.pareto(TAIL)))
            else:
                sigma = sqrt(log(1 + op["cv"] ** 2))
                work = float(chance.lognormal(log(op["work"]) - sigma**2 / 2, sigma))
            share, leave = traffic["patience"], traffic["leave"]
            for trouble in day.during("give_up", at):
                share, leave = trouble.patience, trouble.leave
            patience = op["limit"] * (share + (1 - share) * chance.random())
            leaves = 0.5 * patience * chance.random() if chance.random() < leave else None
            key = f"k{int(chance.integers(traffic['keys']))}" if traffic["keys"] else ""
            out.append(
                Arrival(
                    len(out), at + STEP * chance.random(), proxy, name, tenant, key, work, patience, leaves
                )
            )
    return sorted(out, key=lambda a: a.due)
