"""Tenants at a proxy: from the fleet's own settings, or from views that gannet-tenants hands on."""

from .. import host
from ..duties.tokens import token_of
from ..keptfile import KeptFile
from ..tenants import kept
from ..tenants.tenancy import ADMIT, UNKNOWN, Tenancy
from ..tenants.views import Slots, View
from ..wire import control_pb2 as c, frames
from .links import StreamLink

KEEPING = 1000.0  # ms that a view waits for its disk


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

    def refill(self):
        pass

    def number(self):
        return 0

    age = number


class Tenants(StreamLink):
    """Views over a stream that resumes; the last one is on disk. A view is swapped in whole, and the decisions hear of
    its portions by an event."""

    def __init__(self, mine, facts, tell, log, chance, at, duty=""):
        """Views come from `at`: a reader of its own, or, with `duty`, whoever holds that among the proxies."""
        super().__init__(at, log, chance, "tenants")
        self.duty, self.acted = duty, lambda token, step, how, why: None
        self.me, self.tell, self.held, self.slots = mine.me, tell, kept.Held(), Slots()
        self.file = KeptFile(mine.tenants_file, self.pack, "view", log)
        self.tenancy = Tenancy(
            [o.effect for o in facts.operations], mine.tenants_fresh, mine.tenants_costly, mine.tenants_serve
        )
        self.portions, self.given = (), -1e18  # when the newest view was confirmed

    def admit(self, name, op):
        if name is None:
            return UNKNOWN, 0
        return self.tenancy.admit(host.now(), name.decode("utf-8", "replace"), op)

    def start(self):
        stored = kept.unpack(host.read_file(self.file.path))
        if stored:
            view, epoch, age = stored
            self.held.epoch, self.held.number = epoch, view.number
            self.held.members, self.held.groups = view.members, view.groups
            self.swap(age)
        return self.run, self.file.run

    def swap(self, age):
        held = self.held
        self.portions = self.slots.take(held.groups)
        # Epochs first: a reader that lost its numbers must not look older than it is.
        self.tenancy.swap((held.epoch, held.number), held.members, dict(self.slots.of), host.now() - age)
        self.refill()

    def refill(self):
        self.tell("tenants_listed", self.portions)

    def pack(self):
        held = self.held
        age = host.now() - max(self.given, self.tenancy.confirmed)
        return kept.pack(View(held.number, held.members, held.groups, []), held.epoch, age)

    def number(self):
        return self.held.number

    def age(self):
        return host.now() - self.tenancy.confirmed

    # ---- the stream ----

    def hello(self):
        return c.Hello(
            role=c.PROXY,
            id=str(self.me),
            revision=self.held.number,
            duty=self.duty,
            **kept.wired(self.held.epoch),
        )

    def on_refusal(self, message):
        self.turned_away = True
        self.log.info("tenants refused", why=message.why)

    def on_tenants(self, told):
        try:
            whole = self.held.take(told)
        except ValueError as trouble:
            self.log.warning("view not taken", why=str(trouble))
            epoch = kept.epoch_in(told)
            self.acted(
                token_of(epoch), told.number, "refused", "older" if epoch < self.held.epoch else "order"
            )
            if epoch >= self.held.epoch:
                self.out.put(frames.pack(ask=c.Ask(whole=True)))
            return
        if whole:
            # On disk before it is in force: who died in between would serve an older view again, and would then take one from whoever
            # had held the duty before. A disk that does not answer is not waited for any longer: the view's age counts for more.
            self.given = host.now() - whole["age"]
            if not self.file.persist(KEEPING):
                self.log.warning("view in force before it is on disk", number=told.number)
            self.swap(host.now() - self.given)
            self.acted(token_of(self.held.epoch), told.number, "done", "")
            self.log.info(
                "view", number=told.number, tenants=len(whole["members"]), groups=len(whole["groups"])
            )

    def on_tenants_age(self, told):
        self.tenancy.confirm((kept.epoch_in(told), told.number), host.now() - told.age)
