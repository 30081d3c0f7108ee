"""Assigns jobs to balancers by rendezvous hashing over the members.

Load pattern: a member fails. Only its own jobs move, and every balancer picks the same successor
without exchanging messages (Thaler and Ravishankar, "A name-based mapping scheme for rendezvous",
1996).
"""

import hashlib
from collections.abc import Iterable

__all__ = ["ranking"]

# Digest size of the hash that orders the members; ties do not occur in practice with eight bytes.
DIGEST_BYTES = 8


def ranking(job: str, members: Iterable[str]) -> list[str]:
    """Return the members in order of preference for a job.

    :param job: name of the job.
    :param members: names of the candidates; one hash is computed for each.

    >>> first, *rest = ranking("slots", ["a", "b", "c"])
    >>> ranking("slots", rest) == rest
    True
    """

    def weight(member: str) -> bytes:
        text = f"{job}\0{member}".encode()
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).digest()

    return sorted(members, key=weight, reverse=True)
