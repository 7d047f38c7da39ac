"""The duty `site-return`: its holder tells all proxies how much traffic a recovered site may receive.

A step is an order about all sites at once, three bits for each, below a number that increases: a proxy that
missed some steps is up to date with the next one. The holder reports its own stage, which advances faster
than a proxy's own ramp may (sites/ramp.py), and nothing about a site that it does not see or has not yet
assessed. The other proxies follow by stages of their own. Orders of operators (hold, return) are part of each
step, and the next holder continues with them from its own copy. Without a holder each proxy follows its own,
slower ramp.
"""

from .. import host
from ..sites.ramp import ReturnOrder
from ..wire import frames
from .shell import Duty, Lost

SITE_BITS, MAX_SITES = 3, 8  # bits of a site's order in a step; sites that fit into a step
ACT_TIMEOUT = 1000.0  # ms for a proxy to acknowledge a step
ORDER_TIMEOUT = 8000.0  # ms for an operator's order to be delivered to all proxies
ORDER_BY_VERB = dict(hold=ReturnOrder.HELD_OUT, go=ReturnOrder.LET_IN, free=ReturnOrder.NO_ORDER)


def pack_step(number, orders):
    """The step with that number; `orders` are in the order of the settings' sites."""
    code = 0
    for index, order in enumerate(orders):
        code |= order << SITE_BITS * index
    return number << SITE_BITS * MAX_SITES | code


def unpack_step(step, site_count):
    """(number, orders of `site_count` sites)."""
    return step >> SITE_BITS * MAX_SITES, [
        step >> SITE_BITS * index & (1 << SITE_BITS) - 1 for index in range(site_count)
    ]


class Returning(Duty):
    """The duty `site-return` at one proxy, as its holder and as a proxy that follows the holder's orders."""

    name, ORDERS = "site-return", tuple(ORDER_BY_VERB)

    def __init__(self, settings, sites, file, log):
        """`settings` is the checked Duty, `sites` this proxy's ProxySites, whose plan is acted upon. `file`
        persists the last token."""
        self.interval, self.sites, self.log, self.file, self.token = settings.every, sites, log, file, None
        self.site_names = list(sites.shedding.ramps)
        self.pending_orders = []  # [(site, order, Once that is set when the order has been delivered)]

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
                for name in self.site_names
            },
            refused=self.sites.shares(),
        )

    # ---- while the duty is held ----

    def work(self, held):
        """Sends every proxy a new step each interval until the lease ends; raises Lost."""
        number, last_orders = None, {}
        self.sites.leading = lambda: held.left() > 0
        while held.left() > 0:
            if number is None:
                number = max([unpack_step(step, 0)[0] for step in self.visit_all(held, None)], default=0)
            pending, self.pending_orders = self.pending_orders, []
            for name, order, _ in pending:
                self.sites.shedding.on_orders(host.now(), {name: order})
            orders = self.sites.orders_to_give()
            if orders != last_orders:
                order_names = {name: order.name for name, order in orders.items()}
                self.log.info("site return", orders=order_names, states=self.sites.detector.for_dispatches())
            number, last_orders = number + 1, orders
            step = pack_step(number, [orders[name] for name in self.site_names])
            steps = self.visit_all(held, step)
            # A proxy may be at a later step, from a holder unknown to this one: the next step's number is
            # above that.
            number = max([number, *(unpack_step(s, 0)[0] for s in steps)])
            for _, _, delivered in pending:
                delivered.set()
            host.sleep(self.interval)

    def visit_all(self, held, step):
        """Visits all live proxies in parallel, so that an unreachable one does not delay the others, and has
        each do `step` unless that is None. Returns the steps that they are at; raises Lost."""
        steps, lost = [], []

        def visit(proxy):
            try:
                connection = held.ask(proxy)
                try:
                    if step is not None:
                        connection.act(step, ACT_TIMEOUT)
                    steps.append(connection.step)
                finally:
                    connection.close()
            except Lost:
                lost.append(proxy)
            except (OSError, host.Refused, host.Timeout, frames.BadFrame) as error:
                self.log.info(
                    "could not contact proxy",
                    duty=self.name,
                    place=proxy,
                    why=str(error)[:100] or type(error).__name__,
                )

        host.join(
            [host.spawn(visit, proxy) for proxy in sorted(held.others() & set(held.shell.streams))],
            3 * ACT_TIMEOUT,
        )
        if lost:
            raise Lost()
        return steps

    # ---- at the proxy acted upon ----

    def act(self, step, token):
        if token != self.token:
            # Written once for each holder, not at each step: the steps of one holder increase by themselves.
            try:
                self.keep(self.file, step, token, ACT_TIMEOUT)
            except host.Timeout:
                raise OSError("its disk does not answer") from None
            self.token = token
        self.sites.shedding.on_orders(
            host.now(), dict(zip(self.site_names, unpack_step(step, len(self.site_names))[1]))
        )
        return True

    def order(self, verb, site):
        """An operator's order, at the holder: (whether it was delivered to all live proxies, text)."""
        if site not in self.site_names:
            return False, f"no site '{site}'; known: {', '.join(self.site_names)}"
        delivered = host.Once()
        self.pending_orders.append((site, ORDER_BY_VERB[verb], delivered))
        try:
            delivered.wait(ORDER_TIMEOUT)
        except host.Timeout:
            return False, "not told to all yet: look at its status"
        return True, f"{site}: told to all that are there"
