"""Several gannet-proxy processes that settle a duty, a relay between every two of them in this process, faults put in as one goes: for
tests and measurements that choose their moments by what has happened, where a day script knows them beforehand."""

import json
import os
import signal
import subprocess
import sys

from .. import host, records
from ..audit import duties as audit
from ..duties.orders import send_order
from ..faults.relay import Relay

MEMBERS, STREAMS, LIMIT, LEASE = 17946, 17947, 60000.0, 1000  # the ports of each; ms
ALWAYS, NEVER_ENDS = 0.0, 9e18
FLEET = 'zone: "a" zone: "b"\noperation { name: "read" effect: "idempotent" }\nrollout { machine_share: 1 cap: 1 }\n'
COUNT = [0]


class Proxies:
    """`electors` by number; proxy n lives in zones[n % len(zones)]; `duty` facts of the duty."""

    def __init__(
        self,
        folder,
        many=5,
        electors=(0, 1, 2),
        zones=("a", "b"),
        env=None,
        start=True,
        duty="",
        lease=LEASE,
        name="seal",
        relayed=True,
        every=100,
        fleet=FLEET,
    ):
        COUNT[0] += 1
        net = f"127.{2 + os.getpid() % 250}.{(os.getpid() // 250 + COUNT[0]) % 250}"
        self.folder, self.many, self.zones, self.env, self.of = folder, many, zones, env or {}, name
        self.names = [f"proxy{n}" for n in range(many)]
        self.homes = [f"{net}.{n + 1}" for n in range(many)]
        self.duty = f'duty {{ name: "{name}" {" ".join(f"elector: {e}" for e in electors)} lease: {lease} settle: 200 every: {every} {duty} }}\n'
        links = (
            []
            if not relayed
            else [
                dict(source=s, target=t, kind=kind, to=f"{self.homes[m]}:{port}")
                for n, s in enumerate(self.names)
                for m, t in enumerate(self.names)
                if n != m
                for kind, port in (("datagram", MEMBERS), ("stream", STREAMS))
            ]
        )
        self.relay = Relay(dict(seed=1, links=links, faults=[]))
        self.relay.start()
        port = dict(datagram=MEMBERS, stream=STREAMS)
        straight = {
            (s, t, kind): f"{self.homes[m]}:{port[kind]}"
            for s in self.names
            for m, t in enumerate(self.names)
            for kind in port
        }
        self.at = (
            straight
            if not relayed
            else {
                (link["source"], link["target"], link["kind"]): at
                for link, at in zip(links, self.relay.where)
            }
        )
        (folder / "fleet.textproto").write_text(fleet)
        self.processes, self.known, self.read = {}, [], {}
        for n in range(many):
            self.write(n)
        for n in range(many) if start else ():
            self.start(n)

    def write(self, n, number=None, roster=None):
        me, mates = self.names[n], ""
        for m in roster or range(self.many):
            home = self.homes[m]
            at = (
                [f"{home}:{MEMBERS}", f"{home}:{STREAMS}"]
                if m == n
                else [self.at[me, self.names[m], k] for k in ("datagram", "stream")]
            )
            mates += f'mate {{ number: {m} zone: "{self.zones[m % len(self.zones)]}" address: "{at[0]}" duties: "{at[1]}" }}\n'
        number = n if number is None else number
        (self.folder / f"{me}.textproto").write_text(
            f'me: {number} zone: "{self.zones[n % len(self.zones)]}" control: "127.0.0.1:1" state_file: "{self.folder / me}.kept" '
            f'seed: {n + 1} member_period: 100 member_listen: "{self.homes[n]}:{MEMBERS}" duties_listen: "{self.homes[n]}:{STREAMS}"\n'
            f'trail: "{self.folder}/trail{n}" tenants_file: "{self.folder}/{me}.view"\n' + mates + self.duty
        )

    def start(self, n, *before):
        log = open(self.folder / f"{self.names[n]}.log", "ab")
        self.processes[n] = subprocess.Popen(
            [
                sys.executable,
                "-m",
                *(before or ["gannetfront.cli.proxy"]),
                "run",
                f"{self.folder}/fleet.textproto",
                f"{self.folder}/{self.names[n]}.textproto",
                "--records",
                str(self.folder),
            ],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env={**os.environ, **self.env},
        )
        log.close()

    def start_struck(self, n, disk=None, clock=None):
        """On a disk or by a clock as day/struck.py has it."""
        path = self.folder / f"{self.names[n]}.struck"
        path.write_text(json.dumps(dict(disk=[disk] if disk else [], clock=[clock] if clock else [])))
        self.start(n, "gannetfront.day.struck", str(path), "gannetfront.cli.proxy")

    # ---- faults ----

    def fault(self, sources, targets, ways="both", **facts):
        """Until `heal`."""

        def name(some):
            return [self.names[n] for n in some]

        self.relay.schedule.faults.append((ALWAYS, NEVER_ENDS, name(sources), name(targets), ways, facts))

    def cut_off(self, some):
        self.fault(some, [n for n in range(self.many) if n not in some], cut=1)

    def heal(self):
        self.relay.schedule.faults.clear()

    def signal(self, n, what):
        self.processes[n].send_signal(getattr(signal, "SIG" + what))

    def kill(self, n):
        self.processes[n].kill()
        self.processes[n].wait()

    # ---- what came of it ----

    def until(self, true, what):
        """Its value as soon as it is true; waits for what happens, not for a while."""
        end = host.now() + LIMIT
        while host.now() < end:
            for n, one in self.processes.items():
                assert one.poll() in (None, -signal.SIGKILL, 0), (
                    self.folder / f"{self.names[n]}.log"
                ).read_text()[-800:]
            found = true()
            if found:
                return found
            host.sleep(30)
        raise AssertionError(f"not within {LIMIT} ms: {what}; last acts {self.acts()[-5:]}")

    def acts(self, how="done", since=0.0):
        rows = [
            a
            for a in self.rows()
            if a["at"] > since and a["duty"] == self.of and (how is None or a["how"] == how)
        ]
        return sorted(rows, key=lambda a: a["at"])

    def rows(self):
        """All acts so far; what was read before is not read again: the relay shares this process and must not wait for it."""
        for path in sorted(self.folder.glob("acts.*.arrow")):
            (before, batches), size = self.read.get(path, (0, 0)), path.stat().st_size
            if size > before:
                new, batches = records.read_on(path, batches)
                self.known += new
                self.read[path] = size, batches
        return self.known

    def acted(self, after=0.0, by=None, not_by=(), rounds=2):
        """The last act, once `rounds` steps were done since, by one holder that is `by` and none of `not_by`; or None."""
        some = [
            a
            for a in self.acts()
            if a["at"] > after and by in (None, a["number"]) and a["number"] not in not_by
        ]
        return some[-1] if some and some[-1]["step"] - some[0]["step"] >= rounds else None

    def next_holder(self, after=None, **facts):
        after = host.now() if after is None else after
        return self.until(lambda: self.acted(after, **facts), f"an act {facts}")["number"]

    def events(self, n, event=None):
        lines = (self.folder / f"{self.names[n]}.log").read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [e for e in found if event in (None, e["event"])]

    def asked(self, n):
        return send_order(f"{self.homes[n]}:{STREAMS}", "status")[1]

    def status(self, n):
        return json.loads(self.asked(n))["duties"][0]

    def order(self, n, verb, to=None):
        return send_order(f"{self.homes[n]}:{STREAMS}", verb, self.of, to)

    def judged(self, **facts):
        verdict = audit.judge(self.rows(), **facts)
        return [story for _, stories in verdict.values() for story in stories]

    def stop(self):
        for one in self.processes.values():
            if one.poll() is None:
                one.send_signal(signal.SIGCONT)
                one.send_signal(signal.SIGTERM)
        for one in self.processes.values():
            try:
                one.wait(15)
            except subprocess.TimeoutExpired:
                one.kill()
                one.wait()
        for port in self.relay.ports.values():
            port.close()
