"""Plot of tail latency against the network traffic of probes."""

import pathlib
from collections.abc import Sequence

from bench import row

__all__ = ["plot_tail_latency"]


def plot_tail_latency(rows: Sequence[row.Row], path: pathlib.Path) -> None:
    """Plot p99 latency against probe traffic, with one panel for each scenario.

    :param rows: benchmark rows; scenarios with a single row are left out.
    :param path: PNG file to write; it is not written if no scenario has several rows.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    by_scenario: dict[str, list[row.Row]] = {}
    for r in rows:
        by_scenario.setdefault(r.scenario, []).append(r)
    panels = {
        scenario: scenario_rows
        for scenario, scenario_rows in by_scenario.items()
        if len(scenario_rows) > 1
    }
    if not panels:
        return
    figure, axes = pyplot.subplots(1, len(panels), figsize=(4 * len(panels), 4), squeeze=False)
    for axis, (scenario, scenario_rows) in zip(axes[0], panels.items(), strict=True):
        for r in scenario_rows:
            cost_kb = (r.region_bytes + r.cross_bytes) / 1000
            axis.scatter(cost_kb, r.p99, label=r.name)
        axis.set_title(scenario)
        axis.set_xlabel("measuring, kB/s, all balancers")
        axis.set_ylabel("p99 of lookups, ms")
        axis.set_ylim(bottom=0)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
