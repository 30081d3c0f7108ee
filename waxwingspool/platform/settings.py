"""The settings file that the platform writes for each process."""

import ipaddress
import pathlib
import re
import tomllib
from collections.abc import Mapping

import msgspec

from waxwingspool import exceptions
from waxwingspool.catalog import node

__all__ = ["PATH_VARIABLE", "decode", "load"]

# Environment variable with the path of the settings file.
PATH_VARIABLE = "WAXWINGSPOOL_NODE_FILE"
# Longest address of the form ``ip:port``, in characters, and the highest port.
MAX_ADDRESS_CHARS = 21
MAX_PORT = 65535

_PORT = re.compile(r"\d+", re.ASCII)


class _Limits(msgspec.Struct, rename="kebab"):
    # Share of each core available to the process, and the VM's capacity in cores.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0


class _Self(msgspec.Struct, rename="kebab"):
    # The platform calls a VM a node and a data centre a zone.
    node: str
    ip: str
    zone: str
    region: str
    # Whether the whole deployment starts for the first time.
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
    # The nested table of the same name describes the metadata store.
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


def parse_address(text: str) -> node.Address:
    """Parse an address of the form ``ip:port``, with an IPv4 address.

    :raises ValueError: if the text does not have this form, or the address can't be connected to.

    >>> parse_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port = text.rpartition(":")
    if len(text) > MAX_ADDRESS_CHARS or not _PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"invalid address {text[:MAX_ADDRESS_CHARS]!r}: expected ip:port")
    if ipaddress.IPv4Address(host).is_unspecified:
        raise ValueError(f"invalid address {text!r}: no upstream or server has it")
    return host, int(port)


def decode(text: str) -> node.NodeSettings:
    """Parse the text of a settings file.

    :raises waxwingspool.exceptions.ConfigurationError: if a field is missing or invalid.
    """
    try:
        file = msgspec.convert(tomllib.loads(text), _File, strict=False)
        return _to_node_settings(file)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError, RecursionError) as error:
        raise exceptions.ConfigurationError(f"invalid settings file: {error}") from error


def load(environment: Mapping[str, str]) -> node.NodeSettings:
    """Load the settings file whose path is in the environment.

    :raises waxwingspool.exceptions.ConfigurationError: if the file is missing or invalid.
    """
    path = environment.get(PATH_VARIABLE)
    if path is None:
        raise exceptions.ConfigurationError(f"{PATH_VARIABLE} is not set")
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise exceptions.ConfigurationError(f"cannot read settings file {path}: {error}") from error
    return decode(text)


def _to_node_settings(file: _File) -> node.NodeSettings:
    """Translate a decoded settings file into the balancer's own types."""
    bounds = file.terms.bounds
    first_port, last_port = file.network.internal_port_range
    return node.NodeSettings(
        name=file.self_.node,
        ip=file.self_.ip,
        data_centre=file.self_.zone,
        region=file.self_.region,
        caller_address=parse_address(file.network.listen.front),
        readiness_address=parse_address(file.network.listen.ready),
        link_mbps=file.self_.limits.link_mbps,
        cores=file.self_.limits.cpu_share * file.self_.limits.cores,
        peer_port=first_port,
        metrics_port=last_port,
        store_address=parse_address(file.platform.platform.address),
        first_start=file.self_.bootstrap,
        regions=file.network.zones,
        bounds=node.Bounds(
            drain_s=bounds.drain_ms / 1000,
            grace_s=bounds.grace_s,
            config_apply_s=bounds.config_apply_ms / 1000,
            retry_ratio=bounds.retry_budget_ratio,
            retry_allowance=bounds.retry_budget_slack,
            retry_window_s=bounds.retry_window_s,
        ),
    )
