"""Upstreams that start to leave: seen in answers, heard from peers, or read in the VM list."""

from collections.abc import Iterable

from waxwingspool.interfaces import vms
from waxwingspool.membership import gossip, members
from waxwingspool.observe import logs
from waxwingspool.routing import fleet, target

__all__ = ["heard", "listed", "seen"]


def seen(t: target.Target, known: members.Members, spread: gossip.Gossip) -> None:
    """Tell peers about an upstream that said in an answer that it is leaving.

    :param t: the target.
    :param known: the members, which keep departures.
    :param spread: passes news on.
    """
    if known.add_departure(t.name, t.departed or ""):
        logs.logger().info("upstream.leaving", upstream=t.name, incarnation=t.departed)
        spread.spread()


def heard(departure: members.Departure, services: fleet.Fleet) -> None:
    """Take a peer's word that an upstream is leaving, unless a later incarnation is known.

    :param departure: the upstream and its incarnation.
    :param services: the pools.
    """
    t = services.find(departure.upstream)
    if t is not None and t.incarnation in ("", departure.incarnation):
        target.mark_departed(t, departure.incarnation)


def listed(found: Iterable[vms.Vm], services: fleet.Fleet) -> None:
    """Take in what the VM list says of upstreams.

    :param found: the list.
    :param services: the pools.

    The list lags and names no incarnation, so its word holds only while it says so: an upstream
    that has come back is used again as soon as the list has caught up.
    """
    for vm in found:
        t = services.find(vm.name) if vm.role == "upstream" else None
        if t is not None:
            t.listed_leaving = vm.leaving
