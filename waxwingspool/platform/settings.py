"""The settings file that the platform writes for each process."""

import pathlib
import tomllib
from collections.abc import Mapping

import msgspec

from waxwingspool import exceptions
from waxwingspool.catalog import node

__all__ = ["PATH_VARIABLE", "decode", "load"]

# The environment variable that holds the path of the settings file.
PATH_VARIABLE = "WAXWINGSPOOL_NODE_FILE"


class _Limits(msgspec.Struct, rename="kebab"):
    # Part of each core, and how many cores' speed one has.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class _Self(msgspec.Struct, rename="kebab"):
    # The platform calls a VM a node and a data centre a zone.
    node: str
    ip: str
    zone: str
    region: str
    # Whether the whole system starts for the first time.
    bootstrap: bool = False
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Listen(msgspec.Struct, rename="kebab"):
    front: str
    ready: str


class _Network(msgspec.Struct, rename="kebab"):
    internal_port_range: tuple[int, int]
    listen: _Listen
    zones: dict[str, str]


class _Store(msgspec.Struct, rename="kebab"):
    address: str


class _Platform(msgspec.Struct, rename="kebab"):
    # A table of the same name inside: the metadata store.
    platform: _Store


class _Bounds(msgspec.Struct, rename="kebab"):
    drain_ms: float = 2500
    grace_s: float = 6
    config_apply_ms: float = 2500
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 50
    retry_window_s: float = 10


class _Terms(msgspec.Struct, rename="kebab"):
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


class _File(msgspec.Struct, rename="kebab"):
    network: _Network
    platform: _Platform
    self_: _Self = msgspec.field(name="self")
    terms: _Terms = msgspec.field(default_factory=_Terms)


def address(text: str) -> node.Address:
    """Return the address in ``ip:port``.

    :raises ValueError: the text has no port.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host:
        raise ValueError(f"{text!r} is not ip:port")
    return host, int(port)


def decode(text: str) -> node.NodeSettings:
    """Return the settings in a file's text.

    :raises waxwingspool.exceptions.ConfigurationError: a field is missing or has the wrong type.
    """
    try:
        file = msgspec.convert(tomllib.loads(text), _File, strict=False)
        return _settings(file)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as error:
        raise exceptions.ConfigurationError(f"settings file: {error}") from error


def load(environment: Mapping[str, str]) -> node.NodeSettings:
    """Return the settings in the file that the environment names.

    :raises waxwingspool.exceptions.ConfigurationError: the file is missing or can't be used.
    """
    path = environment.get(PATH_VARIABLE)
    if path is None:
        raise exceptions.ConfigurationError(f"{PATH_VARIABLE} is not set")
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise exceptions.ConfigurationError(f"{path} can't be read: {error}") from error
    return decode(text)


def _settings(file: _File) -> node.NodeSettings:
    """Translate a decoded file."""
    bounds = file.terms.bounds
    first_port, last_port = file.network.internal_port_range
    return node.NodeSettings(
        name=file.self_.node,
        ip=file.self_.ip,
        data_centre=file.self_.zone,
        region=file.self_.region,
        caller_address=address(file.network.listen.front),
        readiness_address=address(file.network.listen.ready),
        link_mbps=file.self_.limits.link_mbps,
        cores=file.self_.limits.cpu_share * file.self_.limits.cores,
        peer_port=first_port,
        metrics_port=last_port,
        store_address=address(file.platform.platform.address),
        first_start=file.self_.bootstrap,
        regions=file.network.zones,
        bounds=node.Bounds(
            drain_s=bounds.drain_ms / 1000,
            grace_s=bounds.grace_s,
            apply_s=bounds.config_apply_ms / 1000,
            retry_ratio=bounds.retry_budget_ratio,
            retry_allowance=bounds.retry_budget_slack,
            retry_window_s=bounds.retry_window_s,
        ),
    )
