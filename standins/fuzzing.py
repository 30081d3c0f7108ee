"""Hypothesis settings of the stateful fuzz tests, which give the same result on every run."""

import hypothesis

__all__ = ["deterministic_settings", "search_settings"]


def deterministic_settings(examples: int, steps: int) -> hypothesis.settings:
    """Return settings that run the same examples every time.

    :param examples: number of examples.
    :param steps: number of steps in each example.
    """
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def search_settings(examples: int, steps: int) -> hypothesis.settings:
    """Return settings that search for a failure without shrinking it.

    :param examples: maximum number of examples.
    :param steps: number of steps in each example.
    """
    return hypothesis.settings(
        deterministic_settings(examples, steps), phases=[hypothesis.Phase.generate]
    )
