"""Which balancers of a region read the store, and whose rows the others follow.

Load pattern: a configuration of hundreds of kilobytes is accepted while the store refuses the
readers of a region. If every balancer then reads it for itself, the responses do not pass the link
between regions in time; the calls fail, are repeated, and the link stays saturated. So a balancer
without fresh rows asks other balancers first, also those of other regions, whose frames are
compressed; a reader whose own calls fail does the same on behalf of its followers; and direct reads
take turns.
"""

from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from waxwingspool.dispatch import election

__all__ = [
    "CATCH_UP_RATE",
    "FOLLOW_RATE",
    "LOCAL_COUNT",
    "READER_COUNT",
    "REMOTE_COUNT",
    "choose_reader",
    "list_candidates",
    "rank_balancers",
    "turn_delay_s",
]

# Number of balancers in each region that may read the store at any time.
READER_COUNT = 4
# Number of balancers of the own region that are asked before those of another region.
LOCAL_COUNT = 3
# Number of balancers of each other region that are asked.
REMOTE_COUNT = 2
# Number of balancers of the own region that are asked at all.
CANDIDATE_COUNT = 8
# Average rate, in bytes of rows per second, at which the other balancers of a region together may
# read tables from the store. Its responses are larger than the rows.
CATCH_UP_RATE = 384 * 1024
# Same at which they may get tables from balancers of another region, whose frames are compressed.
FOLLOW_RATE = 4 * 1024 * 1024
# Longest time in seconds that a balancer without fresh rows waits for its turn.
MAX_TURN_DELAY_S = 60.0


def rank_balancers(region: str, eligible: Collection[str], members: Iterable[str]) -> list[str]:
    """Return the balancers of a region in the order in which they may read the store.

    :param eligible: the members with enough capacity for a reader; they rank before the others.
    :param members: all members of the region.

    >>> sorted(rank_balancers("accra", ["a", "b"], ["c", "b", "a"])[:2])
    ['a', 'b']
    """
    others = [member for member in members if member not in eligible]
    ranks = election.ranking(f"reader {region}", eligible)
    return [*ranks, *election.ranking(f"deputy reader {region}", others)]


def list_candidates(
    own: str,
    local: Sequence[str],
    near: Sequence[Sequence[str]],
    remote: Sequence[Sequence[str]],
    failing: bool,
) -> list[str]:
    """Return the balancers that may be followed, in order of preference.

    :param own: this balancer, which stands in the list if it may read the store itself.
    :param local: the balancers of the own region in order of rank.
    :param near: those of each other region that is not remote from the store.
    :param remote: those of each other region that is, whose readers depend on the near ones.
    :param failing: whether the own calls to the store fail. The reader of another region then goes
        first, because it has the rows already, and next those that rank after the own, so that
        failing readers do not follow each other.

    >>> list_candidates("b", ["a", "b", "c", "d", "e"], [["x", "y", "z"]], [["r"]], False)
    ['a', 'b', 'c', 'x', 'y', 'd', 'e', 'r']
    >>> list_candidates("b", ["a", "b", "c", "d", "e"], [["x", "y", "z"]], [["r"]], True)
    ['x', 'c', 'y', 'd', 'e', 'a', 'r']
    """
    candidates = list(local[:CANDIDATE_COUNT])
    readers = [ranks[0] for ranks in near if ranks]
    deputies = [ip for ranks in near for ip in ranks[1:REMOTE_COUNT]]
    last = [ranks[0] for ranks in remote if ranks]
    if failing and own in candidates:
        position = candidates.index(own)
        candidates = candidates[position + 1 :] + candidates[:position]
        return [*readers, *candidates[:1], *deputies, *candidates[1:], *last]
    return [*candidates[:LOCAL_COUNT], *readers, *deputies, *candidates[LOCAL_COUNT:], *last]


def choose_reader(
    candidates: Iterable[str],
    own: str,
    failing: bool,
    stale_since: Mapping[str, float],
    is_available: Callable[[str], bool],
) -> str:
    """Return the balancer to follow, ``own`` to follow none.

    :param candidates: see :func:`list_candidates`.
    :param failing: whether the own calls to the store fail.
    :param stale_since: balancers that were followed without delivering fresh rows, with the time at
        which they were given up. If all are, the one whose turn is longest ago is next.
    :param is_available: whether a balancer can be used.

    >>> choose_reader(["a", "b", "c"], "b", False, {}, lambda _: True)
    'a'
    >>> choose_reader(["a", "b", "c"], "b", False, {"a": 1.0}, lambda _: True)
    'b'
    >>> choose_reader(["a", "b", "c"], "c", True, {"a": 2.0, "b": 1.0}, lambda _: True)
    'b'
    """
    usable = [ip for ip in candidates if (not failing if ip == own else is_available(ip))]
    for ip in usable:
        if ip not in stale_since:
            return ip
    return min(usable, key=stale_since.__getitem__, default=own)


def turn_delay_s(rank: int, table_bytes: int, remote: bool, direct: bool) -> float:
    """Return how long a balancer without fresh rows waits for its turn, in seconds.

    :param rank: its position among the balancers of its region, 0 for the first.
    :param table_bytes: size in bytes of what it reads.
    :param remote: whether the responses pass the link between regions; then one balancer reads
        before all others.
    :param direct: whether it reads the store, or else follows a balancer of another region.

    >>> turn_delay_s(3, 384 * 1024, False, True), turn_delay_s(5, 384 * 1024, False, True)
    (0.0, 2.0)
    >>> turn_delay_s(0, 384 * 1024, True, True), turn_delay_s(2, 384 * 1024, True, True)
    (0.0, 2.0)
    >>> turn_delay_s(2, 1024 * 1024, True, False)
    0.5
    """
    turns = rank if remote else max(0, rank - READER_COUNT + 1)
    return min(MAX_TURN_DELAY_S, turns * table_bytes / (CATCH_UP_RATE if direct else FOLLOW_RATE))
