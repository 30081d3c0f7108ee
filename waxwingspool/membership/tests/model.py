"""Specification of how a configuration is accepted and spread, for model checking.

Two operators publish one content each through two balancers. The names map to the code like this:

============  ==================================================================
``read``      :func:`waxwingspool.config.store.publish` reads the row
``commit``    it writes the row on the condition that it has not changed
``lost``      the same, and the answer is lost; the write is tried again as it is
``follow``    :class:`waxwingspool.membership.rollout.Rollout` reads the head
``gossip``    :class:`waxwingspool.membership.gossip.Gossip` tells a peer
``restart``   a balancer starts with nothing; it serves once it has settled
============  ==================================================================
"""

import dataclasses

import minicheck

# Balancers and operators in the model.
BALANCERS = 2
OPERATORS = 2
# Restarts in the model.
RESTARTS = 1


@dataclasses.dataclass(frozen=True)
class Rules:
    """Which mechanisms are in place.

    :ivar compares: the table checks the version that an operator has read.
    :ivar forward: a balancer ignores a head that is not newer.
    :ivar settles: a restarted balancer serves only after the table or every peer has answered.
    """

    compares: bool = True
    forward: bool = True
    settles: bool = True


@dataclasses.dataclass(frozen=True)
class Balancer:
    """A balancer.

    :ivar head: version and content in force.
    :ivar served: the highest version that this place has served, over restarts.
    :ivar serving: whether it takes requests.
    """

    head: tuple = (0, 0)
    served: int = 0
    serving: bool = True


@dataclasses.dataclass(frozen=True)
class Operator:
    """An operator: the version read, -1 before; what was told, 0 for nothing."""

    read: int = -1
    told: int = 0


@dataclasses.dataclass(frozen=True)
class World:
    """The whole state.

    :ivar log: the contents of all versions ever in the table.
    :ivar late: heads that were read or sent and have not arrived, by balancer.
    """

    log: tuple = ()
    operators: tuple = (Operator(),) * OPERATORS
    balancers: tuple = (Balancer(),) * BALANCERS
    late: tuple = ()
    restarts: int = 0


def protocol(rules):
    """Return the model for a set of mechanisms."""
    return minicheck.Protocol(
        name="configuration",
        candidate=False,
        fields=("world",),
        initial=(World(),),
        transitions=lambda state: [(label, (w,)) for label, w in steps(state[0], rules)],
        invariants={
            "accepted is kept": lambda d: accepted_is_kept(d["world"]),
            "never goes back": lambda d: never_goes_back(d["world"]),
            "only accepted is served": lambda d: only_accepted_is_served(d["world"]),
        },
    )


def accepted_is_kept(w):
    """Return whether every version that an operator was told has that operator's content."""
    told = [(o.told, n + 1) for n, o in enumerate(w.operators) if o.told]
    return all(w.log[version - 1] == content for version, content in told)


def never_goes_back(w):
    """Return whether no serving balancer is behind what it has served before."""
    return all(b.head[0] >= b.served for b in w.balancers if b.serving)


def only_accepted_is_served(w):
    """Return whether every version in force has the content that the table had."""
    return all(b.head == (0, 0) or w.log[b.head[0] - 1] == b.head[1] for b in w.balancers)


def steps(w, rules):
    """Yield every step from a state."""
    yield from operator_steps(w, rules)
    current = (len(w.log), w.log[-1]) if w.log else (0, 0)
    for i, b in enumerate(w.balancers):
        if current[0]:
            yield f"follow{i}", send(w, i, current)
        for j, other in enumerate(w.balancers):
            if j != i and other.head[0]:
                yield f"gossip{j}{i}", send(w, i, other.head)
        if w.restarts < RESTARTS and b.head[0]:
            fresh = Balancer(served=b.served, serving=False)
            yield f"restart{i}", put(change(w, restarts=w.restarts + 1), i, fresh)
    for message in w.late:
        yield "arrive", arrive(w, message, rules)


def operator_steps(w, rules):
    """Yield the steps of operators."""
    for n, o in enumerate(w.operators):
        if o.told:
            continue
        if o.read < 0:
            yield f"read{n}", operator(w, n, change(o, read=len(w.log)))
            continue
        if rules.compares and o.read != len(w.log):
            continue
        version = o.read + 1
        log = (*w.log[: version - 1], n + 1, *w.log[version:])
        written = change(w, log=log)
        yield f"commit{n}", operator(written, n, change(o, told=version))
        yield f"lost{n}", written


def send(w, i, head):
    """Return the state with a head on its way to a balancer."""
    message = (i, head)
    return w if message in w.late else change(w, late=tuple(sorted((*w.late, message))))


def arrive(w, message, rules):
    """Return the state after a head has reached a balancer."""
    i, head = message
    b = w.balancers[i]
    w = change(w, late=tuple(m for m in w.late if m != message))
    taken = b.head if rules.forward and head[0] <= b.head[0] else head
    newest = max([len(w.log), *(o.head[0] for o in w.balancers)])
    settled = b.serving or not rules.settles or taken[0] >= newest
    served = max(b.served, taken[0]) if settled and b.serving else b.served
    return put(w, i, Balancer(taken, served, settled))


def operator(w, n, o):
    """Return a state with one operator changed."""
    operators = list(w.operators)
    operators[n] = o
    return change(w, operators=tuple(operators))


def put(w, i, b):
    """Return a state with one balancer changed."""
    balancers = list(w.balancers)
    balancers[i] = b
    return change(w, balancers=tuple(balancers))


def change(value, **fields):
    """Return a copy with some fields changed."""
    return dataclasses.replace(value, **fields)
