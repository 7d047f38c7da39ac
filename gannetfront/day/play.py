"""Plays a day script as real processes on loopback: controller, nodes, proxies, clients; kills proxies where told."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

from .. import host
from ..records import Table
from .net import Net
from .platform import Platform
from .strikes import Strikes
from ..script import fleet_text

READY_LIMIT = 20000.0
STRUCK = "proxy", "release", "tenants"  # whose disks a script may slow down: not the judge's own records


LEADS = 1, 3, 8  # times the usual time until a day's begin


class Failed(Exception):
    pass


class NotUp(Exception):
    pass


class Day:
    def __init__(self, day, script_file, folder, env=None):
        self.day, self.script, self.folder, self.env = day, str(script_file), Path(folder), env or {}
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes, self.proxies, self.sockets, self.stopped = {}, {}, {}, set()
        self.views = None

    def start(self, name, module, *words):
        log, struck = open(self.folder / f"{name}.log", "ab"), []
        disk = [
            (self.begin + t.at, self.begin + t.until, t.ms, t.every, t.lasts, t.calls)
            for t in self.day.troubles
            if t.kind == "slow_disk" and module in (STRUCK if t.of == "all" else (t.of,))
        ]
        clock = [
            (self.begin + t.at, self.begin + t.until, t.rate, t.set)
            for t in self.day.troubles
            if t.kind == "clock" and name in self.day.parties(t.who)
        ]
        if disk or clock:
            path = self.folder / f"{name}.struck"
            path.write_text(json.dumps(dict(disk=disk, clock=clock)))
            struck = ["gannetfront.day.struck", str(path)]
        self.processes[name] = one = subprocess.Popen(
            [
                sys.executable,
                "-m",
                *struck,
                module if "." in module else f"gannetfront.cli.{module}",
                *map(str, words),
            ],
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            env={**os.environ, **self.env},
        )
        log.close()
        beside = self.folder / "pids.new"  # whole or not there, for the witness that reads it
        beside.write_text(
            json.dumps({n: p.pid for n, p in self.processes.items() if not n.startswith("witness")})
        )
        beside.replace(self.folder / "pids")
        return one

    def ready(self, name):
        path, end = self.folder / f"{name}.ready", host.now() + READY_LIMIT
        while host.now() < end:
            data = host.read_file(path)
            if data:
                return data.decode()
            if self.processes[name].poll() is not None:
                break
            host.sleep(20)
        raise Failed(f"{name} did not start: {(self.folder / f'{name}.log').read_text()[-400:]}")

    def play(self):
        """Runs the whole day; the records lie in the folder afterwards. On a machine that is too busy to have all processes up
        by the day's begin they are all started once more, with more time."""
        for lead in LEADS:
            try:
                return self.whole(lead)
            except NotUp:
                self.stopped.clear()
        raise Failed("the processes were not up when the day was to begin")

    def whole(self, lead):
        for old in [
            *self.folder.glob("*.arrow"),
            *self.folder.glob("*.ready"),
            *self.folder.glob("*.kept"),
            *self.folder.glob("*.log"),
            *self.folder.glob("release.db*"),
            *self.folder.glob("trail.*/*"),
        ]:
            old.unlink()
        self.events = Table(self.folder, "events", "day")
        fleet = self.folder / "fleet.textproto"
        fleet.write_text(fleet_text(self.day))
        # Long enough for every process to be up; the same reading for all, as they share one clock.
        begin = self.begin = host.now() + lead * (4000 + 60 * self.day.proxies)
        facts = ("--records", self.folder, "--start", begin)
        try:
            for core in ["disk", "queue", *sorted(os.sched_getaffinity(0))]:
                self.start(f"witness{core}", "gannetfront.day.witness", self.folder, core)
            self.platform = Platform(self, fleet, facts)
            self.net = Net(self, self.platform.start())
            if self.day.directory:
                self.directory(facts)
            self.start(
                "kitchen",
                "kitchen",
                "run",
                self.script,
                *[w for at in self.net.control("kitchen") for w in ("--control", at)],
                *facts,
            )
            for n in range(self.day.proxies):
                self.write_proxy(n, "127.0.0.1:0")
                self.start_proxy(n)
            for n in range(self.day.proxies):
                self.proxies[n] = self.ready(f"proxy{n}")
                self.note("proxy started", n)
                self.write_proxy(n, self.proxies[n])  # a restart comes back where its clients know it
            # Clients that are still starting when the first arrivals are due send what has no time left (docs/incidents/clients-late.md).
            self.start(
                "load",
                "load",
                self.script,
                *[self.proxies[n] for n in range(self.day.proxies)],
                *facts,
                "--ready-file",
                self.folder / "load.ready",
            )
            self.ready("load")
            if host.now() > begin - 300:
                raise NotUp()
            Strikes(self).begin()
            self.platform.play()
            limit = begin + self.day.seconds * 1000 + 30000
            while self.processes["load"].poll() is None:
                if host.now() > limit:
                    raise Failed("the clients did not end")
                host.sleep(50)
            if self.processes["load"].returncode:
                raise Failed(
                    f"the clients could not ask all: {(self.folder / 'load.log').read_text()[-300:]}"
                )
            host.sleep(300)
            self.platform.settle()
            self.alive()
        finally:
            self.stop()
            self.events.close()

    def directory(self, facts):
        """The stand-in directory and the one reader of it, before the proxies that come for views."""
        self.start(
            "directory",
            "kitchen",
            "directory",
            self.script,
            *facts,
            "--ready-file",
            self.folder / "directory.ready",
        )
        at, d = self.ready("directory"), self.day.directory
        (self.folder / "directory.textproto").write_text(
            f'address: "{at}"\ntenants_base: "ou=tenants,dc=day"\ntenants_filter: "(uid=*)"\ngroups_base: "ou=groups,dc=day"\n'
            f'portion: "portion"\nsync: {"true" if d["sync"] else "false"}\npoll_every: {d["poll"]:g}\nsweep_every: 2\n'
            f'answer_limit: 3000\nstate_file: "{self.folder / "tenants.kept"}"\n'
        )
        if "tenants" in self.day.held_by_one():
            return  # the proxies read it, one at a time
        self.start(
            "tenants",
            "tenants",
            "run",
            self.folder / "directory.textproto",
            "--ready-file",
            self.folder / "tenants.ready",
        )
        self.views = self.ready("tenants")

    def alive(self):
        for name, one in self.processes.items():
            if name != "load" and one.poll() is not None and name not in self.stopped:
                raise Failed(f"{name} ended by itself: {(self.folder / f'{name}.log').read_text()[-400:]}")

    def write_proxy(self, n, listen):
        (self.folder / f"proxy{n}.textproto").write_text(
            f'me: {n}\nzone: "{self.day.zones[n % len(self.day.zones)]}"\nlisten: "{listen}"\n'
            + "".join(f'control: "{at}"\n' for at in self.net.control(f"proxy{n}"))
            + f'state_file: "{self.folder / f"proxy{n}.kept"}"\nseed: {self.day.seed * 1000 + n}\n'
            + self.net.members(n)
            + (f'trail: "{self.folder / f"trail.proxy{n}"}"\n' if self.day.release["trail"] else "")
            + (f'tenants: "{self.views}"\n' if self.views else "")
            + (f'tenants_file: "{self.folder / f"proxy{n}.view.kept"}"\n' if self.day.directory else "")
        )

    def start_proxy(self, n):
        self.start(
            f"proxy{n}",
            "proxy",
            "run",
            self.folder / "fleet.textproto",
            self.folder / f"proxy{n}.textproto",
            "--ready-file",
            self.folder / f"proxy{n}.ready",
            *(("--records", self.folder) if self.day.duties else ()),
        )

    def note(self, what, n):
        self.events.add(host.now(), what, str(n), "")

    def stop(self):
        """Proxies first, so that what they still hold finds its nodes."""
        for kind in ("proxy", "load", "kitchen", "tenants", "directory", "release", "relay", "witness"):
            some = [
                one for name, one in self.processes.items() if name.startswith(kind) and one.poll() is None
            ]
            for one in some:
                one.send_signal(signal.SIGTERM)
            end = host.now() + 8000
            while any(one.poll() is None for one in some) and host.now() < end:
                host.sleep(20)
            for one in some:
                if one.poll() is None:
                    one.kill()
                    one.wait()
