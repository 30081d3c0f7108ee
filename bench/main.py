"""Runs the benchmarks: ``make bench``, or ``make bench BENCH="--short --only slowness"``."""

import asyncio
import dataclasses
import json
import pathlib
from collections.abc import Sequence
from typing import Annotated

import typer

from bench import plot, row, scenarios

__all__ = ["format_table"]

# Scenarios that measure every policy of BASELINES in the deployment kwabena. All others, and
# all those of dalatech, measure only ``product``. The option --policies overrides both.
COMPARED_SCENARIOS = ("calm", "slowness", "failing", "overload")


def format_table(rows: Sequence[row.Row]) -> str:
    """Return rows as a plain-text table with a header line.

    The column ``w/d/l`` holds the counts of wrong, doubled and lost.
    """
    header = f"{'scenario':<22}{'policy':<19}{'good/s':>8}{'p50':>8}{'p99':>8}{'p99.9':>8}"
    header += (
        f"{'refused':>9}{'errors':>8}{'w/d/l':>7}{'extra':>7}{'work':>7}{'B/s in':>8}{'B/s out':>8}"
    )
    header += f"{'probe':>7}{'peer':>8}{'link B/s':>10}{'cpu':>6}"
    lines = [header]
    for r in rows:
        line = f"{r.scenario:<22}{r.name:<19}{r.goodput:>8.0f}{r.p50:>8.1f}{r.p99:>8.1f}"
        line += f"{r.p999:>8.1f}{r.refused:>9.2%}{r.errors:>8.2%}"
        line += f"{f'{r.wrong}/{r.doubled}/{r.lost}':>7}{r.extra:>7.1%}{r.region_bytes:>8.0f}"
        line += f"{r.work_ms:>7.2f}"
        line += f"{r.cross_bytes:>8.0f}{r.probe_work_ms:>7.1f}{r.peer_bytes:>8.0f}"
        lines.append(f"{line}{r.link_bytes:>10.0f}{r.cpu:>6.0%}")
    return "\n".join(lines)


def main(
    only: Annotated[str, typer.Option(help="scenarios, separated by commas")] = "",
    policies: Annotated[str, typer.Option(help="policies, separated by semicolons")] = "",
    deployment: Annotated[str, typer.Option(help="kwabena, dalatech or both")] = "both",
    short: Annotated[bool, typer.Option(help="a few seconds for each row")] = False,
    seconds: Annotated[float, typer.Option(help="measured seconds for each row")] = 10.0,
    code: Annotated[
        pathlib.Path | None, typer.Option(help="another version to measure beside this one")
    ] = None,
    output: Annotated[pathlib.Path, typer.Option(help="folder for JSON and plot")] = pathlib.Path(
        "build/bench"
    ),
) -> None:
    """Run the scenarios, print their tables, and write JSON and a plot for each deployment."""
    seconds = 4.0 if short else seconds
    deployments = ["kwabena", "dalatech"] if deployment == "both" else [deployment]
    output.mkdir(parents=True, exist_ok=True)
    for deployment_name in deployments:
        rows = []
        for scenario, make_cases in scenarios.SCENARIOS.items():
            if only and scenario not in only.split(","):
                continue
            compare_policies = scenario in COMPARED_SCENARIOS and deployment_name == "kwabena"
            selected_policies = list(scenarios.BASELINES) if compare_policies else ["product"]
            if policies:
                selected_policies = policies.split(";")
            if code is not None:
                selected_policies.append(scenarios.OTHER_VERSION)
                scenarios.other_version_root = code.resolve()
            for case in make_cases(deployment_name, selected_policies, seconds):
                rows.append(asyncio.run(row.run(case)))
                print(format_table(rows[-1:]).splitlines()[-1], flush=True)
        print(f"\n{deployment_name}\n{format_table(rows)}\n", flush=True)
        records = [dataclasses.asdict(r) for r in rows]
        (output / f"{deployment_name}.json").write_text(json.dumps(records, indent=2))
        plot.plot_tail_latency(rows, output / f"{deployment_name}.png")


if __name__ == "__main__":
    typer.run(main)
