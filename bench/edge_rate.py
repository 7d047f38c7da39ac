"""CPU an invocation of the proxy on the platform: `python bench/edge_rate.py [rate] [seconds] [--profile FILE]`.

Stand-ins for nodes, discovery and release API and an open loop of clients run in this process, the proxy in one of its own.
Bounded: loopback, `rate` invocations a second for `seconds`.
"""

import os
import resource
import subprocess
import sys
import tempfile
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1] / "tests"), str(Path(__file__).parents[1])]
from edge_rig import Client, EdgeRig, PgNode, insert, row, select  # noqa: E402

from gannetfront import host  # noqa: E402


def main():
    words = sys.argv[1:]
    profile = words[words.index("--profile") + 1] if "--profile" in words else None
    rate, seconds = (int(x) for x in [*[w for w in words if w.isdigit()], "500", "6"][:2])
    answer = [4, lambda sql: row(b"\\x9f03", b"SELECT 1" if sql.startswith(b"SELECT") else b"INSERT 0 1")]
    rig = EdgeRig(Path(tempfile.mkdtemp()), *[PgNode(answer) for _ in range(12)], sockets=1024)
    free = host.Listener("127.0.0.1:0")
    free.close()
    rig.write(listen=free.where)
    call = (
        ["-m", "gannetfront.edge"]
        if not profile
        else ["-m", "cProfile", "-o", profile, "-m", "gannetfront.edge"]
    )
    run = subprocess.Popen(
        [sys.executable, *call],
        env={"EDGE_CONFIG": rig.path},
        stderr=subprocess.DEVNULL,
        cwd=Path(__file__).parents[1],
    )
    idle, times, spread, count = [], [], host.Jitter(3), 0

    def one(n):
        client = idle.pop() if idle else Client(free.where)
        begun = host.now()
        got = client.ask(insert(f"{n:08x}") if n % 3 == 0 else select(f"{n:08x}"))
        times.append((host.now() - begun, got))
        idle.append(client)

    try:
        while True:
            try:
                idle.append(Client(free.where))
                break
            except host.Refused:
                host.sleep(50)

        def used():
            return sum(
                int(x) for x in Path(f"/proc/{run.pid}/stat").read_text().rsplit(") ")[1].split()[11:13]
            )

        start, due, before = host.now(), host.now(), used()
        while host.now() < start + 1000 * seconds:
            due += 2000.0 / rate * spread.random()
            host.sleep(due - host.now())
            host.spawn(one, count)
            count += 1
        host.sleep(1000)
        cpu = (used() - before) / os.sysconf("SC_CLK_TCK")
        good = sorted(t for t, got in times if got == b"\\x9f03")
        print(
            f"{count} invocations, {len(good)} succeeded, p50 {good[len(good) // 2]:.1f} ms, p99 "
            f"{good[int(0.99 * len(good))]:.1f} ms (4 ms at the node), CPU {1000 * cpu / count:.3f} ms an invocation"
        )
    finally:
        run.terminate()
        run.wait()
        print("memory", resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss // 1024, "MB")


main()
