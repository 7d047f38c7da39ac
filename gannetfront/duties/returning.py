"""The duty `site-return`: who holds it tells all proxies how far a site that is back is let in.

A step is an order about all sites at once, each in three bits, below a number that rises: a proxy that missed some has all of it with
the next. The leader says how far it has gone itself, quicker than a proxy alone may (sites/ramp.py), and nothing of a site that it does
not see or does not know yet. Whoever follows goes there by stages of its own. Orders of operators (hold, return) are told with each
step, and taken up by the next leader from its own place. Nobody leads: each proxy goes up its own slower ramp.
"""

from .. import host
from ..sites.ramp import ReturnOrder
from ..wire import frames
from .shell import Duty, Lost

BITS, SITES = 3, 8  # of a site in a step; sites that a step has room for
DONE, TOLD = (
    1000.0,
    8000.0,
)  # ms for a proxy's word that it has heard; for an operator's order to have been told to all
ORDERS = dict(hold=ReturnOrder.HELD_OUT, go=ReturnOrder.LET_IN, free=ReturnOrder.NO_ORDER)


def packed(number, orders):
    """The step of that number; `orders` in the order of the settings' sites."""
    code = 0
    for place, order in enumerate(orders):
        code |= order << BITS * place
    return number << BITS * SITES | code


def unpacked(step, many):
    """(number, orders of `many` sites)."""
    return step >> BITS * SITES, [step >> BITS * place & (1 << BITS) - 1 for place in range(many)]


class Returning(Duty):
    name, ORDERS = "site-return", tuple(ORDERS)

    def __init__(self, d, sites, file, log):
        """`sites` is this proxy's ProxySites, whose plan is acted upon; `file` keeps the last token over a restart."""
        self.every, self.sites, self.log, self.file, self.token = d.every, sites, log, file, None
        self.names, self.wishes = (
            list(sites.shedding.ramps),
            [],
        )  # [(site, order, told whether it reached all that are there)]

    def before(self):
        step, self.token = self.kept(self.file)
        return step, self.token

    def told(self):
        shedding, zones = self.sites.shedding, self.sites.detector.zones
        return dict(
            sites={
                name: dict(
                    state=zones[name].state,
                    evidence=zones[name].evidence,
                    weight=shedding.weights[name],
                    held_down=shedding.ramps[name].order == ReturnOrder.HELD_OUT,
                )
                for name in self.names
            },
            refused=self.sites.shares(),
        )

    # ---- held ----

    def work(self, held):
        number, told = None, {}
        self.sites.leading = lambda: held.left() > 0
        while held.left() > 0:
            if number is None:
                number = max([unpacked(step, 0)[0] for step in self.each(held, None)], default=0)
            wishes, self.wishes = self.wishes, []
            for name, order, _ in wishes:
                self.sites.shedding.on_orders(host.now(), {name: order})
            orders = self.sites.orders_to_give()
            if orders != told:
                names = {name: order.name for name, order in orders.items()}
                self.log.info("site return", orders=names, states=self.sites.detector.for_dispatches())
            number, told = number + 1, orders
            step = packed(number, [orders[name] for name in self.names])
            steps = self.each(held, step)
            # A place may have a later one, from a holder that this one has not heard of: gone above with the next.
            number = max([number, *(unpacked(s, 0)[0] for s in steps)])
            for _, _, done in wishes:
                done.set()
            host.sleep(self.every)

    def each(self, held, step):
        """Visits all that are there, side by side: one that cannot be reached must not hold up the others. The steps they are at."""
        found, lost = [], []

        def visit(place):
            try:
                one = held.ask(place)
                try:
                    if step is not None:
                        one.act(step, DONE)
                    found.append(one.step)
                finally:
                    one.close()
            except Lost:
                lost.append(place)
            except (OSError, host.Refused, host.Timeout, frames.BadFrame) as trouble:
                self.log.info(
                    "not reached",
                    duty=self.name,
                    place=place,
                    why=str(trouble)[:100] or type(trouble).__name__,
                )

        host.join(
            [host.spawn(visit, place) for place in sorted(held.others() & set(held.shell.streams))], 3 * DONE
        )
        if lost:
            raise Lost()
        return found

    # ---- acted upon ----

    def act(self, step, token):
        if token != self.token:
            # Once a holder, not at each step: steps of one holder rise by themselves.
            try:
                self.keep(self.file, step, token, DONE)
            except host.Timeout:
                raise OSError("its disk does not answer") from None
            self.token = token
        self.sites.shedding.on_orders(host.now(), dict(zip(self.names, unpacked(step, len(self.names))[1])))
        return True

    def order(self, verb, site):
        """An operator's, at the holder: (whether it was told to all that are there, text)."""
        if site not in self.names:
            return False, f"no site '{site}'; known: {', '.join(self.names)}"
        done = host.Once()
        self.wishes.append((site, ORDERS[verb], done))
        try:
            done.wait(TOLD)
        except host.Timeout:
            return False, "not told to all yet: look at its status"
        return True, f"{site}: told to all that are there"
