"""`python -m gannetfront.edge`: the proxy on the users' platform, in the foreground, told by its environment."""

import os
import signal
import sys

# Before anything that takes time: a signal that comes early must neither kill nor be lost.
early = []
for _name in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_name, lambda number, frame: early.append(number))


def main():
    import gc
    from .. import host
    from ..logs import logs
    from . import config
    from .edge import Edge

    path = os.environ.get("EDGE_CONFIG")
    if not path:
        print("EDGE_CONFIG: not set; it names the configuration file", file=sys.stderr)
        return 2
    log = logs("gannet-edge", "info").bind(name=os.environ.get("EDGE_NAME", ""))
    try:
        edge = Edge(config.Start(config.read(path), os.environ), path, log)
        edge.start()
    except config.BadSetting as bad:
        print(bad, file=sys.stderr)
        return 2
    except OSError as trouble:
        print(f"EDGE_LISTEN, peer_listen: cannot listen: {trouble}", file=sys.stderr)
        return 2
    host.on_signal(("SIGTERM", "SIGINT"), edge.drain)
    host.on_signal(("SIGHUP",), edge.reload)
    if signal.SIGHUP in early:
        edge.reload()
    if signal.SIGTERM in early:
        host.spawn(edge.drain)
    gc.freeze()
    edge.done.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
