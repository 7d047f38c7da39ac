"""TLS on a Stream. A module of its own, as `ssl` is large and most programs use no TLS."""

import ssl

from .host import now


class Secured:
    """A Stream under TLS: the same calls, the handshake in the first of them. Errors of TLS are ssl.SSLError, an OSError."""

    def __init__(self, stream, context, name=None, server=False):
        self.under, self.came, self.goes, self.sent = stream, ssl.MemoryBIO(), ssl.MemoryBIO(), 0
        self.tls = context.wrap_bio(self.came, self.goes, server_side=server, server_hostname=name)

    open = property(lambda self: self.under.open)

    def flush(self, limit):
        data = self.goes.read()
        if data:
            self.under.send(data, limit)

    def through(self, call, once, limit):
        """Runs a TLS call until it needs nothing more; None where `once` came first."""
        end = None if limit is None else now() + limit
        while True:
            try:
                result = call()
                self.flush(limit)
                return result
            except ssl.SSLWantReadError:
                self.flush(limit)
                data = self.under.recv_or(once, 65536, None if end is None else end - now())
                if data is None:
                    return None
                if data:
                    self.came.write(data)
                else:
                    self.came.write_eof()
            except ssl.SSLZeroReturnError:
                return b""
            except ssl.SSLEOFError:
                raise ConnectionResetError("ended without the close of TLS") from None

    def handshake(self, limit):
        self.through(self.tls.do_handshake, None, limit)

    def send(self, data, limit=None):
        self.sent = 0
        self.through(lambda: self.tls.write(data), None, limit)
        self.sent = len(data)

    def recv(self, size, limit=None):
        return self.recv_or(None, size, limit)

    def recv_or(self, once, size, limit=None):
        return self.through(lambda: self.tls.read(size), once, limit)

    def close(self):
        self.under.close()

    def reset(self):
        self.under.reset()
