"""Validated models of the configuration file.

The file describes regions, data centres, links, budgets, services, their upstreams and the rules
for each kind of request. Unknown fields are refused everywhere.
"""

import enum
from typing import Annotated

import pydantic

__all__ = [
    "Configuration",
    "DataCentre",
    "Fencing",
    "Kind",
    "Link",
    "Measuring",
    "Objective",
    "Region",
    "Rule",
    "Service",
    "Store",
    "Upstream",
]

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, pydantic.Field(pattern=r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")]
Positive = Annotated[int, pydantic.Field(gt=0)]
NotNegative = Annotated[int, pydantic.Field(ge=0)]
Share = Annotated[float, pydantic.Field(gt=0, lt=1)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Kind(enum.StrEnum):
    """What a request is, which sets how its body is carried."""

    LOOKUP = "lookup"
    PAYMENT = "payment"
    UPLOAD = "upload"


class Fencing(enum.StrEnum):
    """What a service's upstreams guarantee about an attempt that must not start any more."""

    ABSOLUTE_DEADLINE = "absolute-deadline"
    REMEMBERS_CANCELLATION = "remembers-cancellation"
    NONE = "none"


class Region(_Model):
    """A region: data centres with short delays between them."""

    name: Name


class DataCentre(_Model):
    """A data centre and the region it lies in."""

    name: Name
    region: Name


class Link(_Model):
    """The link between two regions.

    :ivar bits_per_s: bandwidth each way.
    :ivar one_way_ms: delay each way.
    :ivar upload_share: the most of the bandwidth that uploads may take.
    """

    between: tuple[Name, Name]
    bits_per_s: Positive
    one_way_ms: float = pydantic.Field(ge=0)
    upload_share: Share = 0.5


class Measuring(_Model):
    """What measuring may cost, over all balancers together.

    :ivar region_bytes_per_s: probe and load-sharing bytes inside regions.
    :ivar cross_bytes_per_s: the same across regions.
    :ivar probe_work_ms_per_s: upstream work spent on answering probes.
    :ivar probe_cost_ms: what one probe costs an upstream.
    :ivar balancers: the most balancers that run at once; each spends at most its share of this.
    """

    region_bytes_per_s: NotNegative
    cross_bytes_per_s: NotNegative
    probe_work_ms_per_s: NotNegative
    probe_cost_ms: float = pydantic.Field(ge=0, default=1.0)
    balancers: Positive = 18


class Store(_Model):
    """What the platform's table carries for this product, over all balancers together.

    :ivar writes_per_s: transactions.
    :ivar clock_error_ms: the most by which two VMs' clocks differ from true time.
    :ivar retention_s: how long the outcome of an idempotency key is kept.
    """

    writes_per_s: Positive = 300
    clock_error_ms: NotNegative = 500
    retention_s: Positive = 86_400


class Objective(_Model):
    """A service-level objective: a share of requests answered within a time.

    :ivar latency_ms: the time.
    :ivar target: the share, over the window.
    :ivar window_s: the window.
    """

    latency_ms: float = pydantic.Field(gt=0)
    target: Share
    window_s: Positive = 2_592_000


class Rule(_Model):
    """How one kind of request is served.

    :ivar path: the prefix of request paths the rule covers.
    :ivar deadline_ms: the time from accepting a request to giving up on it.
    :ivar retries: further attempts after a failure, idempotent requests only.
    :ivar hedge_share: the most hedges, as a share of requests; 0 switches hedging off.
    :ivar key_required: refuse a non-idempotent request without an idempotency key.
    """

    name: Name
    path: str = pydantic.Field(pattern=r"^/[!-~]*$")
    methods: tuple[str, ...] = pydantic.Field(min_length=1)
    kind: Kind
    idempotent: bool
    deadline_ms: Positive
    retries: int = pydantic.Field(ge=0, le=3, default=0)
    hedge_share: float = pydantic.Field(ge=0, le=0.2, default=0.0)
    key_required: bool = True
    objective: Objective


class Upstream(_Model):
    """One target of a service.

    :ivar slots: requests it works on at once.
    :ivar connections: connections it takes, over all balancers together.
    :ivar leaving: set by an operator to take the upstream out of service.
    """

    name: Name
    data_centre: Name
    address: Address
    slots: Positive = 4
    connections: Positive = 250
    leaving: bool = False


class Service(_Model):
    """A service: its rules and its upstreams."""

    name: Name
    fencing: Fencing = Fencing.NONE
    rules: tuple[Rule, ...] = pydantic.Field(min_length=1)
    upstreams: tuple[Upstream, ...] = ()


class Configuration(_Model):
    """The whole configuration file."""

    format: int = pydantic.Field(ge=1, le=1)
    regions: tuple[Region, ...] = pydantic.Field(min_length=1)
    data_centres: tuple[DataCentre, ...] = pydantic.Field(min_length=1)
    links: tuple[Link, ...] = ()
    measuring: Measuring
    store: Store = Store()
    services: tuple[Service, ...] = ()
