"""A copy of one table of the store, with the deletions that its followers may have missed."""

import dataclasses
from collections.abc import Iterable

from waxwingspool.catalog import store_version
from waxwingspool.platform import store

__all__ = ["TableCopy"]

# Maximum number of deleted rows that a copy remembers in order to forward them to new subscribers.
MAX_DELETIONS = 1000


@dataclasses.dataclass(slots=True)
class TableCopy:
    """A balancer's copy of one table.

    All rows and deletions are of the epoch of the copy.

    :ivar version: version of the store up to which all changes are included.
    :ivar fresh_at: monotonic time in seconds at which the store last confirmed the copy.
    :ivar deletions: versions of the rows that were deleted after ``deletions_since``.
    """

    version: store_version.StoreVersion = store_version.UNKNOWN
    fresh_at: float = float("-inf")
    rows: dict[str, store.Row] = dataclasses.field(default_factory=dict)
    deletions: dict[str, store_version.StoreVersion] = dataclasses.field(default_factory=dict)
    deletions_since: store_version.StoreVersion = store_version.StoreVersion(0, 0)

    @property
    def is_listed(self) -> bool:
        """Whether the table has been listed."""
        return self.version > store_version.UNKNOWN

    def changes_after(self, version: store_version.StoreVersion) -> list[store.Row] | None:
        """Return all changes after a version, ``None`` if they are no longer known."""
        if version < self.deletions_since:
            return None
        changed = [row for row in self.rows.values() if row.version > version]
        deleted = [
            store.Row(key, None, deleted_in)
            for key, deleted_in in self.deletions.items()
            if deleted_in > version
        ]
        return changed + deleted

    def replace(self, rows: dict[str, store.Row], version: store_version.StoreVersion) -> None:
        """Replace the copy by a complete listing."""
        self.rows = rows
        self.version = version
        self._forget_deletions()

    def apply(self, changes: Iterable[store.Row], version: store_version.StoreVersion) -> None:
        """Apply all changes up to a version."""
        self.version = version
        for row in changes:
            if row.value is None:
                self.rows.pop(row.key, None)
                self.deletions[row.key] = row.version
            else:
                self.rows[row.key] = row
                self.deletions.pop(row.key, None)
        if len(self.deletions) > MAX_DELETIONS:
            self._forget_deletions()

    def _forget_deletions(self) -> None:
        self.deletions.clear()
        self.deletions_since = self.version
