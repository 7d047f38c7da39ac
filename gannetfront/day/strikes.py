"""What a day does to its processes: proxies killed and begun anew, processes stopped and continued, also whoever holds a duty then."""

import json
import signal

from .. import host
from ..duties.orders import send_order
from ..script import HOLDER
from ..wire.frames import BadFrame


class Strikes:
    def __init__(self, day):
        self.played, self.day = day, day.day

    def begin(self):
        self.bounds()
        for trouble in self.day.troubles:
            at, span = self.played.begin + trouble.at - host.now(), trouble.until - trouble.at
            if (
                trouble.kind == "sever"
                or trouble.kind in ("vanish", "crash")
                and trouble.share == 1
                and trouble.zone
            ):
                self.played.events.add(
                    self.played.begin + trouble.at,
                    "site struck",
                    trouble.zone,
                    str(self.played.begin + trouble.until),
                )
            if trouble.kind == "slow_disk":
                # For the judge: what a process killed now had not written yet, its disk may have kept from it.
                self.played.events.add(
                    self.played.begin + trouble.at,
                    "disk slow",
                    trouble.of,
                    f"{self.played.begin + trouble.until} {trouble.ms}",
                )
            elif trouble.kind == "stall" and trouble.who.startswith(HOLDER):
                host.later(
                    at,
                    self.to_holder,
                    trouble.who.removeprefix(HOLDER),
                    lambda n, span=span: self.stall(f"proxy{n}", span),
                )
            elif trouble.kind == "stall":
                for name in self.day.parties(trouble.who):
                    host.later(at, self.stall, name, span)
            elif trouble.kind == "kill":
                host.later(at, self.kill, trouble.proxy, span)
            elif trouble.kind == "holder_kill":
                host.later(at, self.to_holder, trouble.duty, lambda n, span=span: self.kill(n, span))
            elif trouble.kind == "link":
                self.played.events.add(
                    self.played.begin + trouble.at,
                    "link struck",
                    trouble.src,
                    str(self.played.begin + trouble.until),
                )
                for word in (trouble.src, trouble.dst):
                    if word.startswith(HOLDER):
                        host.later(
                            at,
                            self.to_holder,
                            word.removeprefix(HOLDER),
                            lambda n, t=trouble: self.link(t, n),
                        )
            elif trouble.kind == "balancer_roll":
                struck = sorted(self.day.struck(trouble, self.day.proxies))
                step = span / max(1, len(struck))
                for nth, n in enumerate(struck):
                    host.later(at + nth * step, self.kill, n, 0.5 * step)

    def bounds(self):
        """For the judge: which duties there are, and how soon after a fault one must be held again."""
        if self.day.duties:
            d = self.day.duties
            # An elector that has just started is silent for a lease; then the lease of whoever won there; then settling.
            self.played.events.add(
                self.played.begin,
                "duties",
                " ".join(self.day.held_by_one()),
                f"{5 * d['lease'] + 2 * d['settle'] + d['every'] + 2000}",
            )

    def holder(self, duty):
        """Its number, as it says itself; None where nobody does."""
        for n in range(self.day.proxies):
            try:
                fine, text = send_order(
                    self.played.net.streams[f"proxy{n}", f"proxy{n}"], "status", limit=300.0
                )
            except (OSError, host.Refused, host.Timeout, BadFrame):
                continue
            if fine and any(d["duty"] == duty and d["here"] for d in json.loads(text)["duties"]):
                return n
        return None

    def to_holder(self, duty, strike):
        found = self.holder(duty)
        self.played.events.add(host.now(), "holder struck", str(found), duty)
        if found is not None:
            strike(found)

    def link(self, trouble, number):
        def of(word):
            return [f"proxy{number}"] if word.startswith(HOLDER) else self.day.parties(word)

        self.played.net.add(trouble, of(trouble.src), of(trouble.dst))

    def kill(self, n, down):
        day, name = self.played, f"proxy{n}"
        if name in day.stopped:
            return  # it is down already
        day.stopped.add(name)
        (day.folder / f"{name}.ready").unlink(missing_ok=True)
        day.processes[name].send_signal(signal.SIGKILL)
        day.note("proxy killed", n)
        while day.processes[name].poll() is None:
            host.sleep(5)
        day.note("proxy killed", n)
        host.sleep(down)
        day.start_proxy(n)
        day.ready(name)
        day.note("proxy started", n)
        day.stopped.discard(name)

    def stall(self, name, span):
        """Stopped as it stands, and continued: it knows nothing of the time between."""
        process, number = self.played.processes[name], name.removeprefix("proxy")
        process.send_signal(signal.SIGSTOP)
        self.played.note("stalled", number)
        host.sleep(span)
        process.send_signal(signal.SIGCONT)
        self.played.note("continued", number)
