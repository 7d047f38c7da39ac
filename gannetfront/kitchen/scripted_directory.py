"""The stand-in directory as a day script has it: filled with the script's tenants, troubled as it says, each change recorded."""

from .. import host
from ..records import Table
from .directory import Directory


class Scripted:
    def __init__(self, day, folder, start, log):
        self.day, self.log, self.done = day, log, host.Once()
        self.events, self.directory = Table(folder, "events", "directory"), Directory()
        for name, tenant in day.tenants.items():
            self.directory.change(f"cn={name},ou=groups,dc=day", cn=name, portion=tenant["portion"])
        for ident, group in day.members():
            self.member(ident, group)
        self.note("directory here", "")
        for trouble in day.troubles:
            if hasattr(self, "on_" + trouble.kind):
                host.later(start + trouble.at - host.now(), self.trouble, trouble, True)
                host.later(start + trouble.until - host.now(), self.trouble, trouble, False)

    def member(self, ident, group):
        self.directory.change(
            f"uid={ident},ou=tenants,dc=day", uid=ident, memberOf=f"cn={group},ou=groups,dc=day"
        )

    def note(self, what, who):
        self.events.add(host.now(), what, who, "")

    def trouble(self, trouble, begins):
        if not self.done.ready():
            self.log.info("trouble", kind=trouble.kind, begins=begins)
            getattr(self, "on_" + trouble.kind)(trouble, begins)

    def on_directory_away(self, trouble, begins):
        self.directory.stop() if begins else self.directory.back()
        self.note("directory away" if begins else "directory here", "")

    def on_directory_cut(self, trouble, begins):
        self.directory.cut()

    def on_directory_forgets(self, trouble, begins):
        self.directory.faults.forget_sync = begins
        if begins:
            self.directory.cut()

    def on_directory_lag(self, trouble, begins):
        self.directory.faults.lag = trouble.ms if begins else 0.0

    def on_tenant_gone(self, trouble, begins):
        ident = f"{trouble.tenant}-{trouble.member}"
        if begins:
            self.directory.remove(f"uid={ident},ou=tenants,dc=day")
        else:
            self.member(ident, trouble.tenant)
        self.note("tenant gone" if begins else "tenant here", ident)

    def on_tenant_moved(self, trouble, begins):
        self.member(f"{trouble.tenant}-{trouble.member}", trouble.to if begins else trouble.tenant)

    def close(self):
        self.events.close()
        self.done.set()
