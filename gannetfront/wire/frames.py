"""Length-prefixed protobuf frames of the control stream, without I/O.

A frame is a length of four bytes, big endian, and a serialized `Frame` message of that length.
"""

from google.protobuf.message import DecodeError

from .control_pb2 import Frame

MAX_FRAME_BYTES = 4 << 20  # a list of ten thousand nodes is under 1 MiB


class BadFrame(Exception):
    """Bytes that are not a valid frame, or a frame that is not valid at this point of the stream."""


def pack(**body):
    """The bytes of one frame: `pack(vote=Vote(...))`."""
    data = Frame(**body).SerializeToString()
    return len(data).to_bytes(4, "big") + data


class FrameReader:
    """Splits a byte stream into frames of at most `max_size` bytes each."""

    def __init__(self, max_size=MAX_FRAME_BYTES):
        self.held, self.max_size = bytearray(), max_size

    def feed(self, data):
        """Returns the (name, message) pairs of the frames that `data` completes.

        Raises BadFrame. The stream cannot be read any further after it, as the start of the next frame is unknown.
        """
        self.held += data
        messages, position = [], 0
        while len(self.held) - position >= 4:
            size = int.from_bytes(self.held[position : position + 4], "big")
            if size > self.max_size:
                raise BadFrame(f"frame of {size} bytes, but the maximum is {self.max_size}")
            if len(self.held) - position - 4 < size:
                break
            frame = Frame()
            try:
                frame.ParseFromString(bytes(self.held[position + 4 : position + 4 + size]))
            except DecodeError:
                raise BadFrame(f"{size} bytes could not be decoded as a frame") from None
            name = frame.WhichOneof("body")
            if name is None:
                raise BadFrame("frame without a known body")
            messages.append((name, getattr(frame, name)))
            position += 4 + size
        del self.held[:position]
        return messages
