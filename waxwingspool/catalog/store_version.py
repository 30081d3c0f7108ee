"""Versions of the metadata store's state, in the order of time.

The store numbers its transactions. When it is restored from a copy, the numbers that it has given
out since the copy was made are given out again, for other transactions. Each restoration begins a
new epoch. Of two versions, the one of the later epoch is newer; within an epoch, the one with the
higher number. All versions of the store and of its rows are compared in this order only.
"""

from typing import NamedTuple

__all__ = ["UNKNOWN", "StoreVersion"]


class StoreVersion(NamedTuple):
    """A version of the store, or of a row: that of the transaction that wrote it.

    :ivar epoch: number of the store's epoch, 0 if it is not known.
    :ivar number: number of the transaction within the epoch.

    >>> StoreVersion(1, 900) < StoreVersion(2, 50) < StoreVersion(2, 51)
    True
    >>> str(StoreVersion(2, 50))
    '2.50'
    """

    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.epoch}.{self.number}"


# Older than every version that a store gives out.
UNKNOWN = StoreVersion(0, -1)
