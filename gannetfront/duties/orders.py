"""An operator's order to a proxy, by the address of its duties' streams."""

from .. import host
from ..wire import control_pb2 as c, frames


def order(at, verb, duty="", to=None, limit=2000.0, about=""):
    """(whether it is fine, text); raises OSError, Refused, Timeout or BadFrame. `limit` is ms."""
    stream, reader = host.connect(at, limit), frames.FrameReader(1 << 20)
    try:
        stream.send(frames.pack(duty_order=c.DutyOrder(verb=verb, duty=duty, to=to, about=about)), limit)
        while True:
            data = stream.recv(65536, limit)
            if not data:
                raise OSError("closed without an answer")
            for name, message in reader.feed(data):
                if name != "duty_told":
                    raise frames.BadFrame(f"a {name} for an answer")
                return message.fine, message.text
    finally:
        stream.close()
