"""Departures of upstreams, learned from responses, from peers and from the VM list."""

from collections.abc import Iterable

from waxwingspool.interfaces import vms
from waxwingspool.membership import gossip, members
from waxwingspool.observe import logs
from waxwingspool.routing import service_pools, target

__all__ = ["announce", "record_from_peer", "record_from_vm_list"]


def announce(
    departing: target.Target, membership: members.Members, gossiper: gossip.Gossip
) -> None:
    """Record a departure that an upstream reported in a response, and notify peers if it is new.

    :param departing: the target of the upstream.
    :param membership: the members, which store departures.
    :param gossiper: distributes the departure to peers.
    """
    if membership.record_departure(departing.name, departing.leaving_incarnation or ""):
        logs.logger().info(
            "upstream.leaving", upstream=departing.name, incarnation=departing.leaving_incarnation
        )
        gossiper.trigger_round()


def record_from_peer(departure: members.Departure, pools: service_pools.ServicePools) -> None:
    """Record a departure reported by a peer, unless the upstream last reported another incarnation.

    :param departure: the upstream and its incarnation.
    :param pools: the pools of all services.
    """
    t = pools.get_target(departure.upstream)
    if t is not None and t.incarnation in ("", departure.incarnation):
        target.mark_leaving(t, departure.incarnation)


def record_from_vm_list(vm_list: Iterable[vms.Vm], pools: service_pools.ServicePools) -> None:
    """Update the leaving state of upstreams from the VM list.

    :param vm_list: the VM list.
    :param pools: the pools of all services.

    The list lags behind and does not contain incarnations, so the state holds only until a later
    list contradicts it: a restarted upstream is used again once the list has caught up.
    """
    for vm in vm_list:
        t = pools.get_target(vm.name) if vm.role == "upstream" else None
        if t is not None:
            t.leaving_in_vm_list = vm.leaving
