"""Charts of plans for a lost site: how full each remaining site gets, and the share of the value that
remains."""

import io


def render(plans, form="svg"):
    """Bytes of an SVG or PNG file (`form`) with a row of bars for each Plan."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "gannet-sites"  # makes the file the same for the same plans
    zones = list(plans[0].sites.capacity)
    figure, (left, right) = pyplot.subplots(
        1, 2, figsize=(11, 1.2 + 0.45 * len(plans)), width_ratios=(3, 2), sharey=True
    )
    names, height = [" and ".join(p.lost) + " lost" for p in plans], 0.8 / max(1, len(zones))
    for nth, zone in enumerate(zones):
        rows = [n for n, p in enumerate(plans) if zone in p.utilization]
        left.barh(
            [n + nth * height for n in rows], [plans[n].utilization[zone] for n in rows], height, label=zone
        )
    left.axvline(plans[0].sites.fill, color="black", linewidth=0.8, linestyle=":")
    left.set(
        yticks=[n + 0.4 for n in range(len(plans))],
        yticklabels=names,
        xlabel="share of its capacity in use",
        xlim=(0, 1.05),
    )
    left.invert_yaxis()
    left.legend(fontsize=8)
    right.barh([n + 0.4 for n in range(len(plans))], [p.value for p in plans], 0.6, color="grey")
    right.set(xlabel="share of the value that remains", xlim=(0, 1.05))
    out = io.BytesIO()
    figure.tight_layout()
    figure.savefig(out, format=form, metadata={"Date": None} if form == "svg" else None)
    pyplot.close(figure)
    return out.getvalue()
