"""The order of the listings that answers carry: answers of several calls may come in any order. No I/O."""

from enum import Enum, auto


class Freshness(Enum):
    """What a listing is beside the list in force."""

    NEWEST = auto()
    OLDER_IN_PART = (
        auto()
    )  # a complete list: newer but for the nodes that were told of since it was asked for
    OUTDATED = auto()


class ListOrder:
    """The version of the list in force, and which nodes were told of while a complete list was on its way.

    A call that was made after the last answer had been applied tells what is newest, whatever its version: the
    service may have begun to count anew. The answer of an earlier call is newer only by its version."""

    def __init__(self):
        self.version = 0  # of the list in force
        self.newest_seen = 0  # version of the newest listing, also of one that could not be read whole
        self.applied_count = 0
        self.told = {}  # name -> applied_count; kept from on_whole_call() on

    def judge(self, call, version, is_whole):
        """The Freshness of a listing of this version, told to this Call."""
        if call.applied_before == self.applied_count:
            return Freshness.NEWEST
        if version >= self.newest_seen and (version > self.version or is_whole and version == self.version):
            return Freshness.NEWEST
        if is_whole and call.is_whole and version >= call.version:
            return Freshness.OLDER_IN_PART
        return Freshness.OUTDATED

    def begins_anew(self, version):
        """Whether the service counts its versions anew, if it tells this one."""
        return version < self.version

    def on_whole_call(self, is_only_one):
        """A call for the complete list is made; `is_only_one` says that no other one is open."""
        if is_only_one:
            self.told.clear()

    def on_applied(self, version, names=()):
        """A listing of this version is in force now; it told of the nodes with these names."""
        self.version = self.newest_seen = version
        self.applied_count += 1
        self.told.update(dict.fromkeys(names, self.applied_count))

    def on_applied_in_part(self, version):
        """A listing of this version could not be read whole; the version in force stays."""
        self.newest_seen = max(self.newest_seen, version)
        self.applied_count += 1

    def told_since(self, call):
        """Names of the nodes that were told of since a call for the complete list was made."""
        return {name for name, count in self.told.items() if count > call.applied_before}
