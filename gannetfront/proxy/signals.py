"""Datagrams between proxies, which may be lost. They are accepted only from addresses of known peers."""

from .. import host

MAX_PAYLOAD = 256  # bytes


class Signals:
    """Sends and receives signals at one port.

    A datagram is two bytes with the sender's number, then the payload. With `bare` it is the payload alone,
    and the sender is known by its address only."""

    def __init__(self, number, listen_address, put_event, bare=False):
        """`number` is this proxy's; `put_event("peer", number, payload)` is called for each signal."""
        self.number = number
        self.put_event = put_event
        self.peers = {}
        self.numbers = {}
        self.bare = bare
        self.port = host.Datagrams(listen_address)

    def on_peers(self, message):
        """Applies a list of peers from the controller; with `more` it adds to the known ones."""
        listed = {p.id: p.address for p in message.peers if p.id != str(self.number)}
        self.set_peers({**self.peers, **listed} if message.more else listed)

    def set_peers(self, peers):
        """Sets the peers: `peers` maps their numbers, as text, to addresses."""
        self.peers = peers
        self.numbers = {address: int(peer_id) for peer_id, address in peers.items() if peer_id.isdigit()}

    def send(self, target, payload):
        """Sends at most MAX_PAYLOAD bytes to the peer with the number `target`, or to all for "*"."""
        header = b"" if self.bare else self.number.to_bytes(2, "big")
        for peer_id, address in self.peers.items():
            if target in ("*", peer_id):
                self.port.send(address, header + payload[:MAX_PAYLOAD])

    def run(self):
        """Receives signals until the port is closed."""
        while True:
            received = self.port.recv(512)
            if received is None:
                return
            data, sender = received
            peer_number, header_size = self.numbers.get(sender), 0 if self.bare else 2
            if (
                peer_number is not None
                and header_size < len(data) <= header_size + MAX_PAYLOAD
                and (self.bare or peer_number == int.from_bytes(data[:2], "big"))
            ):
                self.put_event("peer", peer_number, data[header_size:])
