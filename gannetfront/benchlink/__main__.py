"""Runs balancers for the simulator: reads batches from standard input, writes replies to standard output."""

import sys

from ..balance import Balancer
from . import codec


class Link:
    """The balancers of one simulation, each known by the instance name that the simulator uses."""

    def __init__(self):
        self.balancers, self.writers, self.deployments, self.tables = {}, {}, {}, {}

    def batch(self, lines):
        """Applies the lines of one batch, from 'round' to before 'commit', and returns the lines of the
        reply. Raises BadLine for a malformed line and for a round that fails."""
        try:
            now, events, reply, order, instance = float(lines[0].split(" ")[1]), {}, [], [], None
        except (ValueError, IndexError):
            raise codec.BadLine(
                f"a batch begins with round and its clock, not {' '.join(lines)[:60]!r}"
            ) from None
        index = 1
        while index < len(lines):
            line = lines[index]
            index += 1
            try:
                words = line.split(" ")
                name = words[0]
                if name == "on":
                    instance = words[1]
                    if instance not in events:
                        events[instance] = []
                        order.append(instance)
                elif name == "table":
                    size = int(words[2])
                    self.tables[int(words[1])] = tuple(
                        codec.parse_entry(entry.split(" ")) for entry in lines[index : index + size]
                    )
                    index += size
                elif name == "start":
                    settings = line.split(" ", 2)[2]
                    deployment = self.deployments[instance] = codec.parse_deployment(settings)
                    self.balancers[instance] = Balancer(int(words[1]), deployment)
                    self.writers[instance] = codec.LineWriter()
                    events[instance] = []
                elif name == "power_off":
                    self.balancers.pop(instance, None)
                    events[instance] = []
                elif instance in self.balancers:
                    event = codec.parse_event(words, self.tables, self.deployments[instance])
                    if event is None:
                        self.writers[instance].log(f"unknown event {name[:40]}")
                    else:
                        events[instance].append(event)
            except (ValueError, IndexError, KeyError, TypeError) as error:
                raise codec.BadLine(f"cannot read '{line[:60]}': {type(error).__name__} {error}") from None
        for instance in order:
            if instance in self.balancers:
                out = self.writers[instance]
                try:
                    self.balancers[instance].round(now, events[instance], out)
                except Exception as error:  # noqa: BLE001 - reraised with the instance and its events
                    kinds = " ".join(sorted({event[0] for event in events[instance]}))
                    raise codec.BadLine(
                        f"round of {instance} at {now:.3f} ({kinds}): {type(error).__name__} {error}"
                    ) from error
                decisions = out.take()
                if decisions:
                    reply.append("at " + instance)
                    reply.extend(decisions)
        return reply


def main():
    """Answers each batch that ends with 'commit'. An error becomes an exception line of the reply,
    addressed to the first instance of the batch."""
    link, lines, out = Link(), [], sys.stdout
    for line in sys.stdin:
        line = line.rstrip("\n")
        if line != "commit":
            if line:
                lines.append(line)
            continue
        try:
            reply = link.batch(lines)
        except Exception as error:  # noqa: BLE001 - the protocol carries the reason, not a traceback
            instance = next((x.split(" ")[1] for x in lines if x.startswith("on ")), None)
            reason = f"{type(error).__name__}: {error}".replace("\n", " ")[:200]
            reply = ([f"at {instance}"] if instance else []) + [f"exception {reason}"]
        out.write("\n".join(reply + ["end"]) + "\n")
        out.flush()
        lines = []


if __name__ == "__main__":
    main()
