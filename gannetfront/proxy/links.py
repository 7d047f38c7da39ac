"""Client side of the frame streams: a stream that reconnects, and the proxy's link to the controllers."""

from .. import host
from ..interface import ERROR, FULL, MOOT, SUCCEEDED, TIMEOUT
from ..wire import control_pb2 as c, frames
from .connect_attempts import ConnectAttempts

STATUS_BY_CODE = {c.OK: SUCCEEDED, c.MOOT: MOOT, c.FULL: FULL, c.ERROR: ERROR}
HEARTBEAT_INTERVAL_MS = 1000.0
CONNECT_WAIT_MS = 1000.0  # until the next address is tried; the attempt stays open
PEER_TIMEOUT_MS = 4000.0  # a peer that sends nothing for so long is lost


class Outdated(Exception):
    """A message carries an older epoch than one received before."""

    def __init__(self, received, newest):
        super().__init__(f"epoch {received} received after {newest}")
        self.received = received
        self.newest = newest


class Epochs:
    """Tracks the newest epoch received, and rejects messages of older ones.

    A controller that was paused and resumes does not know that another one has become the leader meanwhile.
    Its messages must not be applied, whichever way they arrive."""

    def __init__(self):
        self.newest = 0

    def check(self, message):
        """Records the epoch of a message; raises Outdated for an older one. A message may carry no epoch."""
        received = getattr(message, "epoch", 0)
        if received:
            if received < self.newest:
                raise Outdated(received, self.newest)
            self.newest = received


class StreamLink:
    """Keeps one frame stream open to one of several addresses, which are tried in turn.

    A received message is passed to the method `on_<name>`. Subclasses define `hello()`, which returns the
    first message to send. `name` identifies the peer in the log."""

    def __init__(self, to, log, random, name, max_queued=1024):
        """`to` is an address or a list of them; `random.random()` spreads the reconnects."""
        self.max_queued = max_queued  # frames that wait to be sent
        self.to = [to] if isinstance(to, str) else list(to)
        self.log = log
        self.random = random
        self.name = name
        self.out = None
        self.up = False
        self.turned_away = False
        self.stream = None
        self.attempts = ConnectAttempts()

    def set_peer(self, address):
        """Makes `address` the only peer, and closes a stream to any other."""
        if self.to != [address]:
            self.to = [address]
            if self.stream:
                self.stream.close()

    def run(self):
        """Connects and reconnects for ever."""
        try:
            self.keep_connected()
        finally:
            self.attempts.end_all()

    def keep_connected(self):
        delay, index = 50.0, 0
        while True:
            self.turned_away = False
            try:
                index %= len(self.to)
                address, stream = self.attempts.connect(self.to[index], self.to, CONNECT_WAIT_MS)
            except host.Refused as error:
                self.log.info(f"{self.name} unreachable", at=self.to[index], why=error.kind)
                useful = False
            else:
                if address not in self.to:
                    stream.close()  # set_peer() has taken it out meanwhile
                    continue
                index = self.to.index(address)
                useful = self.run_stream(stream) and not self.turned_away
            if useful:
                delay = 50.0
            else:  # a standby refuses its callers: another peer is the leader
                index = (index + 1) % len(self.to)
            # Jitter, so that hundreds of proxies that were cut off together do not reconnect together.
            host.sleep(delay * (0.5 + self.random.random()))
            if index == 0:
                delay = min(2000.0, 1.6 * delay)

    def run_stream(self, stream):
        """Runs one stream until it ends; returns whether a message was received."""
        reader, received = frames.FrameReader(), False
        self.out = out = host.Mailbox(self.max_queued)
        out.put(frames.pack(hello=self.hello()))
        self.connected()
        writer = host.spawn(self.write, stream, out)
        self.up, self.stream = True, stream
        try:
            while True:
                data = stream.recv(65536, PEER_TIMEOUT_MS)
                if not data:
                    self.log.info(f"{self.name} closed")
                    break
                for name, message in reader.feed(data):
                    received = True
                    self.check(message)
                    getattr(self, "on_" + name, self.on_other)(message)
        except host.Timeout:
            self.log.warning(f"{self.name} silent", for_ms=PEER_TIMEOUT_MS)
        except frames.BadFrame as error:
            self.log.error(f"{self.name} sent garbage", why=str(error))
        except Outdated as error:
            self.log.error(f"{self.name} of an older epoch refused", told=error.received, newest=error.newest)
            self.turned_away = True
        except OSError as error:
            self.log.info(f"{self.name} broke", why=str(error))
        finally:
            self.up, self.stream = False, None
            stream.close()
            host.stop(writer)
            self.disconnected()
        return received

    def connected(self):
        """Called once a stream is open: sends what follows the hello."""

    def disconnected(self):
        """Called when the stream has ended."""

    def check(self, message):
        """Called before a message is applied; raises Outdated."""

    def on_other(self, message):
        """Ignores a message of a type that only a later version knows."""

    def write(self, stream, out):
        """Sends the queued frames, and a heartbeat whenever nothing was queued for the interval."""
        try:
            while True:
                stream.send(out.take(HEARTBEAT_INTERVAL_MS) or frames.pack(alive=c.Alive()), PEER_TIMEOUT_MS)
        except (OSError, host.Timeout):
            stream.close()


class ControlLink(StreamLink):
    """The link to the controller. Received messages are passed to `put_event` as events.

    Each vote gets an answer as an event: the controller's, a time-out after `answer_wait` ms, or an error at
    once while the link is down."""

    def __init__(
        self,
        proxy_number,
        to,
        node_list,
        answer_wait,
        put_event,
        log,
        signal_address,
        on_peers,
        random,
        on_list,
    ):
        """`node_list` is the list that the proxy holds; its revision and epoch are sent in the hello.
        `on_peers(message)` and `on_list(message)` receive the messages of these names."""
        super().__init__(to, log, random, "control")
        self.proxy_number = proxy_number
        self.node_list = node_list
        self.answer_wait = answer_wait
        self.put_event = put_event
        self.signal_address = signal_address
        self.on_peers = on_peers
        self.on_list = on_list
        self.pending_votes = {}
        self.last_vote_number = 0
        self.epochs = Epochs()
        self.check = self.epochs.check

    def hello(self):
        """Returns the first message of a stream."""
        self.epochs.newest = max(self.epochs.newest, self.node_list.epoch)
        return c.Hello(
            role=c.PROXY,
            id=str(self.proxy_number),
            revision=self.node_list.revision,
            epoch=self.node_list.epoch,
            signal_address=self.signal_address,
        )

    def disconnected(self):
        for number in list(self.pending_votes):
            self.complete_vote(number, TIMEOUT)  # the controller may have counted it

    # ---- received messages ----

    def on_refusal(self, message):
        """The peer refuses this link, as a standby does."""
        self.turned_away = True
        self.log.info("control refuses", why=message.why)

    def on_welcome(self, message):
        """The controller has accepted this link."""
        self.log.info("control up", epoch=message.epoch)

    def on_stage(self, message):
        """A new stage, or the answer to a vote of this proxy."""
        if message.answer:
            if message.number in self.pending_votes:
                self.complete_vote(message.number, STATUS_BY_CODE.get(message.status, ERROR), message)
            return
        self.put_event(
            "stage_told",
            False,
            message.stage,
            message.since,
            message.cap,
            SUCCEEDED,
            message.ver,
            message.phase,
        )

    def on_tally(self, message):
        """The outcomes that all proxies counted, by build and operation."""
        for row in message.rows:
            mean = row.taken / max(1, row.dispatches - row.bad)
            self.put_event("tally", row.dispatches, message.age, row.bad, mean, row.operation, row.ver)

    # ---- votes ----

    def vote(self, stage, build, verdict, figures=""):
        """Sends a vote; its answer arrives as an event."""
        self.last_vote_number += 1
        number = self.last_vote_number
        packed = frames.pack(
            vote=c.Vote(number=number, stage=stage, ver=build, verdict=verdict, figures=figures[:400])
        )
        if not self.up or not self.out.put(packed):
            self.put_event("stage_told", True, stage, 0.0, 0.0, ERROR, build, 0)
            return
        self.pending_votes[number] = (
            stage,
            build,
            host.later(self.answer_wait, self.complete_vote, number, TIMEOUT),
        )

    def complete_vote(self, number, status, message=None):
        """Reports the answer to a pending vote; `message` is the controller's answer, if there was one."""
        stage, build, timer = self.pending_votes.pop(number, (None, None, None))
        if timer is None:
            return
        if status != TIMEOUT:
            host.stop(timer)
        if message is None:
            message = c.Stage(stage=stage, ver=build, cap=0.0, phase=0)
        self.put_event(
            "stage_told",
            True,
            message.stage,
            message.since,
            message.cap,
            status,
            message.ver,
            message.phase,
        )

    def send_tallies(self, rows):
        """Sends the outcomes that this proxy counted; they are dropped while the link is down."""
        if self.up:
            self.out.put(frames.pack(counts=c.Counts(rows=rows)))

    def request_full_list(self):
        """Requests the whole node list."""
        if not self.up or not self.out.put(frames.pack(ask=c.Ask(whole=True))):
            self.put_event("listed", "failed", ())
