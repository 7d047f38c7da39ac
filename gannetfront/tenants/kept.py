"""Encoding of views for the wire and for the disk, whole or as changes to an earlier view. No I/O."""

import xxhash

from ..wire import frames
from ..wire.control_pb2 import Group, Member, TenantView
from .views import View

MAGIC = b"gannet-tenants-1\n"  # first bytes of a view file
MEMBERS_PER_MESSAGE = 20000  # most tenants in one TenantView message
LIFE_BITS = 31  # low bits of an epoch: the life (incarnation) of the process that issues its views


def epoch_fields(epoch):
    """An epoch as the fields of a message."""
    return dict(epoch=epoch >> LIFE_BITS, life=epoch & (1 << LIFE_BITS) - 1)


def epoch_of_message(message):
    """The epoch that the fields of `message` hold."""
    return message.epoch << LIFE_BITS | message.life


def view_messages(view, epoch, age, base=None):
    """Yields the TenantView messages of the whole view, or of its changes against the view `base`. `age` in
    ms."""
    before = base.members if base else {}
    changed = [(i, g, q) for i, (g, q) in sorted(view.members.items()) if before.get(i) != (g, q)]
    members = [Member(id=i, group=g, quota=q) for i, g, q in changed]
    members += [Member(id=i, gone=True) for i in sorted(before.keys() - view.members.keys())]
    groups = [Group(name=n, portion=p) for n, p in sorted(view.groups.items())]
    for start in range(0, max(1, len(members)), MEMBERS_PER_MESSAGE):
        last = start + MEMBERS_PER_MESSAGE >= len(members)
        yield TenantView(
            number=view.number,
            **epoch_fields(epoch),
            base=base.number if base else 0,
            members=members[start : start + MEMBERS_PER_MESSAGE],
            groups=groups if last else [],
            last=last,
            age=age,
        )


def pack(view, epoch, age):
    """The whole view as the bytes of a file: magic, checksum, message. The checksum tells a torn file from a
    whole one. `age` in ms."""
    data = TenantView(
        number=view.number,
        **epoch_fields(epoch),
        base=0,
        last=True,
        age=age,
        members=[Member(id=i, group=g, quota=q) for i, (g, q) in sorted(view.members.items())],
        groups=[Group(name=n, portion=p) for n, p in sorted(view.groups.items())],
    ).SerializeToString()
    return MAGIC + xxhash.xxh64(data).digest() + data


def unpack(data):
    """(View, epoch, age in ms) from the bytes of a file; None for a torn file or one of another format."""
    if not data or not data.startswith(MAGIC) or len(data) < len(MAGIC) + 8:
        return None
    digest, body = data[len(MAGIC) : len(MAGIC) + 8], data[len(MAGIC) + 8 :]
    if xxhash.xxh64(body).digest() != digest:
        return None
    message = TenantView.FromString(body)
    return (
        View(
            message.number,
            {x.id: (x.group, x.quota) for x in message.members},
            {g.name: g.portion for g in message.groups},
            [],
        ),
        epoch_of_message(message),
        message.age,
    )


class Publisher:
    """The last views of an epoch, encoded for proxies. Frames are packed once and reused for all proxies that
    hold the same view."""

    def __init__(self, epoch, history):
        """`history` is how many views are remembered: a proxy that holds one of them is sent changes only."""
        self.epoch = epoch
        self.history = history
        self.views = []
        self.packed = {}

    def publish(self, view):
        """Makes `view` the newest one."""
        self.views = (self.views + [view])[-self.history :]
        self.packed = {}

    def frames_for(self, epoch, number, age):
        """Frames for a proxy that holds view `number` of `epoch`: none when it is the newest, changes when
        that view is remembered, else the whole view. `age` in ms."""
        if not self.views:
            return []
        last = self.views[-1]
        if (epoch, number) == (self.epoch, last.number):
            return []
        base = next((v for v in self.views if epoch == self.epoch and v.number == number), None)
        key = base.number if base else 0
        if key not in self.packed:
            self.packed[key] = [frames.pack(tenants=p) for p in view_messages(last, self.epoch, age, base)]
        return self.packed[key]


class ViewCopy:
    """A proxy's copy of the view: takes messages and replaces the copy once a view is complete."""

    def __init__(self):
        self.epoch = 0
        self.number = 0
        self.members = None
        self.groups = {}
        self.received = []

    def take(self, message):
        """Takes a TenantView. Returns a dict (members, groups, age) when the view is complete, None while
        messages of it are missing. Raises ValueError for a view that is older than the copy, or for changes
        that do not follow from it: the caller must then request the whole view."""
        epoch = epoch_of_message(message)
        if (epoch, message.number) < (self.epoch, self.number):
            raise ValueError(
                f"view {epoch}.{message.number} is older than the current one, {self.epoch}.{self.number}"
            )
        if message.base and (epoch, message.base) != (self.epoch, self.number):
            raise ValueError(f"changes on view {message.base}, but view {self.number} is current")
        if self.received and (epoch_of_message(self.received[0]), self.received[0].number) != (
            epoch,
            message.number,
        ):
            self.received = []
        self.received.append(message)
        if not message.last:
            return None
        members = dict(self.members or {}) if message.base else {}
        for part in self.received:
            for m in part.members:
                if m.gone:
                    members.pop(m.id, None)
                else:
                    members[m.id] = m.group, m.quota
        self.received, self.members, self.groups = [], members, {g.name: g.portion for g in message.groups}
        self.epoch, self.number = epoch, message.number
        return dict(members=members, groups=self.groups, age=message.age)
