"""Example configurations with fewer upstreams, for tests and benchmarks."""

import copy
import json
import pathlib
from typing import Any

__all__ = ["load_reduced"]

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


def load_reduced(name: str = "kwabena", upstreams: int = 4) -> dict[str, Any]:
    """Return an example configuration with a limited number of upstreams for each service.

    :param name: name of the example.
    :param upstreams: maximum number of upstreams for each service.
    :returns: the configuration as a JSON value.

    >>> [len(s["upstreams"]) for s in load_reduced()["services"]]
    [4, 4, 4]
    """
    config = json.loads((EXAMPLES / f"{name}.json").read_text())
    config = copy.deepcopy(config)
    for service in config["services"]:
        service["upstreams"] = service["upstreams"][:upstreams]
    return config
