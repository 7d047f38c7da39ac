"""From directory entries to a numbered view of tenants and groups. No I/O.

A view is a whole: made in one step from all entries known, numbered, with the time of its last confirmation. An entry
that cannot be used is quarantined and named; the rest serve. A step that would take away more than a stated part of the
tenants is held until an operator accepts it: a filter gone wrong must not turn everyone away.
"""

from math import isfinite

NONE = "-"  # the group of tenants without one


class Mapping:
    """Which attributes say what; names in lower case. `portion` and `quota` are read from the group's entry first and
    from the tenant's where the group has none."""

    def __init__(self, ident, portion="", quota="", member_of="", member="", group_id="cn", nesting=8):
        self.ident, self.portion, self.quota = ident.lower(), portion.lower(), quota.lower()
        self.member_of, self.member, self.group_id, self.nesting = (
            member_of.lower(),
            member.lower(),
            group_id.lower(),
            nesting,
        )


class View:
    """number · members {id: (group name, quota)} · groups {name: portion} · troubles [(dn, why)]"""

    __slots__ = "number", "members", "groups", "troubles"

    def __init__(self, number, members, groups, troubles):
        self.number, self.members, self.groups, self.troubles = number, members, groups, troubles

    def same(self, other):
        return other is not None and (self.members, self.groups) == (other.members, other.groups)


def plain_dn(raw):
    """A DN made comparable: case and the blanks around its commas do not count; an escaped comma is no end."""
    text = raw.decode("utf-8")
    parts, part, skip = [], "", False
    for char in text:
        if skip:
            part, skip = part + char, False
        elif char == "\\":
            part, skip = part + char, True
        elif char in ",;":
            parts.append(part)
            part = ""
        else:
            part += char
    return ",".join("=".join(x.strip().lower() for x in p.split("=", 1)) for p in [*parts, part])


def word(attrs, name, what):
    """The one value of an attribute as text; ValueError names what is wrong."""
    values = attrs.get(name, [])
    if len(values) != 1:
        raise ValueError(f"{name} has {len(values)} values, {what} needs one")
    text = values[0].decode("utf-8", "strict") if values[0].isascii() or utf8(values[0]) else None
    if text is None:
        raise ValueError(f"{name} is not UTF-8")
    if not text or len(text) > 256 or any(c in text for c in "\r\n\0"):
        raise ValueError(f"{name} is empty, past 256 characters, or holds a line end")
    return text


def utf8(raw):
    try:
        raw.decode("utf-8")
        return True
    except UnicodeDecodeError:
        return False


def number(attrs, name, most):
    """A figure, or None where there is none; ValueError where it is none or out of range."""
    if not name or name not in attrs:
        return None
    text = word(attrs, name, "a figure")
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{name} '{text[:40]}' is no number") from None
    if not isfinite(value) or not 0 <= value <= most:
        raise ValueError(f"{name} {text[:40]} is outside 0 to {most:g}")
    return value


def build(mapping, tenants, groups, view_number):
    """`tenants` and `groups` are {uuid: (dn bytes, attrs)}; a View."""
    troubles, named, parents, portions = [], {}, {}, {}
    for uuid, (dn, attrs) in sorted(groups.items()):
        try:
            key = plain_dn(dn)
            name = word(attrs, mapping.group_id, "a group")
            portion, quota = number(attrs, mapping.portion, 1.0), number(attrs, mapping.quota, 1e9)
            named[key] = name, portion, quota
            if mapping.member:
                for raw in attrs.get(mapping.member, ()):
                    parents.setdefault(plain_dn(raw), []).append(key)
            if mapping.member_of:
                for raw in attrs.get(mapping.member_of, ()):
                    parents.setdefault(key, []).append(plain_dn(raw))
        except (ValueError, UnicodeDecodeError) as trouble:
            troubles.append((shown(dn), reason(trouble)))
    looped = set()

    def find(start):
        """The nearest group upwards with a portion, breadth first by name; else the nearest of all."""
        level, seen, first = [start], {start}, None
        for _ in range(mapping.nesting + 1):
            found = sorted((named[g][0], g) for g in level if g in named)
            first = first or (found[0][1] if found else None)
            for _, g in found:
                if named[g][1] is not None:
                    return g
            above = [p for g in level for p in parents.get(g, ())]
            if any(p in seen and p in named for p in above):
                looped.update(p for p in above if p in seen)
            level = [p for p in dict.fromkeys(above) if p not in seen]
            seen.update(level)
            if not level:
                break
        return first

    members, owner, clashed, cache = {}, {}, set(), {}
    for uuid, (dn, attrs) in sorted(tenants.items()):
        try:
            ident, key = word(attrs, mapping.ident, "a tenant"), plain_dn(dn)
            own, quota = number(attrs, mapping.portion, 1.0), number(attrs, mapping.quota, 1e9)
            above = list(parents.get(key, ()))
            if mapping.member_of:
                above += [plain_dn(raw) for raw in attrs.get(mapping.member_of, ())]
        except (ValueError, UnicodeDecodeError) as trouble:
            troubles.append((shown(dn), reason(trouble)))
            continue
        if ident in owner:
            # Two that claim one id: neither serves, as either could be the one who must not.
            clashed.add(ident)
            troubles.append((shown(dn), f"id '{ident}' is claimed by {shown(owner[ident])} too"))
            continue
        owner[ident] = dn
        best = None
        for start in dict.fromkeys(above):
            if start not in cache:
                cache[start] = find(start)
            g = cache[start]
            if g and (
                best is None or (named[g][1] is None, named[g][0]) < (named[best][1] is None, named[best][0])
            ):
                best = g
        name, portion, shared = named[best] if best else (NONE, None, None)
        portions.setdefault(name, portion)
        if portions[name] is None and own is not None:
            portions[name] = own
        members[ident] = name, quota if quota is not None else shared if shared is not None else 0.0
    for ident in clashed:
        members.pop(ident, None)
        troubles.append((shown(owner[ident]), f"id '{ident}' is claimed by another too"))
    for key in sorted(looped):
        troubles.append((key, "is a group within itself"))
    used = {group for group, _ in members.values()}
    # A group without a portion is not capped: it counts as all of the service.
    return View(
        view_number,
        members,
        {g: portions[g] if portions[g] is not None else 1.0 for g in sorted(used)},
        troubles,
    )


def shown(dn):
    return dn.decode("utf-8", "backslashreplace")[:200]


def reason(trouble):
    return "is not UTF-8" if isinstance(trouble, UnicodeDecodeError) else str(trouble)


class Holder:
    """The view that is in force, and one that is held back. `offer` puts a new one in force, or holds it."""

    def __init__(self, most_gone=0.2, least=5):
        self.most_gone, self.least, self.view, self.held, self.confirmed, self.next = (
            most_gone,
            least,
            None,
            None,
            None,
            1,
        )

    def offer(self, now, view, accepted=0):
        """'same', 'new' or 'held'. `accepted` is the number of a held view that an operator has accepted."""
        if view.same(self.view):
            self.confirmed, self.held = now, None
            self.view.troubles = view.troubles
            return "same"
        if self.view is not None:
            gone = len(self.view.members.keys() - view.members.keys())
            if gone >= self.least and gone > self.most_gone * len(self.view.members):
                if not view.same(self.held):
                    view.number = self.number()
                    self.held = view
                if accepted != self.held.number:
                    return "held"
                view = self.held
        elif not view.members and not accepted:
            # The first answer ever is empty: as good as none.
            return "held"
        self.view, self.held, self.confirmed = view, None, now
        view.number = self.number()
        return "new"

    def number(self):
        self.next += 1
        return self.next - 1


class Slots:
    """Group names to small whole numbers for the decisions: a number stays with its name for as long as it is used, and
    one that is free again is given out last, so that what was counted under it has long gone."""

    def __init__(self, most=4096):
        self.most, self.of, self.names, self.free = most, {}, [], []

    def take(self, groups):
        """[(portion, 0.0)] by number for a view's groups; names past `most` share the last number."""
        for name in [n for n in self.of if n not in groups]:
            self.free.append(self.of.pop(name))
        for name in groups:
            if name not in self.of:
                if len(self.names) < self.most:
                    self.of[name] = len(self.names)
                    self.names.append(name)
                elif self.free:
                    self.of[name] = self.free.pop(0)
                    self.names[self.of[name]] = name
                else:
                    self.of[name] = self.most - 1
        by_number = {n: groups[name] for name, n in self.of.items()}
        return tuple((by_number.get(n, 0.0), 0.0) for n in range(len(self.names)))
