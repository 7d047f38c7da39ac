"""A planned restart while a build is on trial: does the proxy come back?"""

import asyncio
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))

import common  # noqa: E402
from common import BROKEN, HELD, TROUBLE, CouldNotRunError  # noqa: E402

CLIENTS, BEFORE, AFTER = 8, 4.0, 6.0  # s
READY_WITHIN = 30.0  # s
KILL_AFTER = 3.7  # s from SIGTERM: the longest deadline and 0.7 s
SHARES, SLACK = (0.08, 0.25, 0.6, 1.0), 1.4  # of the site amman-matchmaking
CAPS = [min(1.0, share * SLACK) for share in SHARES]
RANDOM = random.Random(21)


async def case(record, place, started):
    def work():
        return RANDOM.uniform(0.02, 0.06)

    servers = [common.Server(record, f"s-{number}", work=work) for number in range(5)]
    for server in servers:
        await server.start()
    platform = common.Platform(record, [server.listed() for server in servers])
    await platform.start()
    settings = common.settings()
    settings["familyInfo"].update(shares=list(SHARES), stageCap=CAPS)
    proxy = common.Proxy(record, platform, settings, place)
    started.append(proxy)
    if not await proxy.start():
        raise CouldNotRunError("the proxy is not ready at its first start")

    outcomes, running = {}, [True]

    async def one(number):
        client, count = common.Client(record, proxy.at), 0
        while running[0]:
            count += 1
            ident = f"{number:04x}{count:012x}"
            outcome, _ = await client.ask(common.select(ident, "catalogue-read", 3000), 3000)
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
            await asyncio.sleep(RANDOM.uniform(0.02, 0.08))

    clients = [asyncio.create_task(one(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1.0)
    # A build is offered: its first server comes up, and the platform tells its first stage.
    new = common.Server(record, "s-9", build=2, work=work)
    await new.start()
    platform.set_state(2, 0, "Progressing", CAPS[0])
    platform.change(new.listed())
    platform.tell()
    await asyncio.sleep(BEFORE)

    came_back = True
    if TROUBLE:
        proxy.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(proxy.process.wait(), KILL_AFTER)
        except asyncio.TimeoutError:
            proxy.signal(signal.SIGKILL)
            await proxy.process.wait()
        record.say("answers before the restart:", outcomes)
        outcomes.clear()
        came_back = await proxy.start(READY_WITHIN)
    await asyncio.sleep(AFTER)
    running[0] = False
    await asyncio.gather(*clients)
    record.say("answers at last:", outcomes)
    if not came_back and "cannot listen" in proxy.log_tail(1)[-1]:
        raise CouldNotRunError("another process has taken the port")
    if not came_back:
        record.say("the proxy did not come back; exit status", proxy.process.returncode)
        record.say("it says:", proxy.log_tail(1)[-1][:200])
        return BROKEN
    if proxy.process.returncode is not None:
        record.say("the proxy has ended with status", proxy.process.returncode)
        return BROKEN
    return HELD


common.play(case, FOLDER)
