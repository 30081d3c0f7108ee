"""Model of publishing and rolling out configurations, for model checking.

Two operators publish one configuration each through two balancers. The transitions correspond to
the code as follows:

============  ===========================================================================
``read``      :func:`waxwingspool.config.store.publish` reads the row
``commit``    it writes the row if it is unchanged since the read
``lost``      the same, but the response is lost; the write is retried unchanged
``follow``    :class:`waxwingspool.membership.rollout.Rollout` reads the head
``gossip``    :class:`waxwingspool.membership.gossip.Gossip` sends it to a peer
``arrive``    a balancer receives a head that was read from the table or sent by a peer
``restart``   a balancer starts empty; it serves once it has caught up
============  ===========================================================================
"""

import dataclasses

import minicheck

# Number of balancers and of operators in the model.
BALANCERS = 2
OPERATORS = 2
# Maximum number of restarts in the model.
MAX_RESTARTS = 1


@dataclasses.dataclass(frozen=True)
class Mechanisms:
    """The safety mechanisms that are enabled.

    :ivar conditional_writes: the table rejects a write if the version has changed since the read.
    :ivar forward_only: a balancer ignores a head that is not newer than its own.
    :ivar catches_up: a restarted balancer serves only once it has the newest version that the table
        or any balancer has.
    """

    conditional_writes: bool = True
    forward_only: bool = True
    catches_up: bool = True


@dataclasses.dataclass(frozen=True)
class Balancer:
    """State of a balancer.

    :ivar head: version and content in force.
    :ivar max_served: highest version that this balancer has served, also before a restart.
    :ivar serving: whether it accepts requests.
    """

    head: tuple = (0, 0)
    max_served: int = 0
    serving: bool = True


@dataclasses.dataclass(frozen=True)
class Operator:
    """State of an operator.

    :ivar read: version that was read, -1 before the read.
    :ivar acknowledged: version that was reported as accepted, 0 before the report.
    """

    read: int = -1
    acknowledged: int = 0


@dataclasses.dataclass(frozen=True)
class System:
    """State of the modelled system.

    :ivar history: contents of all versions that the table has had.
    :ivar in_flight: heads that were read or sent and not yet received, each after the index of the
        balancer that will receive it.
    """

    history: tuple = ()
    operators: tuple = (Operator(),) * OPERATORS
    balancers: tuple = (Balancer(),) * BALANCERS
    in_flight: tuple = ()
    restarts: int = 0


def protocol(mechanisms):
    """Return the model with a set of mechanisms."""
    return minicheck.Protocol(
        name="configuration",
        candidate=False,
        fields=("system",),
        initial=(System(),),
        transitions=lambda state: [
            (label, (s,)) for label, s in enabled_transitions(state[0], mechanisms)
        ],
        invariants={
            "acknowledged versions are kept": lambda d: acknowledged_versions_are_kept(d["system"]),
            "served versions never decrease": lambda d: served_versions_never_decrease(d["system"]),
            "only committed contents are in force": lambda d: only_committed_contents_are_in_force(
                d["system"]
            ),
        },
    )


def acknowledged_versions_are_kept(s):
    """Return whether every acknowledged version still has the content of its operator."""
    acknowledged = [(o.acknowledged, n + 1) for n, o in enumerate(s.operators) if o.acknowledged]
    return all(s.history[version - 1] == content for version, content in acknowledged)


def served_versions_never_decrease(s):
    """Return whether no serving balancer is behind a version that it has served before."""
    return all(b.head[0] >= b.max_served for b in s.balancers if b.serving)


def only_committed_contents_are_in_force(s):
    """Return whether every version in force has the content that was committed to the table."""
    return all(b.head == (0, 0) or s.history[b.head[0] - 1] == b.head[1] for b in s.balancers)


def enabled_transitions(s, mechanisms):
    """Yield all transitions from a state."""
    yield from operator_transitions(s, mechanisms)
    current = (len(s.history), s.history[-1]) if s.history else (0, 0)
    for i, b in enumerate(s.balancers):
        if current[0]:
            yield f"follow{i}", send(s, i, current)
        for j, other in enumerate(s.balancers):
            if j != i and other.head[0]:
                yield f"gossip{j}{i}", send(s, i, other.head)
        if s.restarts < MAX_RESTARTS and b.head[0]:
            restarted = Balancer(max_served=b.max_served, serving=False)
            yield f"restart{i}", with_balancer(replace(s, restarts=s.restarts + 1), i, restarted)
    for message in s.in_flight:
        yield "arrive", receive(s, message, mechanisms)


def operator_transitions(s, mechanisms):
    """Yield the transitions of operators."""
    for n, o in enumerate(s.operators):
        if o.acknowledged:
            continue
        if o.read < 0:
            yield f"read{n}", with_operator(s, n, replace(o, read=len(s.history)))
            continue
        if mechanisms.conditional_writes and o.read != len(s.history):
            continue
        version = o.read + 1
        history = (*s.history[: version - 1], n + 1, *s.history[version:])
        committed = replace(s, history=history)
        yield f"commit{n}", with_operator(committed, n, replace(o, acknowledged=version))
        yield f"lost{n}", committed


def send(s, i, head):
    """Return the state with a head in flight to a balancer."""
    message = (i, head)
    return (
        s
        if message in s.in_flight
        else replace(s, in_flight=tuple(sorted((*s.in_flight, message))))
    )


def receive(s, message, mechanisms):
    """Return the state after a balancer has received a head."""
    i, head = message
    b = s.balancers[i]
    s = replace(s, in_flight=tuple(m for m in s.in_flight if m != message))
    new_head = b.head if mechanisms.forward_only and head[0] <= b.head[0] else head
    newest = max([len(s.history), *(o.head[0] for o in s.balancers)])
    caught_up = b.serving or not mechanisms.catches_up or new_head[0] >= newest
    max_served = max(b.max_served, new_head[0]) if caught_up and b.serving else b.max_served
    return with_balancer(s, i, Balancer(new_head, max_served, caught_up))


def with_operator(s, n, o):
    """Return the state with one operator replaced."""
    operators = list(s.operators)
    operators[n] = o
    return replace(s, operators=tuple(operators))


def with_balancer(s, i, b):
    """Return the state with one balancer replaced."""
    balancers = list(s.balancers)
    balancers[i] = b
    return replace(s, balancers=tuple(balancers))


def replace(value, **fields):
    """Return a copy with some fields replaced."""
    return dataclasses.replace(value, **fields)
