"""Views on their way: packed for the wire and the disk, whole or as changes. No I/O."""

import xxhash

from ..wire import frames
from ..wire.control_pb2 import Group, Member, TenantView
from .views import View

MAGIC, PART = b"gannet-tenants-1\n", 20000
LIFE = 31  # bits of an epoch that tell the lives of its giver apart


def wired(epoch):
    """An epoch as the fields of a message."""
    return dict(epoch=epoch >> LIFE, life=epoch & (1 << LIFE) - 1)


def epoch_in(told):
    """The epoch that a message names."""
    return told.epoch << LIFE | told.life


def parts(view, epoch, age, base=None):
    """TenantView messages: the whole view, or what changed from `base`."""
    before = base.members if base else {}
    changed = [(i, g, q) for i, (g, q) in sorted(view.members.items()) if before.get(i) != (g, q)]
    members = [Member(id=i, group=g, quota=q) for i, g, q in changed]
    members += [Member(id=i, gone=True) for i in sorted(before.keys() - view.members.keys())]
    groups = [Group(name=n, portion=p) for n, p in sorted(view.groups.items())]
    for at in range(0, max(1, len(members)), PART):
        last = at + PART >= len(members)
        yield TenantView(
            number=view.number,
            **wired(epoch),
            base=base.number if base else 0,
            members=members[at : at + PART],
            groups=groups if last else [],
            last=last,
            age=age,
        )


def pack(view, epoch, age):
    """The whole view for the disk: whole or absent, by its sum."""
    data = TenantView(
        number=view.number,
        **wired(epoch),
        base=0,
        last=True,
        age=age,
        members=[Member(id=i, group=g, quota=q) for i, (g, q) in sorted(view.members.items())],
        groups=[Group(name=n, portion=p) for n, p in sorted(view.groups.items())],
    ).SerializeToString()
    return MAGIC + xxhash.xxh64(data).digest() + data


def unpack(data):
    """(View, epoch, age) or None for a torn or foreign file."""
    if not data or not data.startswith(MAGIC) or len(data) < len(MAGIC) + 8:
        return None
    digest, body = data[len(MAGIC) : len(MAGIC) + 8], data[len(MAGIC) + 8 :]
    if xxhash.xxh64(body).digest() != digest:
        return None
    told = TenantView.FromString(body)
    return (
        View(
            told.number,
            {x.id: (x.group, x.quota) for x in told.members},
            {g.name: g.portion for g in told.groups},
            [],
        ),
        epoch_in(told),
        told.age,
    )


class Publisher:
    """Views for proxies: what is sent to one that holds (epoch, number). Packed once, whoever asks."""

    def __init__(self, epoch, most):
        self.epoch, self.most, self.views, self.packed = epoch, most, [], {}

    def publish(self, view):
        self.views = (self.views + [view])[-self.most :]
        self.packed = {}

    def frames_for(self, epoch, number, age):
        """[bytes]: nothing where it holds the last already, changes where its view is known, else the whole."""
        if not self.views:
            return []
        last = self.views[-1]
        if (epoch, number) == (self.epoch, last.number):
            return []
        base = next((v for v in self.views if epoch == self.epoch and v.number == number), None)
        key = base.number if base else 0
        if key not in self.packed:
            self.packed[key] = [frames.pack(tenants=p) for p in parts(last, self.epoch, age, base)]
        return self.packed[key]


class Held:
    """The view as a proxy holds it: parts in, whole views out."""

    def __init__(self):
        self.epoch, self.number, self.members, self.groups, self.parts = 0, 0, None, {}, []

    def take(self, told):
        """A dict (members, groups, age) once a view is whole; None while it is not; raises ValueError for one that does
        not follow from what is held: the whole must be asked for."""
        epoch = epoch_in(told)
        if (epoch, told.number) < (self.epoch, self.number):
            raise ValueError(
                f"view {epoch}.{told.number} is older than the one held, {self.epoch}.{self.number}"
            )
        if told.base and (epoch, told.base) != (self.epoch, self.number):
            raise ValueError(f"changes on view {told.base}, but {self.number} is held")
        if self.parts and (epoch_in(self.parts[0]), self.parts[0].number) != (epoch, told.number):
            self.parts = []
        self.parts.append(told)
        if not told.last:
            return None
        members = dict(self.members or {}) if told.base else {}
        for part in self.parts:
            for m in part.members:
                if m.gone:
                    members.pop(m.id, None)
                else:
                    members[m.id] = m.group, m.quota
        self.parts, self.members, self.groups = [], members, {g.name: g.portion for g in told.groups}
        self.epoch, self.number = epoch, told.number
        return dict(members=members, groups=self.groups, age=told.age)
