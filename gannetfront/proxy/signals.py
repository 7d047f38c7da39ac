"""Datagrams between proxies, which may be lost. One is heard only from the address of a peer that was named."""

from .. import host

LONGEST = 256  # bytes of a payload


class Signals:
    """Two bytes of the sender's number, then the payload; with `bare` the payload alone, the sender told by its address."""

    def __init__(self, me, at, tell, bare=False):
        self.me, self.tell, self.peers, self.names, self.bare = me, tell, {}, {}, bare
        self.port = host.Datagrams(at)

    def on_peers(self, message):
        told = {p.id: p.address for p in message.peers if p.id != str(self.me)}
        self.know({**self.peers, **told} if message.more else told)

    def know(self, peers):
        """`peers` maps numbers as text to addresses."""
        self.peers = peers
        self.names = {address: int(ident) for ident, address in peers.items() if ident.isdigit()}

    def send(self, target, payload):
        head = b"" if self.bare else self.me.to_bytes(2, "big")
        for ident, address in self.peers.items():
            if target in ("*", ident):
                self.port.send(address, head + payload[:LONGEST])

    def run(self):
        while True:
            got = self.port.recv(512)
            if got is None:
                return
            data, sender = got
            number, head = self.names.get(sender), 0 if self.bare else 2
            if (
                number is not None
                and head < len(data) <= head + LONGEST
                and (self.bare or number == int.from_bytes(data[:2], "big"))
            ):
                self.tell("peer", number, data[head:])
