"""Validated models of the configuration file.

The file describes regions, data centres, links, budgets, services, their upstreams and the rules
by which requests are served. Unknown fields are rejected at every level.
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
NonNegative = Annotated[int, pydantic.Field(ge=0)]
Share = Annotated[float, pydantic.Field(gt=0, lt=1)]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Kind(enum.StrEnum):
    """Kind of request; the body of an upload is streamed, other bodies are buffered in full."""

    LOOKUP = "lookup"
    PAYMENT = "payment"
    UPLOAD = "upload"


class Fencing(enum.StrEnum):
    """How a service's upstreams guarantee that an abandoned attempt does not start later.

    ``ABSOLUTE_DEADLINE``: they start no attempt after its deadline. ``REMEMBERS_CANCELLATION``:
    they start no attempt that has been cancelled. ``NONE``: no guarantee.
    """

    ABSOLUTE_DEADLINE = "absolute-deadline"
    REMEMBERS_CANCELLATION = "remembers-cancellation"
    NONE = "none"


class Region(_Model):
    """A region: a group of data centres with low latency between them."""

    name: Name


class DataCentre(_Model):
    """A data centre and its region."""

    name: Name
    region: Name


class Link(_Model):
    """The link between two regions.

    :ivar bits_per_s: bandwidth in each direction.
    :ivar one_way_ms: latency in each direction.
    :ivar upload_share: maximum share of the bandwidth for uploads.
    """

    between: tuple[Name, Name]
    bits_per_s: Positive
    one_way_ms: float = pydantic.Field(ge=0)
    upload_share: Share = 0.5


class Measuring(_Model):
    """Budget for measurements, over all balancers.

    :ivar region_bytes_per_s: traffic of probes and load reports within regions.
    :ivar cross_bytes_per_s: traffic of probes and load reports between regions.
    :ivar probe_work_ms_per_s: processing time of upstreams for probes.
    :ivar probe_cost_ms: processing time of an upstream for one probe.
    :ivar balancers: maximum number of balancers that run at the same time; each spends at most its
        share of the budget.
    """

    region_bytes_per_s: NonNegative
    cross_bytes_per_s: NonNegative
    probe_work_ms_per_s: NonNegative
    probe_cost_ms: float = pydantic.Field(ge=0, default=1.0)
    balancers: Positive = 18


class Store(_Model):
    """Limits on the use of the platform's table, over all balancers.

    :ivar writes_per_s: maximum number of transactions per second.
    :ivar clock_error_ms: maximum deviation of a VM's clock from true time.
    :ivar retention_s: how long the outcome of a request with an idempotency key is kept.
    """

    writes_per_s: Positive = 300
    clock_error_ms: NonNegative = 500
    retention_s: Positive = 86_400


class Objective(_Model):
    """A service-level objective: the share of requests that must succeed within a time limit.

    :ivar latency_ms: time limit for a request.
    :ivar target: share of requests in the window that must meet the limit.
    :ivar window_s: length of the window.
    """

    latency_ms: float = pydantic.Field(gt=0)
    target: Share
    window_s: Positive = 2_592_000


class Rule(_Model):
    """How requests with a given path prefix and method are served.

    :ivar path: path prefix of the requests that the rule covers.
    :ivar deadline_ms: maximum time from accepting a request to its outcome.
    :ivar retries: maximum number of retries after a failure; idempotent requests only.
    :ivar hedge_share: maximum number of hedges as a share of requests; 0 disables hedging.
    :ivar key_required: whether to reject a non-idempotent request without an idempotency key.
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
    """One upstream of a service.

    :ivar slots: number of requests that it processes concurrently.
    :ivar connections: maximum number of connections, over all balancers.
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
    """The whole configuration file.

    :ivar format: version of the file format.
    """

    format: int = pydantic.Field(ge=1, le=1)
    regions: tuple[Region, ...] = pydantic.Field(min_length=1)
    data_centres: tuple[DataCentre, ...] = pydantic.Field(min_length=1)
    links: tuple[Link, ...] = ()
    measuring: Measuring
    store: Store = Store()
    services: tuple[Service, ...] = ()
