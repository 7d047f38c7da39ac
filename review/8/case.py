"""Discovery that takes seconds for each answer: does the proxy still hear of a drain in time?"""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))

import common  # noqa: E402
from common import BROKEN, HELD, TROUBLE, CouldNotRunError  # noqa: E402

CLIENTS, QUIET = 16, 4.0  # s until the drain
SLOW = 4.0  # s that an answer of discovery takes
TOLD = 6000.0  # ms after which a change counts as told, whether or not it arrived
GRACE = 2000.0 + 50.0 + 150.0  # ms: of the settings, the slack of a time limit, a proxy that is held up
ENDS = 12.0  # s from the change to the end of the servers that drain
RANDOM = random.Random(23)


class Platform(common.Platform):
    async def watch(self, query):
        self.record.write("discovery is asked", query)
        answer = await super().watch(query)
        if TROUBLE:
            await asyncio.sleep(SLOW)
        self.record.write("discovery answers", answer.partition(b"\r\n\r\n")[2][:60].decode())
        return answer


async def case(record, place, started):
    def work():
        return RANDOM.uniform(0.03, 0.08)

    servers = [common.Server(record, f"s-{number}", work=work) for number in range(6)]
    for server in servers:
        await server.start()
    platform = Platform(record, [server.listed() for server in servers])
    await platform.start()
    proxy = common.Proxy(record, platform, common.settings(), place)
    started.append(proxy)
    if not await proxy.start():
        raise CouldNotRunError("the proxy is not ready")

    outcomes, answers, running = {}, {}, [True]

    async def one(number):
        client, count = common.Client(record, proxy.at), 0
        while running[0]:
            count += 1
            ident = f"{number:04x}{count:012x}"
            if count % 5 < 2:
                sql = common.select(ident, "catalogue-read", 3000)
            else:
                sql = common.insert(ident, "account-debit", 3000)
            outcome = answers[ident] = (await client.ask(sql, 3000))[0]
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
            await asyncio.sleep(RANDOM.uniform(0.0, 0.06))

    clients = [asyncio.create_task(one(number)) for number in range(CLIENTS)]
    await asyncio.sleep(QUIET)
    draining = servers[:2]
    platform.change(*[server.listed(health="draining") for server in draining])
    began = record.now()
    await asyncio.sleep(ENDS)
    # They have had their time: their processes end, with whatever they were sent meanwhile.
    ended = record.now()
    platform.change(*[server.listed(health="removed") for server in draining])
    for server in draining:
        server.server.close()
        for writer in list(server.writers):
            writer.transport.abort()
    await asyncio.sleep(1.0)
    running[0] = False
    await asyncio.gather(*clients)

    late = [run for server in draining for run in server.ran if run[0] > began + TOLD + GRACE]
    record.say("answers:", outcomes)
    record.say(
        f"{len(late)} attempts came to draining servers {TOLD + GRACE:.0f} ms after the change or later"
    )
    debits = [(at, ident) for at, ident, name in late if name == "account-debit"]
    lost = [ident for at, ident in debits if at > ended - 200 and answers[ident] == "failed"]
    record.say(f"{len(debits)} of them are debits; {len(lost)} debits were lost when the servers ended")
    return BROKEN if late else HELD


common.play(case, FOLDER)
