"""Builds numbered views of tenants and groups from directory entries. No I/O.

A view is built as a whole from all known entries, and carries a number. An entry that cannot be used is
quarantined and reported; the others are served. A view that would remove more than a set share of the tenants
is held until an operator accepts it, so that a wrong filter does not refuse every tenant.
"""

from math import nan

from ..wire import numbers

NO_GROUP = "-"  # the group of tenants that are in none


class Mapping:
    """Which attributes hold what; their names are compared in lower case. `portion` and `quota` are read from
    the group's entry, and from the tenant's where the group has none; `nesting` limits how many levels of
    groups within groups are followed. An empty name means that the attribute is not used."""

    def __init__(self, tenant_id, portion="", quota="", member_of="", member="", group_id="cn", nesting=8):
        self.tenant_id = tenant_id.lower()
        self.portion = portion.lower()
        self.quota = quota.lower()
        self.member_of = member_of.lower()
        self.member = member.lower()
        self.group_id = group_id.lower()
        self.nesting = nesting


class View:
    """A numbered view: `members` {tenant: (group name, quota in invocations a second)}, `groups` {name:
    portion} and `errors` [(dn, reason)] of the quarantined entries."""

    __slots__ = "number", "members", "groups", "errors"

    def __init__(self, number, members, groups, errors):
        self.number = number
        self.members = members
        self.groups = groups
        self.errors = errors

    def same_content(self, other):
        """Whether `other` is a view with the same tenants and groups, whatever its number."""
        return other is not None and (self.members, self.groups) == (other.members, other.groups)


def normalized_dn(raw):
    """A DN in a form that can be compared: lower case, without blanks around its separators. An escaped comma
    is part of a value."""
    text = raw.decode("utf-8")
    parts, part, escaped = [], "", False
    for char in text:
        if escaped:
            part, escaped = part + char, False
        elif char == "\\":
            part, escaped = part + char, True
        elif char in ",;":
            parts.append(part)
            part = ""
        else:
            part += char
    return ",".join("=".join(x.strip().lower() for x in p.split("=", 1)) for p in [*parts, part])


def single_text(attrs, name, owner):
    """The only value of an attribute as text; raises ValueError with the reason where there is none or it
    cannot be used. `owner` names what needs the value, for that reason."""
    values = attrs.get(name, [])
    if len(values) != 1:
        raise ValueError(f"{name} has {len(values)} values, {owner} needs one")
    text = values[0].decode("utf-8", "strict") if values[0].isascii() or is_utf8(values[0]) else None
    if text is None:
        raise ValueError(f"{name} is not UTF-8")
    if not text or len(text) > 256 or any(c in text for c in "\r\n\0"):
        raise ValueError(f"{name} is empty, past 256 characters, or contains a line end or NUL")
    return text


def is_utf8(raw):
    try:
        raw.decode("utf-8")
        return True
    except UnicodeDecodeError:
        return False


def optional_number(attrs, name, maximum):
    """The value of an attribute as a number, None where the attribute is unused or absent; raises ValueError
    where it is not a number or outside 0 to `maximum`."""
    if not name or name not in attrs:
        return None
    text = single_text(attrs, name, "a number")
    try:
        value = numbers.number(text)
    except ValueError:
        value = nan
    if not 0 <= value <= maximum:
        raise ValueError(f"{name} '{text[:40]}' is not a number or is outside 0 to {maximum:g}")
    return value


def build(mapping, tenants, groups, view_number):
    """The View of directory entries. `tenants` and `groups` are {uuid: (dn bytes, attrs)}. Raises nothing for
    a bad entry: it is quarantined with its reason."""
    errors, group_facts, parents, portions = [], {}, {}, {}
    for uuid, (dn, attrs) in sorted(groups.items()):
        try:
            key = normalized_dn(dn)
            name = single_text(attrs, mapping.group_id, "a group")
            portion, quota = (
                optional_number(attrs, mapping.portion, 1.0),
                optional_number(attrs, mapping.quota, 1e9),
            )
            group_facts[key] = name, portion, quota
            if mapping.member:
                for raw in attrs.get(mapping.member, ()):
                    parents.setdefault(normalized_dn(raw), []).append(key)
            if mapping.member_of:
                for raw in attrs.get(mapping.member_of, ()):
                    parents.setdefault(key, []).append(normalized_dn(raw))
        except (ValueError, UnicodeDecodeError) as error:
            errors.append((printable_dn(dn), reason(error)))
    in_cycle = set()

    def effective_group(start):
        """The nearest group from `start` upwards that has a portion, searched breadth first and by name
        within a level; the nearest group of all where none has one."""
        level, seen, nearest = [start], {start}, None
        for _ in range(mapping.nesting + 1):
            found = sorted((group_facts[g][0], g) for g in level if g in group_facts)
            nearest = nearest or (found[0][1] if found else None)
            for _, g in found:
                if group_facts[g][1] is not None:
                    return g
            above = [p for g in level for p in parents.get(g, ())]
            if any(p in seen and p in group_facts for p in above):
                in_cycle.update(p for p in above if p in seen)
            level = [p for p in dict.fromkeys(above) if p not in seen]
            seen.update(level)
            if not level:
                break
        return nearest

    members, dn_by_id, duplicates, effective = {}, {}, set(), {}
    for uuid, (dn, attrs) in sorted(tenants.items()):
        try:
            tenant_id, key = single_text(attrs, mapping.tenant_id, "a tenant"), normalized_dn(dn)
            own_portion, quota = (
                optional_number(attrs, mapping.portion, 1.0),
                optional_number(attrs, mapping.quota, 1e9),
            )
            above = list(parents.get(key, ()))
            if mapping.member_of:
                above += [normalized_dn(raw) for raw in attrs.get(mapping.member_of, ())]
        except (ValueError, UnicodeDecodeError) as error:
            errors.append((printable_dn(dn), reason(error)))
            continue
        if tenant_id in dn_by_id:
            # Two entries with one id: neither is served, as either may be the one that must not be.
            duplicates.add(tenant_id)
            errors.append(
                (printable_dn(dn), f"id '{tenant_id}' is claimed by {printable_dn(dn_by_id[tenant_id])} too")
            )
            continue
        dn_by_id[tenant_id] = dn
        best = None
        for start in dict.fromkeys(above):
            if start not in effective:
                effective[start] = effective_group(start)
            g = effective[start]
            if g and (
                best is None
                or (group_facts[g][1] is None, group_facts[g][0])
                < (group_facts[best][1] is None, group_facts[best][0])
            ):
                best = g
        name, portion, group_quota = group_facts[best] if best else (NO_GROUP, None, None)
        portions.setdefault(name, portion)
        if portions[name] is None and own_portion is not None:
            portions[name] = own_portion
        members[tenant_id] = (
            name,
            quota if quota is not None else group_quota if group_quota is not None else 0.0,
        )
    for tenant_id in duplicates:
        members.pop(tenant_id, None)
        errors.append(
            (printable_dn(dn_by_id[tenant_id]), f"id '{tenant_id}' is claimed by another entry too")
        )
    for key in sorted(in_cycle):
        errors.append((key, "is a group within itself"))
    used = {group for group, _ in members.values()}
    # A group without a portion is not capped: its portion is the whole service.
    return View(
        view_number,
        members,
        {g: portions[g] if portions[g] is not None else 1.0 for g in sorted(used)},
        errors,
    )


def printable_dn(dn):
    """The first 200 characters of a DN, for logs."""
    return dn.decode("utf-8", "backslashreplace")[:200]


def reason(error):
    return "is not UTF-8" if isinstance(error, UnicodeDecodeError) else str(error)


class DeletionGuard:
    """The view in force and, where there is one, a view that is held until an operator accepts it.
    `confirmed` is when the directory last confirmed the view in force, in ms."""

    def __init__(self, max_removed_share=0.2, min_removed=5):
        """A view is held when it removes at least `min_removed` tenants and more than the share
        `max_removed_share` of them."""
        self.max_removed_share = max_removed_share
        self.min_removed = min_removed
        self.view = None
        self.held = None
        self.confirmed = None
        self.next_number = 1

    def offer(self, now, view, accepted=0):
        """Puts `view` in force or holds it. Returns 'same', 'new' or 'held'. `accepted` is the number of the
        held view that an operator has accepted, 0 for none."""
        if view.same_content(self.view):
            self.confirmed, self.held = now, None
            self.view.errors = view.errors
            return "same"
        if self.view is not None:
            removed = len(self.view.members.keys() - view.members.keys())
            if removed >= self.min_removed and removed > self.max_removed_share * len(self.view.members):
                if not view.same_content(self.held):
                    view.number = self.take_number()
                    self.held = view
                if accepted != self.held.number:
                    return "held"
                view = self.held
        elif not view.members and not accepted:
            # An empty first answer is treated as no answer.
            return "held"
        self.view, self.held, self.confirmed = view, None, now
        view.number = self.take_number()
        return "new"

    def take_number(self):
        """The next view number; each is given to one view."""
        self.next_number += 1
        return self.next_number - 1


class GroupNumbers:
    """Assigns small whole numbers to group names for the decision module. A name keeps its number while it is
    in use. Numbers that are free again are reused in the order in which they became free, so that counts
    taken under the former name have expired by then."""

    def __init__(self, maximum=4096):
        """At most `maximum` numbers are assigned."""
        self.maximum = maximum
        self.by_name = {}
        self.names = []
        self.free = []

    def assign(self, groups):
        """Assigns numbers to the groups of a view, {name: portion}. Returns ((portion, 0.0), ...) by number.
        Names past `maximum` share the last number."""
        for name in [n for n in self.by_name if n not in groups]:
            self.free.append(self.by_name.pop(name))
        for name in groups:
            if name not in self.by_name:
                if len(self.names) < self.maximum:
                    self.by_name[name] = len(self.names)
                    self.names.append(name)
                elif self.free:
                    self.by_name[name] = self.free.pop(0)
                    self.names[self.by_name[name]] = name
                else:
                    self.by_name[name] = self.maximum - 1
        portion_by_number = {n: groups[name] for name, n in self.by_name.items()}
        return tuple((portion_by_number.get(n, 0.0), 0.0) for n in range(len(self.names)))
