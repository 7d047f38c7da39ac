"""The duty `tenants`: its holder reads the directory for all proxies and distributes numbered views under its
token.

The epoch of a view is the token: a proxy accepts no view older than the one it has, whoever sends it and
however late. What a new holder saw before may be older than what other proxies have. So it distributes
nothing until the directory has answered it, and where a proxy connects that has a later epoch, it steps down
and acquires the duty again above that epoch. Without a holder all proxies serve by the view they have.
"""

from .. import host
from ..tenants.reader import Reader
from ..tenants.views import View
from .shell import Duty
from .tokens import epoch_of, token_of

POLL_INTERVAL = 100.0  # ms between checks that the duty is still held


class Tenants(Duty):
    """The duty `tenants` at one proxy: the directory reader while it holds the duty, and the streams of
    proxies that want views."""

    name = "tenants"

    def __init__(self, directory, link, streams, log, random):
        """`directory` is a checked Directory and `link` this proxy's own Tenants, which connects to the
        holder. `streams` is {number: address}; `random.random()` spreads the reader's retries."""
        self.directory = directory
        self.link = link
        self.streams = streams
        self.log = log
        self.random = random
        self.reader = None

    def hint(self, holder):
        if holder in self.streams:
            self.link.set_peer(self.streams[holder])

    # ---- while the duty is held ----

    def work(self, held):
        """Reads the directory and serves views until the lease ends."""
        view, epoch = self.link.held, epoch_of(held.token)
        known = None if view.members is None else View(view.number, view.members, view.groups, [])
        reader = Reader(self.directory, self.log, self.random, term=(epoch, known))

        def on_later_view(other_epoch, number):
            newest = reader.publisher.views[-1].number if reader.publisher.views else 0
            if other_epoch > epoch or other_epoch == epoch and number > newest:
                # An earlier holder that the electors no longer remember gave it out.
                self.log.warning("a later view is held by a proxy", theirs=other_epoch, ours=epoch)
                held.shell.refused(self.name, (token_of(other_epoch)[0] + 1, 0, 0))

        reader.on_proxy_view = on_later_view
        greenlets = [host.spawn(reader.run), host.spawn(reader.poll_acceptance)]
        self.reader = reader
        try:
            while held.left() > 0:
                host.sleep(POLL_INTERVAL)
        finally:
            self.reader = None
            for greenlet in greenlets:
                host.stop(greenlet)
            for link in list(reader.connections):
                link.stream.close()

    def serve(self, stream, reader, hello):
        """Serves views to a proxy until it disconnects; False where the duty's reader does not run here."""
        if self.reader is None:
            return False
        self.reader.handle(stream, reader, hello)
        return True
