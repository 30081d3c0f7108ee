"""Status of a balancer as JSON values."""

import time
from collections.abc import Mapping
from typing import Any

from waxwingspool.membership import members
from waxwingspool.once import committer
from waxwingspool.routing import pool, target

__all__ = ["balancer_status", "worst_upstreams"]

# Maximum number of upstreams that the burn report lists for a service.
MAX_WORST_UPSTREAMS = 3
# Failure rate above which the burn report lists an upstream.
MIN_WORST_FAILURE_RATE = 0.01


def balancer_status(
    membership: members.Members,
    version: int,
    draining: bool,
    commits: committer.CommitCounts,
    pools: Mapping[str, pool.Pool],
) -> dict[str, Any]:
    """Return the status of a balancer.

    :param membership: this balancer and its peers.
    :param version: the configuration version in force.
    :param draining: whether a planned stop has begun.
    :param commits: counts of transactions and rows sent to the table and of lost replies.
    :param pools: the pools by service.
    """
    return {
        "id": membership.local_member.id,
        "data_centre": membership.local_member.data_centre,
        "version": version,
        "draining": draining,
        "peers": [{"id": m.id, "operator": m.operator_address} for m in membership.live()],
        "balancers": membership.balancer_count(),
        "commits": {
            "transactions": commits.transactions,
            "rows": commits.rows,
            "lost": commits.lost,
        },
        "services": {name: _service_status(p) for name, p in pools.items()},
    }


def worst_upstreams(pools: Mapping[str, pool.Pool]) -> dict[str, list[str]]:
    """Return the upstreams with the highest failure rates, worst first, by service.

    :param pools: the pools by service.
    """
    worst = {}
    for name, p in pools.items():
        failing = [t for t in p.targets.values() if t.failure_rate > MIN_WORST_FAILURE_RATE]
        failing.sort(key=lambda t: t.failure_rate, reverse=True)
        worst[name] = [t.name for t in failing[:MAX_WORST_UPSTREAMS]]
    return worst


def _service_status(p: pool.Pool) -> dict[str, Any]:
    """Return the status of a service's pool."""
    now = time.monotonic()
    return {
        "limit": round(p.limit.value, 1),
        "in_flight": p.limit.in_flight,
        "busy": round(p.requests_per_slot, 3),
        "hedges": p.counts.hedges,
        "retries": p.counts.retries,
        "attempts": p.counts.attempts,
        "upstreams": {t.name: _target_state(t, now) for t in p.targets.values()},
    }


def _target_state(t: target.Target, now: float) -> str:
    """Return the state of a target: ``leaving``, ``ejected`` or ``in-service``."""
    if target.is_leaving(t):
        return "leaving"
    return "ejected" if now < t.ejected_until else "in-service"
