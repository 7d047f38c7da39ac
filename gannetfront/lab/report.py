"""What a folder of cells says: tables with intervals, plots, one self-contained page; and whether two folders differ."""

import base64
import html
import io
from pathlib import Path

import numpy as np

from .. import host
from . import grid

FIGURES = (
    "service",
    "worst",
    "harm",
    "delay",
    "good_released",
    "bad_released",
    "throttled",
    "terminated",
    "toppled",
)


def cells(folder):
    """[(columns, meta)] in the order of policy, changes, seed; unreadable files are named, not guessed at."""
    found, bad = [], []
    for path in sorted(Path(folder).glob("*.parquet")):
        try:
            found.append(grid.read(path))
        except Exception as trouble:  # noqa: BLE001 - any file may lie there
            bad.append(f"{path.name}: {type(trouble).__name__}")

    def key(x):
        return (
            x[1]["cell"]["policy"],
            [[numeric(v) for v in c] for c in x[1]["cell"]["changes"]],
            x[1]["cell"]["seed"],
        )

    return sorted(found, key=key), bad


def numeric(text):
    try:
        return (0, float(text), "")
    except ValueError:
        return (1, 0.0, text)


def label(cell):
    return " ".join(
        [
            cell["policy"],
            *(
                f"{v if f == '-' else f + '=' + v}" + (f" {line}" if f == "-" else "")
                for line, f, v in cell["changes"]
            ),
        ]
    )


def interval(values, draws=2000):
    """Mean and its 95% interval by the bootstrap, from a fixed seed."""
    values = np.array([v for v in values if v is not None], float)
    if not len(values):
        return None
    picks = host.chance(1, len(values)).integers(len(values), size=(draws, len(values)))
    low, high = np.percentile(values[picks].mean(axis=1), [2.5, 97.5])
    return float(values.mean()), float(low), float(high)


def groups(found):
    out = {}
    for columns, meta in found:
        out.setdefault(label(meta["cell"]), []).append((columns, meta))
    return out


def means(lines):
    """Column means without the cells that have no figure there."""
    there = ~np.isnan(lines)
    return np.divide(
        np.where(there, lines, 0.0).sum(axis=0),
        there.sum(axis=0),
        out=np.full(lines.shape[1], np.nan),
        where=there.any(axis=0),
    )


def table(found):
    """[(label, cells, {figure: (mean, low, high) or None}, rules broken)]."""
    rows = []
    for name, some in groups(found).items():
        sums = [meta["summary"] for _, meta in some]
        rows.append(
            (
                name,
                len(some),
                {f: interval([s[f] for s in sums]) for f in FIGURES},
                sum(sum(s["broken"].values()) for s in sums),
            )
        )
    return rows


def text(found):
    def shown(x):
        return (
            "-"
            if x is None
            else f"{x[0]:.3f} [{x[1]:.3f}, {x[2]:.3f}]"
            if x[0] < 100
            else f"{x[0]:.0f} [{x[1]:.0f}, {x[2]:.0f}]"
        )

    lines = [" | ".join(["cells of", "seeds", *FIGURES, "rules broken"])]
    for name, many, figures, broken in table(found):
        lines.append(" | ".join([name, str(many), *(shown(figures[f]) for f in FIGURES), str(broken)]))
    return lines


def plots(found):
    """{name: PNG bytes}."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    out, by = {}, groups(found)

    def done(name, figure):
        data = io.BytesIO()
        figure.tight_layout()
        figure.savefig(data, format="png", dpi=90, metadata={"Software": None})
        plt.close(figure)
        out[name] = data.getvalue()

    def over_time(name, ylabel, value):
        figure, axes = plt.subplots(figsize=(9, 3.6))
        for one, some in list(by.items())[:12]:
            size = min(len(c["at"]) for c, _ in some)
            lines = np.array([value(c)[:size] for c, _ in some])
            axes.plot(some[0][0]["at"][:size] / 1000, means(lines), label=one, linewidth=1.2)
        axes.set(xlabel="second of the day", ylabel=ylabel)
        axes.legend(fontsize=7)
        done(name, figure)

    def part(a, b):
        return np.divide(a, b, out=np.full(len(a), np.nan), where=b > 0)

    over_time("service over time", "value in time / asked", lambda c: part(c["earned"], c["asked"]))
    over_time("share at the build on trial", "dispatches", lambda c: part(c["trial"], c["trial"] + c["old"]))
    over_time("stage", "stage (past the last: none on trial)", lambda c: c["stage"])
    over_time("nodes running", "nodes", lambda c: c["open_nodes"])
    rows = table(found)
    for figure_name in ("service", "harm", "delay"):
        shown = [(name, f[figure_name]) for name, _, f, _ in rows if f[figure_name]]
        if not shown:
            continue
        figure, axes = plt.subplots(figsize=(9, 0.4 + 0.32 * len(shown)))
        mid = np.array([x[0] for _, x in shown])
        spread = np.array([[x[0] - x[1] for _, x in shown], [x[2] - x[0] for _, x in shown]]).clip(0)
        axes.errorbar(mid, range(len(shown)), xerr=spread, fmt="o", capsize=3)
        axes.set_yticks(range(len(shown)), [name for name, _ in shown], fontsize=7)
        axes.invert_yaxis()
        axes.set_xlabel(f"{figure_name}, mean and 95% interval over seeds")
        done(figure_name, figure)
    figure, axes = plt.subplots(figsize=(9, 3.6))
    for n, (name, some) in enumerate(list(by.items())[:12]):
        lost = [np.mean([c[k].sum() for c, _ in some]) for k in ("throttled", "terminated", "late", "lost")]
        axes.bar(np.arange(4) + n * 0.8 / max(1, len(by)), lost, 0.8 / max(1, min(12, len(by))), label=name)
    axes.set_xticks(np.arange(4) + 0.4, ["throttled", "terminated", "late", "lost"])
    axes.set_ylabel("tries a day")
    axes.legend(fontsize=7)
    done("what was not answered in time", figure)
    return out


def page(found, bad, title):
    """One self-contained HTML page."""

    def shown(x):
        return "-" if x is None else f"{x[0]:.3f}<br><small>{x[1]:.3f} to {x[2]:.3f}</small>"

    rows = "".join(
        f"<tr><td>{html.escape(name)}<td>{many}"
        + "".join(f"<td>{shown(f[k])}" for k in FIGURES)
        + f"<td>{broken}"
        for name, many, f, broken in table(found)
    )
    pictures = "".join(
        f"<h2>{html.escape(name)}</h2><img alt='{html.escape(name)}' src='data:image/png;base64,"
        f"{base64.b64encode(data).decode()}'>"
        for name, data in plots(found).items()
    )
    cores = sorted({meta["core"] for _, meta in found})
    return (
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>body{{font:14px sans-serif;"
        "margin:2em;max-width:75em}td,th{border:1px solid #ccc;padding:3px 6px;text-align:right}td:first-child{text-align:"
        "left}table{border-collapse:collapse}img{max-width:100%}</style>"
        f"<h1>{html.escape(title)}</h1><p>{len(found)} cells, simulated; core {', '.join(cores)}"
        + ("" if len(cores) == 1 else " <b>(not one core: do not compare)</b>")
        + "".join(f"<p>unreadable: {html.escape(b)}" for b in bad)
        + "<table><tr><th>cells of<th>seeds"
        + "".join(f"<th>{f}" for f in FIGURES)
        + "<th>rules broken"
        + rows
        + "</table>"
        + pictures
    )


def differ(a, b, figure):
    """Paired by changes and seed: [(label, pairs, mean of b - a, low, high)]; raises ValueError where none pair."""

    def values(found):
        return {
            (str(m["cell"]["changes"]), m["cell"]["policy"], m["cell"]["seed"]): (m, m["summary"][figure])
            for _, m in found
        }

    one, two = values(a), values(b)
    policies = {k[1] for k in one}, {k[1] for k in two}
    if policies[0] != policies[1] and len(policies[0]) == len(policies[1]) == 1:
        one, two = (
            {(c, "", s): x for (c, _, s), x in v.items()} for v in (one, two)
        )  # policy against policy
    out = {}
    for key in one.keys() & two.keys():
        if one[key][1] is not None and two[key][1] is not None:
            out.setdefault((key[0], key[1]), []).append(two[key][1] - one[key][1])
    if not out:
        raise ValueError("no cell of one has its like in the other")
    return [(" ".join(k).strip(), len(v), *interval(sorted(v))) for k, v in sorted(out.items())]
