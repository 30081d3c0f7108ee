"""What a balancer shows of its state, as JSON values."""

import time
from collections.abc import Mapping
from typing import Any

from waxwingspool.membership import members
from waxwingspool.once import committer
from waxwingspool.routing import pool, target

__all__ = ["balancer_status", "worst_upstreams"]

# How many of the worst upstreams the burn report names for a service.
WORST = 3
# Failure rate above which an upstream is named.
NAMED_RATE = 0.01


def balancer_status(
    known: members.Members,
    version: int,
    draining: bool,
    commits: committer.Counts,
    pools: Mapping[str, pool.Pool],
) -> dict[str, Any]:
    """Return a balancer's state.

    :param known: this balancer and its peers.
    :param version: the configuration version in force.
    :param draining: whether a planned stop has begun.
    :param commits: what was written to the table.
    :param pools: the pools by service.
    """
    return {
        "id": known.own.id,
        "data_centre": known.own.data_centre,
        "version": version,
        "draining": draining,
        "peers": [{"id": m.id, "operator": m.operator_address} for m in known.live()],
        "balancers": known.count(),
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
        failing = [t for t in p.targets.values() if t.failure_rate > NAMED_RATE]
        failing.sort(key=lambda t: t.failure_rate, reverse=True)
        worst[name] = [t.name for t in failing[:WORST]]
    return worst


def _service_status(p: pool.Pool) -> dict[str, Any]:
    """Return the state of a service's pool."""
    now = time.monotonic()
    return {
        "limit": round(p.limit.value, 1),
        "in_flight": p.limit.in_flight,
        "busy": round(p.busy, 3),
        "hedges": p.counts.hedges,
        "retries": p.counts.retries,
        "attempts": p.counts.attempts,
        "upstreams": {t.name: _target_state(t, now) for t in p.targets.values()},
    }


def _target_state(t: target.Target, now: float) -> str:
    """Return the state of a target in a word."""
    if target.is_leaving(t):
        return "leaving"
    return "ejected" if now < t.ejected_until else "in-service"
