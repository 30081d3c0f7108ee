"""Which balancer does a job: rendezvous hashing over the members.

Load pattern: a member that dies moves only its own jobs, and every balancer picks the same
successor without a message (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous",
1996).
"""

import hashlib
from collections.abc import Iterable

__all__ = ["ranking"]

# Bytes of hash that order the members; eight leave no ties in practice.
DIGEST_BYTES = 8


def ranking(job: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order in which they take a job.

    :param job: name of the job.
    :param members: names of the candidates. Costs one hash for each.

    >>> first, *rest = ranking("slots", ["a", "b", "c"])
    >>> ranking("slots", rest) == rest
    True
    """

    def weight(member: str) -> bytes:
        text = f"{job}\0{member}".encode()
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()

    return sorted(members, key=weight, reverse=True)
