"""The stream of notices of the release API: opens it, and another one where it ends or falls silent.

A stream that is accepted slowly and one that never is look alike until the answer comes. So a late request for a stream
stays open and another one is made beside it, as WatchSchedule says; the first one that is accepted stands. Until then
the earlier stream is read on.
"""

from .. import host
from ..wire import BadAnswer, http, platform
from .watch_schedule import MAX_PATIENCE, Call, WatchSchedule

SILENCE_TIMEOUT = 3500.0  # ms without data until another stream is asked for; heartbeats come each second
READ_SIZE = 64 << 10  # bytes
MAX_WAKE_UPS = 4


class OpenRequest:
    """The greenlet and the connection of a request for a stream."""

    def __init__(self):
        self.greenlet = None
        self.stream = None


class NoticeStreams:
    """One accepted stream at a time, and the requests for the next one. All times are in ms."""

    def __init__(self, at, on_notice, on_lost, jitter, log):
        """`on_notice(event, fields)` gets what is told; `on_lost(error)` is called where a part of it was lost."""
        self.at = at
        self.on_notice = on_notice
        self.on_lost = on_lost
        self.jitter = jitter
        self.log = log
        self.schedule = WatchSchedule()
        self.requests = {}  # Call -> OpenRequest
        self.stream = None  # the accepted one
        self.heard_at = host.now()
        self.is_renewal_due = False
        self.reported_silence = None  # since when, in the last log line on it
        self.wake_ups = host.Mailbox(MAX_WAKE_UPS)

    def move(self, at):
        """Switches to a release API at another address. The old stream is read until a new one is accepted."""
        self.at = at
        self.schedule.on_move()
        self.renew()

    def renew(self):
        """Asks for another stream in place of the present one."""
        self.is_renewal_due = True
        self.wake_ups.put(None)  # where there is no room, run() is about to wake

    def run(self):
        """Keeps a stream open forever."""
        while True:
            if self.needs_stream() and host.now() >= self.schedule.next_call_at(self.at):
                self.request_stream()
            self.wake_ups.take(self.time_to_wait())

    def needs_stream(self):
        """Whether another stream is to be requested."""
        if self.stream is None or self.is_renewal_due:
            return True
        if host.now() - self.heard_at < SILENCE_TIMEOUT:
            return False
        if self.reported_silence != self.heard_at:
            self.reported_silence = self.heard_at
            self.log.info("notice stream failed", at=self.at, why="silent")
        return True

    def time_to_wait(self):
        """ms until run() has to do something if nothing happens before."""
        if self.needs_stream():
            return max(0.0, self.schedule.next_call_at(self.at) - host.now())
        return max(0.0, self.heard_at + SILENCE_TIMEOUT - host.now())

    def request_stream(self):
        """Requests a stream, beside the requests that are open."""
        now = host.now()
        for call in self.schedule.make_room(now, self.at):
            self.give_up(call)
        call, request = Call(self.at, False, 0, 0, now), OpenRequest()
        self.schedule.add(call)
        self.requests[call] = request
        request.greenlet = host.spawn(self.read, call, request)

    def give_up(self, call):
        """Ends a request that the schedule has taken out."""
        request = self.requests.pop(call)
        host.stop(request.greenlet)
        if request.stream:
            request.stream.close()

    def read(self, call, request):
        """Requests a stream and, once it is accepted, reads it until it ends."""
        reader = platform.Notices()
        try:
            request.stream = host.connect(call.address, MAX_PATIENCE)
            message = http.request(b"/api/notices", call.address.encode(), [], b"", b"GET")
            request.stream.send(message, MAX_PATIENCE)
            call.is_connected = True
            self.read_notices(call, request.stream, reader)
        except (OSError, host.Refused, host.Timeout, BadAnswer) as error:
            why = str(error)[:200] or type(error).__name__
            self.log.info("notice stream failed", at=call.address, why=why)
            if isinstance(error, BadAnswer):
                self.on_lost(error)
        finally:
            self.on_end(call, request.stream, reader)

    def read_notices(self, call, stream, reader):
        """Passes on what a stream tells until it ends. Raises OSError, Timeout or BadAnswer."""
        while not reader.ended:
            data = stream.recv(READ_SIZE, MAX_PATIENCE)
            if not data:
                return
            notices = reader.feed(data)
            if reader.good and call in self.requests:
                self.accept(call, stream)
            if self.stream is stream:
                self.heard_at = host.now()
            for event, fields in notices:
                self.on_notice(event, fields)

    def accept(self, call, stream):
        """A stream was accepted: the earlier one and all other requests end. A count that arrived on two streams
        would be added twice."""
        previous, self.stream = self.stream, stream
        if previous:
            previous.close()
        del self.requests[call]
        self.schedule.on_answer(call, host.now(), self.at)
        is_current = call.address == self.at
        if is_current:
            self.is_renewal_due = False
        # One of the earlier address is read until one of the new address is accepted.
        for other in list(self.requests):
            if is_current or other.address == call.address:
                self.schedule.end(other)
                self.give_up(other)

    def on_end(self, call, stream, reader):
        """A stream or a request for one has ended."""
        if stream:
            stream.close()
        was_request = self.requests.pop(call, None) is not None
        was_accepted = stream is not None and self.stream is stream
        if not was_request and not was_accepted:
            return  # another one has taken its place
        self.schedule.on_failure(call, host.now(), self.at, self.jitter.random())
        if was_accepted:
            self.stream = None
        self.wake_ups.put(None)
        if was_accepted and reader.begun:
            self.on_lost("it ended within a notice")
