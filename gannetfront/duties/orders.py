"""Client of an operator's orders to a proxy, by the address of its duties' streams."""

from .. import host
from ..wire import control_pb2 as c, frames


def send_order(address, verb, duty="", to=None, limit=2000.0, about=""):
    """Sends one order and returns (succeeded, text). `limit` is the ms for each of connecting, sending and
    receiving.

    Raises OSError, Refused, Timeout or BadFrame."""
    stream, reader = host.connect(address, limit), frames.FrameReader(1 << 20)
    try:
        stream.send(frames.pack(duty_order=c.DutyOrder(verb=verb, duty=duty, to=to, about=about)), limit)
        while True:
            data = stream.recv(65536, limit)
            if not data:
                raise OSError("stream closed before an answer arrived")
            for name, message in reader.feed(data):
                if name != "duty_told":
                    raise frames.BadFrame(f"unexpected {name} as the answer to an order")
                return message.fine, message.text
    finally:
        stream.close()
