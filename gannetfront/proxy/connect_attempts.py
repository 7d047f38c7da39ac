"""Connection attempts that stay open while later ones are made: a connection that is slow to come up and one that never
does look alike until it is there."""

from typing import NamedTuple, Optional

from .. import host

MAX_ATTEMPTS = 2  # to one address: the oldest one, and one that is made anew each time
LONGEST_ATTEMPT_MS = 120000.0
MAX_RESULTS = 64


class Attempt:
    """One attempt to connect to `address`."""

    def __init__(self, address):
        self.address = address
        self.greenlet = None


class AttemptResult(NamedTuple):
    """How an attempt ended: with a stream, or with the host.Refused."""

    attempt: Attempt
    stream: Optional[host.Stream]
    error: Optional[host.Refused]


class ConnectAttempts:
    """The open attempts of one client that connects to one of several addresses, oldest first."""

    def __init__(self):
        self.open = []
        self.results = host.Mailbox(MAX_RESULTS)

    def connect(self, address, addresses, limit):
        """Tries `address` for `limit` ms. Returns (address, stream) of the first attempt that comes up, which may be
        an earlier one to another of `addresses`. Raises host.Refused."""
        for attempt in [attempt for attempt in self.open if attempt.address not in addresses]:
            self.end(attempt)
        newest = self.begin(address)
        deadline = host.now() + limit
        while True:
            result = self.results.take(max(0.0, deadline - host.now()))
            if result is None:
                raise host.Refused("late")
            if result.attempt not in self.open:
                self.discard(result)
            elif result.stream:
                self.open.remove(result.attempt)
                self.end_all()
                return result.attempt.address, result.stream
            else:
                self.open.remove(result.attempt)
                if result.attempt is newest:
                    raise result.error

    def begin(self, address):
        """Makes one more attempt; of those to the same address only the oldest one stays open."""
        same = [attempt for attempt in self.open if attempt.address == address]
        for attempt in same[MAX_ATTEMPTS - 1 :]:
            self.end(attempt)
        attempt = Attempt(address)
        self.open.append(attempt)
        attempt.greenlet = host.spawn(self.run, attempt)
        return attempt

    def run(self, attempt):
        try:
            result = AttemptResult(attempt, host.connect(attempt.address, LONGEST_ATTEMPT_MS), None)
        except host.Refused as error:
            result = AttemptResult(attempt, None, error)
        if not self.results.put(result):
            self.discard(result)

    def discard(self, result):
        """Closes what came of an attempt that had ended."""
        if result.stream:
            result.stream.close()

    def end(self, attempt):
        """Ends an open attempt."""
        self.open.remove(attempt)
        host.stop(attempt.greenlet)

    def end_all(self):
        """Ends all open attempts, and closes what came of them."""
        for attempt in list(self.open):
            self.end(attempt)
        for result in self.results.drain():
            self.discard(result)
