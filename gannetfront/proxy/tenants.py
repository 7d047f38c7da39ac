"""Tenants at a proxy: from the fleet's own settings, or from views that gannet-tenants hands on."""
from .. import host
from ..tenants import kept
from ..tenants.tenancy import ADMIT, UNKNOWN, Tenancy
from ..tenants.views import Slots, View
from ..wire import control_pb2 as c, frames
from .links import StreamLink


class Listed:
    """The tenants that the fleet's settings name; none: every caller is one."""

    def __init__(self, tenants):
        self.numbers = {t.name.encode(): n for n, t in enumerate(tenants)}

    def admit(self, name, op):
        if not self.numbers:
            return ADMIT, 0
        number = self.numbers.get(name)
        return (UNKNOWN, 0) if number is None else (ADMIT, number)

    def start(self):
        return ()

    def keep(self):
        pass

    refill = keep

    def number(self):
        return 0

    age = number


class Tenants(StreamLink):
    """Views over a stream that resumes; the last one is on disk. A view is swapped in whole, and the decisions hear of
    its portions by an event."""

    def __init__(self, mine, facts, tell, log, chance):
        super().__init__(mine.tenants, log, chance, "tenants")
        self.me, self.file, self.tell, self.dirty = mine.me, mine.tenants_file, tell, False
        self.held, self.slots = kept.Held(), Slots()
        self.tenancy = Tenancy([o.effect for o in facts.operations], mine.tenants_fresh, mine.tenants_costly,
                               mine.tenants_serve)
        self.portions = ()

    def admit(self, name, op):
        if name is None:
            return UNKNOWN, 0
        return self.tenancy.admit(host.now(), name.decode("utf-8", "replace"), op)

    def start(self):
        stored = kept.unpack(host.read_file(self.file))
        if stored:
            view, epoch, age = stored
            self.held.epoch, self.held.number = epoch, view.number
            self.held.members, self.held.groups = view.members, view.groups
            self.swap(age)
        return (self.run,)

    def swap(self, age):
        held = self.held
        self.portions = self.slots.take(held.groups)
        # Epochs first: a reader that lost its numbers must not look older than it is.
        self.tenancy.swap((held.epoch, held.number), held.members, dict(self.slots.of), host.now() - age)
        self.refill()

    def refill(self):
        self.tell("tenants_listed", self.portions)

    def keep(self):
        if self.dirty:
            self.dirty = False
            held = self.held
            view = View(held.number, held.members, held.groups, [])
            try:
                host.replace_file(self.file, kept.pack(view, held.epoch, self.age()))
            except OSError as trouble:
                self.log.error("view not kept", file=self.file, why=str(trouble))

    def number(self):
        return self.held.number

    def age(self):
        return host.now() - self.tenancy.confirmed

    # ---- the stream ----

    def hello(self):
        return c.Hello(role=c.PROXY, id=str(self.me), revision=self.held.number, epoch=self.held.epoch)

    def on_tenants(self, told):
        try:
            whole = self.held.take(told)
        except ValueError as trouble:
            self.log.warning("view not taken", why=str(trouble))
            if told.epoch >= self.held.epoch:
                self.out.put(frames.pack(ask=c.Ask(whole=True)))
            return
        if whole:
            self.dirty = True
            self.swap(whole["age"])
            self.log.info("view", number=told.number, tenants=len(whole["members"]), groups=len(whole["groups"]))

    def on_tenants_age(self, told):
        self.tenancy.confirm((told.epoch, told.number), host.now() - told.age)
