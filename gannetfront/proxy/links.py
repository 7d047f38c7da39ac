"""The proxy's link to the controllers: the control stream, which resumes."""

from .. import host
from ..interface import ERROR, FULL, MOOT, SUCCEEDED, TIMEOUT
from ..wire import control_pb2 as c, frames

STATUS = {c.OK: SUCCEEDED, c.MOOT: MOOT, c.FULL: FULL, c.ERROR: ERROR}
ALIVE, LOST = 1000.0, 4000.0  # says something this often; a peer silent for so long is gone


class Outdated(Exception):
    def __init__(self, told, newest):
        super().__init__(f"epoch {told} after {newest}")
        self.told, self.newest = told, newest


class Epochs:
    """The newest epoch heard of. A controller that was stopped and goes on does not know that another took its turn: what
    it says then must not be heeded, by whatever way it comes."""

    def __init__(self):
        self.newest = 0

    def check(self, message):
        told = getattr(message, "epoch", 0)
        if told:
            if told < self.newest:
                raise Outdated(told, self.newest)
            self.newest = told


class StreamLink:
    """Keeps one stream of frames to one of `to`, an address or several in turn; what comes is given to `on_<name>`. Names it
    by `what` in the log."""

    def __init__(self, to, log, chance, what, most=1024):
        self.most = most  # frames that wait to be sent
        self.to, self.log, self.chance, self.what = (
            [to] if isinstance(to, str) else list(to),
            log,
            chance,
            what,
        )
        self.out, self.up, self.turned_away, self.stream = None, False, False, None

    def turn_to(self, address):
        """Who is to be talked to is another now, or the same: a stream to any other ends."""
        if self.to != [address]:
            self.to = [address]
            if self.stream:
                self.stream.close()

    def run(self):
        wait, at = 50.0, 0
        while True:
            self.turned_away = False
            try:
                at %= len(self.to)
                stream = host.connect(self.to[at], 1000)
            except host.Refused as trouble:
                self.log.info(f"{self.what} unreachable", at=self.to[at], why=trouble.kind)
                used = False
            else:
                used = self.talk(stream) and not self.turned_away
            if used:
                wait = 50.0
            else:  # a standby turns callers away: the one that acts is another
                at = (at + 1) % len(self.to)
            # Spread, so that hundreds of proxies cut off together do not come back together.
            host.sleep(wait * (0.5 + self.chance.random()))
            if at == 0:
                wait = min(2000.0, 1.6 * wait)

    def talk(self, stream):
        """One stream until it breaks; True if it was of use."""
        reader, heard = frames.FrameReader(), False
        self.out = out = host.Mailbox(self.most)
        out.put(frames.pack(hello=self.hello()))
        self.begun()
        writer = host.spawn(self.write, stream, out)
        self.up, self.stream = True, stream
        try:
            while True:
                data = stream.recv(65536, LOST)
                if not data:
                    self.log.info(f"{self.what} closed")
                    break
                for name, message in reader.feed(data):
                    heard = True
                    self.check(message)
                    getattr(self, "on_" + name, self.on_other)(message)
        except host.Timeout:
            self.log.warning(f"{self.what} silent", for_ms=LOST)
        except frames.BadFrame as trouble:
            self.log.error(f"{self.what} sent garbage", why=str(trouble))
        except Outdated as trouble:
            self.log.error(
                f"{self.what} of an earlier turn refused", told=trouble.told, newest=trouble.newest
            )
            self.turned_away = True
        except OSError as trouble:
            self.log.info(f"{self.what} broke", why=str(trouble))
        finally:
            self.up, self.stream = False, None
            stream.close()
            host.stop(writer)
            self.lost()
        return heard

    def begun(self):
        """The stream is here: what is said right after the hello."""

    def lost(self):
        """The stream has ended."""

    def check(self, message):
        """Before a message is heeded; raises Outdated."""

    def on_other(self, message):
        """Of a later version: passed over."""

    def write(self, stream, out):
        try:
            while True:
                stream.send(out.take(ALIVE) or frames.pack(alive=c.Alive()), LOST)
        except (OSError, host.Timeout):
            stream.close()


class ControlLink(StreamLink):
    """To the controller: what it is told becomes events for `tell`; votes get their answer from there, from the clock
    (`answer_wait`) or at once when the link is down."""

    def __init__(self, me, to, kept, answer_wait, tell, log, signal_address, on_peers, chance, on_list):
        super().__init__(to, log, chance, "control")
        self.me, self.kept, self.answer_wait, self.tell = me, kept, answer_wait, tell
        self.signal_address, self.on_peers, self.on_list = signal_address, on_peers, on_list
        self.waiting, self.number, self.epochs = {}, 0, Epochs()
        self.check = self.epochs.check

    def hello(self):
        self.epochs.newest = max(self.epochs.newest, self.kept.epoch)
        return c.Hello(
            role=c.PROXY,
            id=str(self.me),
            revision=self.kept.revision,
            epoch=self.kept.epoch,
            signal_address=self.signal_address,
        )

    def lost(self):
        for number in list(self.waiting):
            self.answered(number, TIMEOUT)  # it may have been heard

    # ---- what is told ----

    def on_refusal(self, message):
        self.turned_away = True
        self.log.info("control refuses", why=message.why)

    def on_welcome(self, message):
        self.log.info("control up", epoch=message.epoch)

    def on_stage(self, m):
        if m.answer:
            if m.number in self.waiting:
                self.answered(m.number, STATUS.get(m.status, ERROR), m)
            return
        self.tell("stage_told", False, m.stage, m.since, m.cap, SUCCEEDED, m.ver, m.phase)

    def on_tally(self, message):
        for row in message.rows:
            mean = row.taken / max(1, row.dispatches - row.bad)
            self.tell("tally", row.dispatches, message.age, row.bad, mean, row.operation, row.ver)

    # ---- votes ----

    def vote(self, stage, ver, verdict, figures=""):
        self.number += 1
        number = self.number
        packed = frames.pack(
            vote=c.Vote(number=number, stage=stage, ver=ver, verdict=verdict, figures=figures[:400])
        )
        if not self.up or not self.out.put(packed):
            self.tell("stage_told", True, stage, 0.0, 0.0, ERROR, ver, 0)
            return
        self.waiting[number] = stage, ver, host.later(self.answer_wait, self.answered, number, TIMEOUT)

    def answered(self, number, status, m=None):
        stage, ver, timer = self.waiting.pop(number, (None, None, None))
        if timer is None:
            return
        if status != TIMEOUT:
            host.stop(timer)
        if m is None:
            m = c.Stage(stage=stage, ver=ver, cap=0.0, phase=0)
        self.tell("stage_told", True, m.stage, m.since, m.cap, status, m.ver, m.phase)

    def counts(self, rows):
        if self.up:
            self.out.put(frames.pack(counts=c.Counts(rows=rows)))

    def ask_whole(self):
        if not self.up or not self.out.put(frames.pack(ask=c.Ask(whole=True))):
            self.tell("listed", "failed", ())
