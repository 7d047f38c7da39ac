"""A vote's answer that comes late, overtaken by the news that the build goes back: does the proxy keep to the newer cap?"""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins2"))

import common  # noqa: E402
from common import BROKEN, HELD, TROUBLE, CouldNotRunError  # noqa: E402

CLIENTS = 10
SHARES, CAPS = (0.25, 0.6, 1.0), (0.35, 0.84, 1.0)
CALL = 0.06  # s that a call to the platform takes
TOLD_LATE = 0.4  # s from a change to its news
BACK_AFTER = (
    0.7  # s from the start of the second stage to the vote of another proxy that sends the build back
)
ANSWER_LATE = 0.9  # s more that the answer to a vote at the second stage takes; the settings allow 1.2 s
BINDS = 150.0 + 50.0  # ms from which on a lower cap binds, with the slack of every time limit
WINDOW, MAY_PASS = (
    2000.0,
    2 + 2,
)  # attempts in a window: what the settings grant beside the cap, and the slack
PLAYED = 6.0  # s after the news
BAD = 0.6  # share of the debits that the new build fails from when it is sent back
RANDOM = random.Random(22)


class NewServer(common.Server):
    """A server of the new build, which turns bad some seconds after its start."""

    bad = False

    def answer(self, fields, sql):
        if self.bad and fields["c"] == "account-debit" and RANDOM.random() < BAD:
            return common.error("XX000")
        return super().answer(fields, sql)


class Platform(common.Platform):
    """Moves stages on at one vote, and tells every change TOLD_LATE after it."""

    def __init__(self, record, hosts, new):
        super().__init__(record, hosts, build=2, stage=0, phase="Progressing", cap=CAPS[0])
        self.new = new
        self.told_back = None  # ms of the record at which the news of the way back was written

    async def move(self, stage, phase, cap):
        self.set_state(2, stage, phase, cap)
        await asyncio.sleep(TOLD_LATE)
        self.tell()

    async def second_stage(self):
        moved = asyncio.create_task(self.move(1, "Progressing", CAPS[1]))
        await asyncio.sleep(BACK_AFTER)
        await moved
        for server in self.new:
            server.bad = True
        await self.move(1, "Aborting", 0.0)
        self.told_back = self.record.now()
        while True:
            await asyncio.sleep(2.0)
            self.tell()  # the settings' repeatEveryMs, sooner

    async def on_vote(self, vote):
        await asyncio.sleep(CALL / 2)
        newest = self.state["phase"] == "Progressing" and vote["stage"] == str(self.state["stage"])
        if vote["build"] != "2" or not newest:
            self.record.write("platform answers moot")
            body = b"<Error><Code>moot</Code></Error>"
            return b"HTTP/1.1 400 Bad Request\r\ncontent-length: %d\r\n\r\n" % len(body) + body
        if vote["verdict"] == "promote" and self.state["stage"] == 0:
            answer = self.vote_answer()
            self.task = asyncio.create_task(self.second_stage())
        else:
            answer = self.vote_answer()
        self.record.write("platform words its answer:", answer.rpartition(b"\n")[2].decode())
        late = ANSWER_LATE if TROUBLE and self.state["stage"] == 1 else 0.0
        await asyncio.sleep(CALL / 2 + late)
        self.record.write("platform's answer arrives")
        return answer


async def case(record, place, started):
    def work():
        return RANDOM.uniform(0.02, 0.05)

    old = [common.Server(record, f"s-{number}", work=work) for number in range(4)]
    new = [NewServer(record, f"s-{number}", build=2, work=work) for number in (8, 9)]
    for server in old + new:
        await server.start()
    for server in new:
        server.born_ms = round(1000 * time.time()) - 8000
    platform = Platform(record, [server.listed() for server in old + new], new)
    await platform.start()
    settings = common.settings()
    settings["familyInfo"].update(shares=list(SHARES), stageCap=list(CAPS))
    proxy = common.Proxy(record, platform, settings, place)
    started.append(proxy)
    if not await proxy.start():
        raise CouldNotRunError("the proxy is not ready")

    debits, running = {}, [True]

    async def one(number):
        client, count = common.Client(record, proxy.at), 0
        while running[0]:
            count += 1
            ident = f"{number:04x}{count:012x}"
            if count % 3:
                await client.ask(common.select(ident, "catalogue-read", 3000), 3000)
            else:
                debits[ident] = (await client.ask(common.insert(ident, "account-debit", 3000), 3000))[0]
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(one(number)) for number in range(CLIENTS)]
    end = record.now() + 40000
    while platform.told_back is None or record.now() < platform.told_back + 1000 * PLAYED:
        if record.now() > end:
            raise CouldNotRunError("the build did not come to its second stage")
        await asyncio.sleep(0.05)
    running[0] = False
    await asyncio.gather(*clients)

    late = sorted(run for server in new for run in server.ran if run[0] > platform.told_back + BINDS)
    most = max((sum(at <= run[0] < at + WINDOW for run in late) for at, _, _ in late), default=0)
    record.say(f"cap 0 was told at {platform.told_back:.0f} ms")
    record.say(
        f"{len(late)} attempts at the build came {BINDS:.0f} ms after that or later, {most} in one window"
    )
    failed = [ident for _, ident, name in late if name == "account-debit" and debits[ident] == "failed"]
    if late:
        record.say(f"the last one came {late[-1][0] - platform.told_back:.0f} ms after it")
        record.say(f"{len(failed)} debits among them were lost: their clients were told that they failed")
    return BROKEN if most > MAY_PASS else HELD


common.play(case, FOLDER)
