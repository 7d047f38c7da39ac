"""Client of the release API: sends each vote at most once and takes what the stream of notices tells."""

from .. import host
from ..interface import ERROR, SUCCEEDED, TIMEOUT
from ..wire import BadAnswer, asking, http, platform
from .notice_streams import NoticeStreams
from .rollout_state import RolloutState

IDLE_TIMEOUT = 4000.0  # ms that an idle connection for votes is kept, less than the platform keeps it
MAX_UNSENT_EVENTS = 64
MIN_BACKOFF, MAX_BACKOFF = 20.0, 1000.0  # ms until a state that could not be read is asked for anew


class ReleaseApi:
    """Passes the release state and the tallies to the decision module and sends its votes."""

    def __init__(self, at, operations, answer_wait, put_event, jitter, log):
        """`operations` maps names to an index; `answer_wait` is the time limit of a vote in ms;
        `put_event(name, *fields)` passes an event on to the decision module."""
        self.at = at
        self.operations = operations
        self.answer_wait = answer_wait
        self.put_event = put_event
        self.jitter = jitter
        self.log = log
        self.votes = host.Mailbox(16)
        self.rollout = RolloutState()
        self.unsent_events = []
        self.passing_on = False
        self.reopening = False
        self.reopen_backoff = MIN_BACKOFF
        self.idle_connection = None
        self.streams = NoticeStreams(at, self.on_notice, self.on_lost_notice, jitter, log)

    # ---- release state ----

    newest = property(lambda self: self.rollout.newest)
    stream = property(lambda self: self.streams.stream)

    def state(self, answer, status, received=None, asked_at=None):
        """Passes on the newest known state; `answer` says whether it comes with the outcome of a vote, which was
        sent at `asked_at`."""
        now = host.now()
        if received:
            self.rollout.receive(received, now, now if asked_at is None else asked_at)
        while len(self.unsent_events) > MAX_UNSENT_EVENTS:
            host.sleep(1)
        self.pass_on(self.rollout.events(host.now(), answer, status))

    def pass_on(self, events):
        """Passes events on in the order in which they were made, also where several greenlets wait for room."""
        self.unsent_events += events
        if self.passing_on:
            return
        self.passing_on = True
        try:
            while self.unsent_events:
                self.put_event(*self.unsent_events.pop(0))
        finally:
            self.passing_on = False

    def lose_state(self, source, error):
        """A state came from `source` that cannot be read: stops dispatches to a build on trial."""
        self.log.warning("release state unreadable", source=source, why=str(error)[:200])
        partial = getattr(error, "partial", platform.PartialState())
        self.rollout.lose(partial, host.now())
        self.state(False, SUCCEEDED)

    def on_unreadable_state(self, source, error):
        """Does as lose_state() and asks for the state anew, on another stream of notices."""
        self.lose_state(source, error)
        if not self.reopening:
            self.reopening = True
            host.spawn(self.reopen)

    def reopen(self):
        """Opens another stream of notices after a backoff: each begins with the state. The old stream stays open
        until the new one is accepted, so that no count is missed."""
        host.sleep(self.reopen_backoff * (0.5 + self.jitter.random()))
        self.reopen_backoff = min(MAX_BACKOFF, 2 * self.reopen_backoff)
        self.reopening = False
        if self.rollout.unreadable_since is not None:
            self.streams.renew()

    def move(self, at):
        """Switches to a release API at another address. The old stream stays open until the new one is
        accepted."""
        if at != self.at:
            self.at = at
            self.streams.move(at)

    # ---- votes ----

    def vote(self, stage, build, verdict, why):
        """Queues a vote; a full queue is reported as an error at once."""
        if not self.votes.put((stage, build, verdict)):
            self.state(True, ERROR)

    def run(self):
        """Sends the queued votes, one at a time, and passes on their outcomes."""
        while True:
            vote = self.votes.take()
            if vote:
                asked_at = host.now()
                status, received = self.cast(platform.vote(*vote))
                self.log.info(
                    "vote", stage=vote[0], build=vote[1], verdict=platform.VERDICTS[vote[2]], answer=status
                )
                self.state(True, status, received, asked_at)

    def cast(self, form):
        """Sends a vote; returns (status, state or None). Never retried: a vote that was received may have
        been counted."""
        deadline, at = host.now() + self.answer_wait, self.at

        def time_left():
            return max(1.0, deadline - host.now())

        stream = self.take_idle_connection(at)
        try:
            stream = stream or host.connect(at, time_left())
        except host.Refused:
            return ERROR, None
        data = http.request(
            b"/api/", at.encode(), [(b"content-type", b"application/x-www-form-urlencoded")], form
        )
        reader, stream.sent = http.AnswerReader(65536), 0
        try:
            stream.send(data, time_left())
            if not asking.read(stream, reader, time_left):
                raise BadAnswer("the connection ended before the answer was whole")
            answer = platform.vote_answer(reader.status, reader.body)
            if answer[0] == TIMEOUT:
                self.on_unreadable_state("vote", f"status {reader.status}")
            if reader.reusable and answer[0] != TIMEOUT:
                self.idle_connection, stream = (host.now(), at, stream), None
            return answer
        except (OSError, host.Timeout, BadAnswer) as error:
            if reader.received_size:
                self.on_unreadable_state("vote", error)
            return (TIMEOUT if stream.sent >= len(data) else ERROR), None
        finally:
            if stream:
                stream.close()

    def take_idle_connection(self, at):
        """The idle connection to an address if it may still be used, or None; any other idle connection is
        closed."""
        connection, self.idle_connection = self.idle_connection, None
        if not connection:
            return None
        since, address, stream = connection
        if address == at and host.now() - since < IDLE_TIMEOUT and not stream.waiting():
            return stream
        stream.close()

    # ---- notices ----

    def listen(self):
        """Keeps a stream of notices open forever."""
        self.streams.run()

    def on_lost_notice(self, error):
        """Part of what the stream told was lost."""
        self.lose_state("notice stream", error)

    def on_notice(self, event, fields):
        try:
            if event == platform.NEWS:
                self.state(False, SUCCEEDED, platform.state(fields))
                self.reopen_backoff = MIN_BACKOFF
            elif event == platform.COUNTS:
                self.put_event("tally", *platform.counts(fields, self.operations))
            elif platform.holds_state(fields):
                raise platform.UnreadableState("a state in a notice of another name")
            else:
                self.log.info("unknown notice", notice=event[:20])
        except platform.UnreadableState as error:
            self.log.info("malformed notice", notice=event[:20], why=str(error)[:200])
            self.on_unreadable_state("notice", error)
        except BadAnswer as error:
            self.log.warning("malformed notice", notice=event[:20], why=str(error)[:200])
