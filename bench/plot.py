"""A plot of tail latency against what measuring costs."""

import pathlib
from collections.abc import Sequence

from bench import row

__all__ = ["tail_against_cost"]


def tail_against_cost(rows: Sequence[row.Row], path: pathlib.Path) -> None:
    """Write a plot of the 99th percentile against measuring bytes, a panel for each scenario.

    :param rows: rows of the bench; scenarios with a single row are left out.
    :param path: the PNG file.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    by_scenario: dict[str, list[row.Row]] = {}
    for r in rows:
        by_scenario.setdefault(r.scenario, []).append(r)
    panels = {name: found for name, found in by_scenario.items() if len(found) > 1}
    if not panels:
        return
    figure, axes = pyplot.subplots(1, len(panels), figsize=(4 * len(panels), 4), squeeze=False)
    for axis, (name, found) in zip(axes[0], panels.items(), strict=True):
        for r in found:
            cost_kb = (r.region_bytes + r.cross_bytes) / 1000
            axis.scatter(cost_kb, r.p99, label=r.name)
        axis.set_title(name)
        axis.set_xlabel("measuring, kB/s, all balancers")
        axis.set_ylabel("p99 of lookups, ms")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
