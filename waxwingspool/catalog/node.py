"""Settings of one balancer process."""

import dataclasses

__all__ = ["Address", "Bounds", "NodeSettings"]

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Deployment-wide limits set by the operator.

    :ivar drain_s: maximum time in seconds for which a draining upstream may still receive
        requests.
    :ivar grace_s: time in seconds from the request to stop a process until it is killed.
    :ivar config_apply_s: maximum time in seconds until an accepted configuration is in force.
    :ivar retry_ratio: allowed retries per request, over all balancers.
    :ivar retry_allowance: allowed retries per window in addition to ``retry_ratio``, over all
        balancers.
    :ivar retry_window_s: length in seconds of the window in which retries are counted.
    """

    drain_s: float = 2.5
    grace_s: float = 6.0
    config_apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_allowance: float = 50.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Location, addresses and resources of one balancer.

    :ivar ip: local IP address of the balancer's sockets.
    :ivar caller_address: address that accepts callers' connections.
    :ivar readiness_address: address that serves the platform's readiness checks.
    :ivar link_mbps: bandwidth of the VM's network link in megabits per second.
    :ivar cores: processor cores available to the process; a fraction if a core is shared.
    :ivar peer_port: port for connections between balancers, the same on every balancer.
    :ivar store_address: address of the metadata store.
    :ivar first_start: whether the whole deployment starts for the first time.
    :ivar regions: region of each data centre.
    """

    name: str
    ip: str
    data_centre: str
    region: str
    caller_address: Address
    readiness_address: Address
    link_mbps: float
    cores: float
    peer_port: int
    metrics_port: int
    store_address: Address
    first_start: bool
    regions: dict[str, str]
    bounds: Bounds
