"""The duty `tenants`: who holds it reads the directory for all, and hands numbered views on under its token.

The views' epoch is the token: a proxy takes none that is older than the one it holds, whoever sends it and however late. What a holder
had itself seen before may be older than what others hold; so it gives out nothing until the directory has answered it, and where a
proxy comes that holds a later epoch, the duty is let go and taken anew above it. Without a holder all serve by the view they hold.
"""

from .. import host
from ..tenants.reader import Reader
from ..tenants.views import View
from .shell import Duty
from .tokens import epoch_of, token_of

LOOK = 100.0


class Tenants(Duty):
    name = "tenants"

    def __init__(self, d, link, streams, log, chance):
        """`d` is a checked Directory; `link` this proxy's own Tenants, which is told where the holder is; `streams` {number: address}."""
        self.d, self.link, self.streams, self.log, self.chance, self.reader = (
            d,
            link,
            streams,
            log,
            chance,
            None,
        )

    def hint(self, holder):
        if holder in self.streams:
            self.link.turn_to(self.streams[holder])

    # ---- held ----

    def work(self, held):
        view, epoch = self.link.held, epoch_of(held.token)
        known = None if view.members is None else View(view.number, view.members, view.groups, [])
        reader = Reader(self.d, self.log, self.chance, term=(epoch, known))

        def ahead(theirs, number):
            given = reader.publisher.views[-1].number if reader.publisher.views else 0
            if theirs > epoch or theirs == epoch and number > given:
                # Somebody held it whom the electors have forgotten.
                self.log.warning("a later view is held by a proxy", theirs=theirs, ours=epoch)
                held.shell.refused(self.name, (token_of(theirs)[0] + 1, 0, 0))

        reader.ahead = ahead
        inside = [host.spawn(reader.run), host.spawn(reader.watch)]
        self.reader = reader
        try:
            while held.left() > 0:
                host.sleep(LOOK)
        finally:
            self.reader = None
            for one in inside:
                host.stop(one)
            for link in list(reader.links):
                link.stream.close()

    def serve(self, stream, reader, hello):
        """A proxy that comes for views, until it goes; False while there is nobody to serve it."""
        if self.reader is None:
            return False
        self.reader.handle(stream, reader, hello)
        return True
