"""Carries out a day script's disturbances of the controller (offers, delayed news, cut links) and keeps its
records."""

from .. import host


class ControllerScript:
    """The part of a day script that concerns one controller process. Without a day it disturbs nothing;
    without a folder it records nothing."""

    def __init__(self, day, folder, start, process_name="release"):
        """`start` is the clock reading (ms) at which the day begins; `process_name` becomes part of the
        file names."""
        self.day, self.start, self.done = day, start, host.Once()
        self.notifications = self.events = None
        if folder:
            from ..records import Table

            self.notifications = Table(folder, "told", process_name)
            self.events = Table(folder, "events", process_name)

    def news_delay(self):
        """Delay (ms) that the script imposes at present on news from the controller."""
        now = host.now() - self.start
        return max([t.ms for t in self.day.during("report_late", now)], default=0.0) if self.day else 0.0

    def record_message(self, at, proxy, message):
        """Records that `message` (a Stage or a NodeList) was sent to `proxy` at `at` ms."""
        if not self.notifications:
            return
        if message.DESCRIPTOR.name == "Stage":
            self.notifications.add(
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
            self.notifications.add(at, proxy, "whole", True, message.revision, "", 0, 0, "", 0, 0.0, 0)
        for node in message.nodes:
            self.notifications.add(
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

    def schedule(self, controller):
        """Schedules the day's offers and link cuts, and records the events of `controller`."""
        if not self.day:
            return
        if self.events:
            controller.on_decision = lambda what, facts: self.events.add(
                host.now(), what, str(facts.get("proxy", facts.get("build", ""))), repr(facts)
            )
        # Build 1 is the fleet at rest, so the first offer is build 2.
        for index, offer in enumerate(self.day.offers if not self.day.release["hooks"] else ()):
            host.later(self.start + offer.at - host.now(), controller.event, "offered", index + 2)
        for trouble in self.day.troubles:
            if trouble.kind == "cut":
                host.later(self.start + trouble.at - host.now(), self.cut, controller, trouble)

    def cut(self, controller, trouble):
        """Resets the links of the affected proxies and refuses their reconnection until the cut ends."""
        affected = {str(n) for n in self.day.struck(trouble, self.day.proxies)}
        controller.blocked_proxies |= affected
        for proxy_id in affected & set(controller.links):
            controller.links[proxy_id].stream.reset()
        host.sleep(self.start + trouble.until - host.now())
        controller.blocked_proxies -= affected

    def close(self):
        """Finishes the records and releases whoever waits for `done`."""
        if self.notifications:
            self.notifications.close()
            self.events.close()
        self.done.set()
