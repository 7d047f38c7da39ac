"""One HTTP request and its answer on a stream, for either end of it; meant for infrequent requests.

Invocations use proxy/clients and proxy/flights instead, which track what the bytes sent and received so far prove
about the execution of the invocation.
"""

from .. import host
from . import http


def ask(address, path, headers, body, limit, name=None, tls=None, most=65536):
    """Sends a POST to `address` ('host:port') and returns (status, body) within `limit` ms.

    The status is 0 where the peer closed the connection before the answer was complete. `name` is the server name
    that TLS verifies, `most` the largest answer in bytes. Raises host.Refused (nothing was sent), host.Timeout,
    OSError or http.BadAnswer.
    """
    deadline, stream = host.now() + limit, host.connect(address, limit)

    def time_left():
        return max(1.0, deadline - host.now())

    try:
        if tls:
            from ..secured import Secured  # here: whoever asks without TLS is spared its memory

            stream = Secured(stream, tls, name)
            stream.handshake(time_left())
        stream.send(
            http.request(path, address.encode(), [*headers, (b"connection", b"close")], body), time_left()
        )
        reader = http.AnswerReader(most)
        return (reader.status, reader.body) if read(stream, reader, time_left) else (0, b"")
    finally:
        stream.close()


def read(stream, reader, time_left):
    """Reads from `stream` until the answer is complete; returns False where the peer closed it before that.

    `time_left()` returns the remaining time in ms. Raises host.Timeout, OSError or http.BadAnswer.
    """
    while not reader.whole:
        data = stream.recv(65536, time_left())
        reader.feed(data)
        if not data:
            break
    return reader.whole


def receive_request(stream, reader, limit):
    """The next request on `stream` as http.RequestReader returns it, or None where the peer closed the connection.

    The limit of `limit` ms applies to the whole request, so a peer that sends a byte now and then cannot keep the
    connection open. Raises host.Timeout, OSError or http.BadRequest.
    """
    deadline = host.now() + limit
    while not reader.ready:
        data = stream.recv(65536, max(0.0, deadline - host.now()))
        if not data:
            return None
        reader.feed(data)
    return reader.ready.pop(0)
