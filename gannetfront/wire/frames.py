"""Length-prefixed protobuf frames of the control stream, without I/O."""

from google.protobuf.message import DecodeError

from .control_pb2 import Frame

MOST = 4 << 20  # bytes of a frame; a list of ten thousand nodes is under 1 MiB


class BadFrame(Exception):
    pass


def pack(**body):
    """`pack(vote=Vote(...))`: the bytes of one frame."""
    data = Frame(**body).SerializeToString()
    return len(data).to_bytes(4, "big") + data


class FrameReader:
    """`feed(bytes)` gives the (name, message) pairs that are whole; raises BadFrame, after which nothing more can be
    read: where the next frame would begin is not known."""

    def __init__(self, most=MOST):
        self.held, self.most = bytearray(), most

    def feed(self, data):
        self.held += data
        found, at = [], 0
        while len(self.held) - at >= 4:
            size = int.from_bytes(self.held[at : at + 4], "big")
            if size > self.most:
                raise BadFrame(f"a frame of {size} bytes, past {self.most}")
            if len(self.held) - at - 4 < size:
                break
            frame = Frame()
            try:
                frame.ParseFromString(bytes(self.held[at + 4 : at + 4 + size]))
            except DecodeError:
                raise BadFrame(f"{size} bytes that are no frame") from None
            name = frame.WhichOneof("body")
            if name is None:
                raise BadFrame("a frame without a known body")
            found.append((name, getattr(frame, name)))
            at += 4 + size
        del self.held[:at]
        return found
