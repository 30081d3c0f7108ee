"""Settings of one balancer process."""

import dataclasses

__all__ = ["Address", "Bounds", "NodeSettings"]

Address = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the operator sets on the whole deployment.

    :ivar drain_s: longest time in seconds that a departing upstream may still get requests.
    :ivar grace_s: seconds between the request to stop a process and its kill.
    :ivar apply_s: longest time in seconds until an accepted configuration is in force.
    :ivar retry_ratio: retries allowed for each request, of all balancers together.
    :ivar retry_allowance: retries allowed in a window besides ``retry_ratio``.
    :ivar retry_window_s: length in seconds of the window in which retries are counted.
    """

    drain_s: float = 2.5
    grace_s: float = 6.0
    apply_s: float = 2.5
    retry_ratio: float = 0.2
    retry_allowance: float = 50.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """Where a balancer runs and whom it talks to.

    :ivar ip: the address that the balancer's own sockets use.
    :ivar caller_address: where callers connect.
    :ivar readiness_address: where the entry asks whether the balancer takes connections.
    :ivar link_mbps: bandwidth of the VM's own link in megabits a second.
    :ivar cores: processor cores that the process may use, a fraction on a shared one.
    :ivar peer_port: port on which balancers talk to each other, the same on all of them.
    :ivar store_address: the metadata store.
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
