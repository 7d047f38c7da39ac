"""The links between a day's processes: straight where its script has no `link`, else through a relay of the project's own."""

import json
import os
import signal

from ..script import HOLDER

PORT = 17946  # of members' datagrams: each proxy of a day has a loopback address of its own
FACTS = "cut", "reset", "ms", "jitter", "loss", "twice", "shuffle", "rate", "flap"


def later(trouble):
    """True for a link whose parties are known only as it is struck."""
    return HOLDER in trouble.src or HOLDER in trouble.dst


def home(pid, number):
    """Where a proxy of the day that process `pid` plays has its members' port. Days that are played side by side must not meet: one octet
    of the process's number alone was not enough (docs/incidents/days-share-an-address.md)."""
    return f"127.{2 + pid % 250}.{(pid // 250 + number // 250) % 250}.{1 + number % 250}:{PORT}"


class Net:
    def __init__(self, day, controllers):
        """`controllers` are the addresses of release.a and, where there is one, release.b."""
        self.controllers, self.through, self.day, self.played = controllers, {}, day.day, day
        many = day.day.proxies if day.day.members_by else 0
        self.homes = {f"proxy{n}": home(os.getpid(), n) for n in range(many)}
        self.mates = {(s, t): at for s in self.homes for t, at in self.homes.items()}
        self.streams = (
            {(s, t): at.rpartition(":")[0] + f":{PORT + 1}" for (s, t), at in self.mates.items()}
            if day.day.duties
            else {}
        )
        links_of = [t for t in day.day.troubles if t.kind == "link"]
        self.faults = [
            self.fault(t, day.day.parties(t.src), day.day.parties(t.dst)) for t in links_of if not later(t)
        ]
        if not links_of:
            return
        sources = [f"proxy{n}" for n in range(day.day.proxies)] + ["kitchen"]
        links = [
            dict(source=s, target=t, kind="stream", to=at) for (s, t), at in self.streams.items() if s != t
        ]
        links += [
            dict(source=s, target=f"release.{name}", kind="stream", to=at)
            for s in sources
            for name, at in zip("ab", controllers)
        ]
        links += [
            dict(source=s, target=t, kind="datagram", to=at)
            for s in self.homes
            for t, at in self.homes.items()
            if s != t
        ]
        self.links = links
        self.write()
        day.start("relay", "gannetfront.faults.relay", day.folder / "relay.json", day.folder / "relay.ready")
        for link, at in zip(links, day.ready("relay").split()):
            if (link["source"], link["target"]) in self.streams and link["kind"] == "stream":
                self.streams[link["source"], link["target"]] = at
            elif link["kind"] == "stream":
                self.through.setdefault(link["source"], []).append(at)
            else:
                self.mates[link["source"], link["target"]] = at

    def fault(self, trouble, sources, targets):
        return (
            self.played.begin + trouble.at,
            self.played.begin + trouble.until,
            sources,
            targets,
            trouble.ways,
            {n: getattr(trouble, n) for n in FACTS if getattr(trouble, n)},
        )

    def write(self):
        path = self.played.folder / "relay.json"
        beside = path.with_suffix(".new")  # whole or not there, for the relay that reads it
        beside.write_text(json.dumps(dict(seed=self.day.seed, links=self.links, faults=self.faults)))
        beside.replace(path)

    def add(self, trouble, sources, targets):
        """A fault whose parties are known only now."""
        self.faults.append(self.fault(trouble, sources, targets))
        self.write()
        self.played.processes["relay"].send_signal(signal.SIGHUP)

    def members(self, n):
        """The lines of a proxy's settings that tell it of the others."""
        if not self.homes:
            return ""
        me, zones = f"proxy{n}", self.day.zones

        def at(other):
            return f'address: "{self.mates[me, other]}"' + (
                f' duties: "{self.streams[me, other]}"' if self.streams else ""
            )

        return (
            f'member_listen: "{self.homes[me]}"\nmember_period: {self.day.members_by["period"]:g}\n'
            + "".join(
                f'mate {{ number: {other} zone: "{zones[other % len(zones)]}" {at(f"proxy{other}")} }}\n'
                for other in range(self.day.proxies)
            )
            + self.duties(me)
        )

    def duties(self, me):
        d = self.day.duties
        if not d:
            return ""
        # Spread over the zones as the proxies are: one after the other.
        electors = " ".join(f"elector: {n}" for n in range(d["electors"]))
        common = f"{electors} lease: {d['lease']:g} settle: {d['settle']:g} clock_rate: {d['clock_rate']:g}"
        facts = {
            "seal": f"every: {d['every']:g} seal_from: 4096",
            "tenants": f'directory: "{self.played.folder / "directory.textproto"}"',
            "site-return": f"every: {d['every']:g}",
        }
        return f'duties_listen: "{self.streams[me, me]}"\n' + "".join(
            f'duty {{ name: "{name}" {common} {facts[name]} }}\n' for name in self.day.held_by_one()
        )

    def control(self, who):
        """Where `who` finds the controllers."""
        return self.through.get(who, self.controllers)
