"""What a day script does to the controller: offers, news told late, links cut; and its records."""

from .. import host


class Scripted:
    def __init__(self, day, folder, start, who="release"):
        self.day, self.start, self.done = day, start, host.Once()
        self.tell = self.events = None
        if folder:
            from ..records import Table

            self.tell, self.events = Table(folder, "told", who), Table(folder, "events", who)

    def late(self):
        now = host.now() - self.start
        return max([t.ms for t in self.day.during("report_late", now)], default=0.0) if self.day else 0.0

    def told(self, at, proxy, message):
        if not self.tell:
            return
        if message.DESCRIPTOR.name == "Stage":
            self.tell.add(
                at,
                proxy,
                "stage",
                False,
                0,
                "",
                0,
                message.ver,
                "",
                message.stage,
                message.cap,
                message.phase,
            )
            return
        if message.whole:
            self.tell.add(at, proxy, "whole", True, message.revision, "", 0, 0, "", 0, 0.0, 0)
        for node in message.nodes:
            self.tell.add(
                at,
                proxy,
                "node",
                message.whole,
                message.revision,
                node.id,
                node.incarnation,
                node.build,
                {1: "ready", 2: "draining", 3: "gone"}[node.state],
                0,
                0.0,
                0,
            )

    def play(self, controller):
        if not self.day:
            return
        if self.events:
            controller.story = lambda what, facts: self.events.add(
                host.now(), what, str(facts.get("proxy", facts.get("build", ""))), repr(facts)
            )
        for nth, offer in enumerate(self.day.offers if not self.day.release["hooks"] else ()):
            host.later(self.start + offer.at - host.now(), controller.event, "offered", nth + 2)
        for trouble in self.day.troubles:
            if trouble.kind == "cut":
                host.later(self.start + trouble.at - host.now(), self.cut, controller, trouble)

    def cut(self, controller, trouble):
        """Links break and whoever comes back meanwhile is turned away."""
        struck = {str(n) for n in self.day.struck(trouble, self.day.proxies)}
        controller.barred |= struck
        for ident in struck & set(controller.links):
            controller.links[ident].stream.reset()
        host.sleep(self.start + trouble.until - host.now())
        controller.barred -= struck

    def close(self):
        if self.tell:
            self.tell.close()
            self.events.close()
        self.done.set()
