"""`python -m gannetfront.edge`: runs the proxy on the users' platform in the foreground.

EDGE_CONFIG names the configuration file. Exits with status 2 if the configuration is not valid or an address
cannot be bound.
"""

import os
import signal
import sys

# Installed before the slow imports: a signal during startup must neither end the process nor be lost.
early_signals = []
for _name in (signal.SIGHUP, signal.SIGTERM):
    signal.signal(_name, lambda number, frame: early_signals.append(number))


def main():
    """Starts the proxy and waits until it has drained. Returns the exit status."""
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
        start = config.Start(config.read(path), os.environ)
        edge = Edge(start, path, log)
        start.budget.count_program(host.resident_size())
        edge.start()
    except config.BadSetting as error:
        print(error, file=sys.stderr)
        return 2
    except OSError as error:
        print(f"EDGE_LISTEN, peer_listen: cannot listen: {error}", file=sys.stderr)
        return 2
    host.on_signal(("SIGTERM", "SIGINT"), edge.drain)
    host.on_signal(("SIGHUP",), edge.reload)
    if signal.SIGHUP in early_signals:
        edge.reload()
    if signal.SIGTERM in early_signals:
        host.spawn(edge.drain)
    gc.freeze()
    edge.done.wait()
    return 0


if __name__ == "__main__":
    sys.exit(main())
