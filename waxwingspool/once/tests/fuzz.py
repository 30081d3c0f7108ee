"""Runs the stateful fuzz for longer: ``make fuzz SEED=… STEPS=…``."""

from typing import Annotated

import hypothesis
import typer
from hypothesis import stateful

from waxwingspool.once.tests import machine


def run(
    seed: Annotated[int, typer.Option()] = 1,
    steps: Annotated[int, typer.Option(help="examples for each kind of upstream")] = 200,
) -> None:
    """Fuzz each kind of upstream with a seed."""
    settings = hypothesis.settings(
        max_examples=steps,
        stateful_step_count=40,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    for kind in (machine.Machine, machine.RememberingMachine, machine.UnfencedMachine):
        seeded = hypothesis.seed(seed)(kind)
        stateful.run_state_machine_as_test(seeded, settings=settings)
        print(f"fuzz: {kind.__name__} seed={seed} examples={steps}: passed")


if __name__ == "__main__":
    typer.run(run)
