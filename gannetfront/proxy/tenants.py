"""The tenants that a proxy admits: those of the fleet's settings, or those of the views that a directory
reader distributes.
"""

from .. import host
from ..duties.tokens import token_of
from ..keptfile import KeptFile
from ..tenants import kept
from ..tenants.tenancy import ADMIT, UNKNOWN, Tenancy
from ..tenants.views import GroupNumbers, View
from ..wire import control_pb2 as c, frames
from .links import StreamLink

VIEW_WRITE_TIMEOUT_MS = 1000.0  # a view waits so long to be written to disk before it is applied


class ConfiguredTenants:
    """The tenants of the fleet's settings. Where these name none, all callers are one tenant."""

    def __init__(self, tenants):
        self.numbers = {t.name.encode(): n for n, t in enumerate(tenants)}

    def admit(self, name, operation):
        """Returns (verdict, number) as in tenancy.py."""
        if not self.numbers:
            return ADMIT, 0
        number = self.numbers.get(name)
        return (UNKNOWN, 0) if number is None else (ADMIT, number)

    def start(self):
        """Returns the functions to run in greenlets: none."""
        return ()

    def resend_portions(self):
        """Does nothing: these tenants have no portions."""

    def number(self):
        """Returns 0, as there are no views."""
        return 0

    age = number


class Tenants(StreamLink):
    """Receives views of the tenants over a stream that reconnects, and persists the last one.

    A view replaces the former as a whole; its portions go to the balancer as an event."""

    def __init__(self, mine, facts, put_event, log, random, to, duty=""):
        """Views come from the address `to`: that of a separate reader or, with `duty`, of the proxy that
        holds this duty. `acted(token, step, how, why)` is called for each view accepted or refused."""
        super().__init__(to, log, random, "tenants")
        self.duty = duty
        self.acted = lambda token, step, how, why: None
        self.proxy_number = mine.me
        self.put_event = put_event
        self.held = kept.ViewCopy()
        self.slots = GroupNumbers()
        self.file = KeptFile(mine.tenants_file, self.pack, "view", log)
        self.tenancy = Tenancy(
            [o.effect for o in facts.operations], mine.tenants_fresh, mine.tenants_costly, mine.tenants_serve
        )
        self.portions = ()
        self.newest_confirmed_at = -1e18  # ms; the newest view may not be applied yet

    def admit(self, name, operation):
        """Returns (verdict, number) as in tenancy.py."""
        if name is None:
            return UNKNOWN, 0
        return self.tenancy.admit(host.now(), name.decode("utf-8", "replace"), operation)

    def start(self):
        """Applies the persisted view; returns the functions to run in greenlets."""
        stored = kept.unpack(host.read_file(self.file.path))
        if stored:
            view, epoch, age = stored
            self.held.epoch, self.held.number = epoch, view.number
            self.held.members, self.held.groups = view.members, view.groups
            self.apply_view(age)
        return self.run, self.file.run

    def apply_view(self, age):
        """Puts the held view into force; it was confirmed `age` ms ago."""
        held = self.held
        self.portions = self.slots.assign(held.groups)
        # The epoch is compared first: a reader that lost its numbers starts again at low ones and must not
        # look older than it is.
        self.tenancy.swap((held.epoch, held.number), held.members, dict(self.slots.by_name), host.now() - age)
        self.resend_portions()

    def resend_portions(self):
        """Sends the portions to the balancer, also after it was restarted."""
        self.put_event("tenants_listed", self.portions)

    def pack(self):
        """Returns the bytes of the held view for the disk."""
        held = self.held
        age = host.now() - max(self.newest_confirmed_at, self.tenancy.confirmed)
        return kept.pack(View(held.number, held.members, held.groups, []), held.epoch, age)

    def number(self):
        """Returns the number of the held view."""
        return self.held.number

    def age(self):
        """Returns the ms since the directory confirmed the view in force."""
        return host.now() - self.tenancy.confirmed

    # ---- the stream ----

    def hello(self):
        """Returns the first message of a stream."""
        return c.Hello(
            role=c.PROXY,
            id=str(self.proxy_number),
            revision=self.held.number,
            duty=self.duty,
            **kept.epoch_fields(self.held.epoch),
        )

    def on_refusal(self, message):
        """The peer refuses this link, as a proxy without the duty does."""
        self.turned_away = True
        self.log.info("tenants refused", why=message.why)

    def on_tenants(self, message):
        """A part of a view; the view is applied once it is whole."""
        try:
            view = self.held.take(message)
        except ValueError as error:
            self.log.warning("view rejected", why=str(error))
            epoch = kept.epoch_of_message(message)
            self.acted(
                token_of(epoch), message.number, "refused", "older" if epoch < self.held.epoch else "order"
            )
            if epoch >= self.held.epoch:
                self.out.put(frames.pack(ask=c.Ask(whole=True)))
            return
        if view:
            # The view is persisted before it is applied. A proxy that crashed in between would serve an older
            # view again, and would then accept one from an earlier holder of the duty. A disk that does not
            # answer in time is not waited for, as an outdated view would be worse.
            self.newest_confirmed_at = host.now() - view["age"]
            if not self.file.persist(VIEW_WRITE_TIMEOUT_MS):
                self.log.warning("view in force before it is on disk", number=message.number)
            self.apply_view(host.now() - self.newest_confirmed_at)
            self.acted(token_of(self.held.epoch), message.number, "done", "")
            self.log.info(
                "view", number=message.number, tenants=len(view["members"]), groups=len(view["groups"])
            )

    def on_tenants_age(self, message):
        """The directory has confirmed a view."""
        self.tenancy.confirm((kept.epoch_of_message(message), message.number), host.now() - message.age)
