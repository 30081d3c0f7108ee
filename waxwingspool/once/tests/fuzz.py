"""Runs the stateful fuzz tests with more examples: ``make fuzz SEED=… STEPS=…``."""

from typing import Annotated

import hypothesis
import typer
from hypothesis import stateful

from waxwingspool.once.tests import machine


def run(
    seed: Annotated[int, typer.Option()] = 1,
    steps: Annotated[int, typer.Option(help="examples for each kind of upstream")] = 200,
) -> None:
    """Fuzz at-most-once execution with each kind of upstream."""
    settings = hypothesis.settings(
        max_examples=steps,
        stateful_step_count=40,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    for machine_class in (
        machine.DeadlineMachine,
        machine.RememberingMachine,
        machine.UnfencedMachine,
    ):
        seeded_class = hypothesis.seed(seed)(machine_class)
        stateful.run_state_machine_as_test(seeded_class, settings=settings)
        print(f"fuzz: {machine_class.__name__} seed={seed} examples={steps}: passed")


if __name__ == "__main__":
    typer.run(run)
