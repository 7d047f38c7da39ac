"""Plays any number of balancers on the simulator's wire: batches on standard input, replies on standard output."""
import sys

from ..balance import Balancer
from . import codec


class Link:
    def __init__(self):
        self.balancers, self.writers, self.fields, self.banks = {}, {}, {}, {}

    def batch(self, lines):
        """Answers the lines of one batch, from 'round' to before 'commit'."""
        now, queue, extra, order, i = float(lines[0].split(" ")[1]), {}, [], [], None
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
                    self.banks[int(p[1])] = tuple(codec.entry(e.split(" ")) for e in lines[at:at + size])
                    at += size
                elif name == "start":
                    info = line.split(" ", 2)[2]
                    facts = codec.deployment(info)
                    self.fields[i] = facts.report_fields
                    self.balancers[i], self.writers[i] = Balancer(int(p[1]), facts), codec.LineWriter()
                    queue[i] = []
                elif name == "power_off":
                    self.balancers.pop(i, None)
                    queue[i] = []
                elif i in self.balancers:
                    told = codec.event(p, self.banks, self.fields[i])
                    if told is None:
                        self.writers[i].log(f"unknown event {name[:40]}")
                    else:
                        queue[i].append(told)
            except (ValueError, IndexError, KeyError, TypeError) as trouble:
                raise codec.BadLine(f"cannot read '{line[:60]}': {type(trouble).__name__} {trouble}") from None
        for i in order:
            if i in self.balancers:
                out = self.writers[i]
                self.balancers[i].round(now, queue[i], out)
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
