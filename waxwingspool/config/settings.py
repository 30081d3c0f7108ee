"""Settings of one process: its location, its own addresses and those of the platform.

All other parameters come from the configuration in force.
"""

import pathlib
from typing import Annotated, Literal

import pydantic

from waxwingspool import exceptions
from waxwingspool.config import check, findings

__all__ = ["Platform", "Settings", "load", "parse"]

Address = Annotated[str, pydantic.Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]


Policy = Literal["expected", "least-in-flight", "two-choices", "random", "round-robin"]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Platform(_Model):
    """Base URLs of the platform's services."""

    table: str
    objects: str
    vms: str


class Settings(_Model):
    """Settings of one balancer.

    :ivar id: name of the VM, unique among balancers.
    :ivar policy: how an upstream is selected; ``expected`` (least expected time) is the default,
        the others are baselines for benchmarks.
    :ivar measuring: whether to measure at all; ``False`` overrides the budget in the configuration.
    :ivar peers: addresses of peers to contact until the VM list is available; they may be outdated.
    :ivar drain_s: maximum time that a planned stop waits for requests in flight.
    :ivar rotation_s: how long a planned stop continues to accept connections, so that the platform
        can stop routing to this balancer.
    """

    id: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")
    data_centre: str
    region: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    platform: Platform
    policy: Policy = "expected"
    measuring: bool = True
    peers: tuple[Address, ...] = ()
    drain_s: float = pydantic.Field(gt=0, default=60.0)
    rotation_s: float = pydantic.Field(ge=0, default=2.0)
    log_level: str = pydantic.Field(pattern=r"^(debug|info|warning|error)$", default="info")


def parse(text: str | bytes) -> Settings:
    """Parse settings.

    :param text: the JSON text.
    :returns: the validated settings.
    :raises waxwingspool.exceptions.ConfigurationError: if they are invalid; lists all findings.
    """
    try:
        return Settings.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise exceptions.ConfigurationError(findings.report(check.model_findings(error))) from error


def load(path: str | pathlib.Path) -> Settings:
    """Load settings from a file.

    :param path: path of the file.
    :returns: the validated settings.
    :raises waxwingspool.exceptions.ConfigurationError: if the file is unreadable or invalid.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise exceptions.ConfigurationError(f"cannot read settings file: {error}") from error
    return parse(text)
