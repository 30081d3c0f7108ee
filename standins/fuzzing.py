"""Settings of the stateful fuzzes: the same verdict each time."""

import hypothesis

__all__ = ["fixed", "hunt"]


def fixed(examples: int, steps: int) -> hypothesis.settings:
    """Return settings whose runs repeat exactly.

    :param examples: how many examples are run.
    :param steps: steps of each.
    """
    return hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def hunt(examples: int, steps: int) -> hypothesis.settings:
    """Return settings that look for a failure without making it small.

    :param examples: the most examples.
    :param steps: steps of each.
    """
    return hypothesis.settings(fixed(examples, steps), phases=[hypothesis.Phase.generate])
