"""Plays any number of balancers on the simulator's wire: batches on standard input, replies on standard output."""

import sys

from ..balance import Balancer
from . import codec


class Link:
    def __init__(self):
        self.balancers, self.writers, self.facts, self.banks = {}, {}, {}, {}

    def batch(self, lines):
        """Answers the lines of one batch, from 'round' to before 'commit'."""
        try:
            now, queue, extra, order, i = float(lines[0].split(" ")[1]), {}, [], [], None
        except (ValueError, IndexError):
            raise codec.BadLine(
                f"a batch begins with round and its clock, not {' '.join(lines)[:60]!r}"
            ) from None
        at = 1
        while at < len(lines):
            line = lines[at]
            at += 1
            try:
                p = line.split(" ")
                name = p[0]
                if name == "on":
                    i = p[1]
                    if i not in queue:
                        queue[i] = []
                        order.append(i)
                elif name == "table":
                    size = int(p[2])
                    self.banks[int(p[1])] = tuple(codec.entry(e.split(" ")) for e in lines[at : at + size])
                    at += size
                elif name == "start":
                    info = line.split(" ", 2)[2]
                    facts = self.facts[i] = codec.deployment(info)
                    self.balancers[i], self.writers[i] = Balancer(int(p[1]), facts), codec.LineWriter()
                    queue[i] = []
                elif name == "power_off":
                    self.balancers.pop(i, None)
                    queue[i] = []
                elif i in self.balancers:
                    told = codec.event(p, self.banks, self.facts[i])
                    if told is None:
                        self.writers[i].log(f"unknown event {name[:40]}")
                    else:
                        queue[i].append(told)
            except (ValueError, IndexError, KeyError, TypeError) as trouble:
                raise codec.BadLine(
                    f"cannot read '{line[:60]}': {type(trouble).__name__} {trouble}"
                ) from None
        for i in order:
            if i in self.balancers:
                out = self.writers[i]
                try:
                    self.balancers[i].round(now, queue[i], out)
                except Exception as trouble:  # noqa: BLE001 - said with whose round it was, of how many events
                    told = " ".join(sorted({event[0] for event in queue[i]}))
                    raise codec.BadLine(
                        f"round of {i} at {now:.3f} ({told}): {type(trouble).__name__} {trouble}"
                    ) from trouble
                lines_out = out.take()
                if lines_out:
                    extra.append("at " + i)
                    extra.extend(lines_out)
        return extra


def main():
    link, lines, out = Link(), [], sys.stdout
    for line in sys.stdin:
        line = line.rstrip("\n")
        if line != "commit":
            if line:
                lines.append(line)
            continue
        try:
            reply = link.batch(lines)
        except Exception as trouble:  # noqa: BLE001 - the wire wants the reason, never a traceback
            some = next((x.split(" ")[1] for x in lines if x.startswith("on ")), None)
            reason = f"{type(trouble).__name__}: {trouble}".replace("\n", " ")[:200]
            reply = ([f"at {some}"] if some else []) + [f"exception {reason}"]
        out.write("\n".join(reply + ["end"]) + "\n")
        out.flush()
        lines = []


if __name__ == "__main__":
    main()
