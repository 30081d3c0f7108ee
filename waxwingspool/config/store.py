"""Publication of accepted configurations and the version that is in force in a process.

The table holds one row with the version in force and the root hash of its tree; the blobs are in
the object store. A compare-and-set on that row resolves conflicts between concurrent operators.
"""

import dataclasses
import secrets
from collections.abc import Awaitable, Callable, Container

import expression

from waxwingspool import exceptions
from waxwingspool.config import model, tree
from waxwingspool.interfaces import objects, table

__all__ = [
    "Accepted",
    "ActiveConfiguration",
    "HEAD_KEY",
    "Head",
    "Outdated",
    "publish",
    "read_head",
]

# Table key of the row that names the version in force.
HEAD_KEY = "config/head"
# Prefix of blob names in the object store.
BLOB_PREFIX = "config/"
# Maximum number of attempts to commit the head; an attempt after a lost response also finds out
# whether the earlier write took effect.
MAX_COMMIT_ATTEMPTS = 5

PeerBlobs = Callable[[list[str]], Awaitable[dict[str, bytes]]]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Head:
    """A version of the configuration and the root hash of its tree."""

    version: int
    root: str


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The configuration was accepted as version ``head``.

    :ivar peers: number of peers that are known to have it.
    """

    head: Head
    peers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Outdated:
    """A conflicting version was accepted first; ``head`` is the version in the table."""

    head: Head


async def read_head(store: table.Table) -> Head | None:
    """Read the head from the table; ``None`` before the first configuration.

    :param store: the table.
    :raises waxwingspool.exceptions.StoreUnavailable: if the table did not respond.
    """
    rows = await store.read([HEAD_KEY])
    return _head(rows[HEAD_KEY]) if HEAD_KEY in rows else None


async def publish(
    store: table.Table,
    blobs: objects.ObjectStore,
    built: tree.Tree,
    base: int | None,
    stored: Container[str] = (),
) -> expression.Result[Accepted, Outdated]:
    """Publish a configuration as the next version.

    :param store: the table.
    :param blobs: the object store.
    :param built: the configuration's tree.
    :param base: version that the change is based on, ``None`` for any version in force.
    :param stored: hashes of blobs that are known to be in the object store.
    :returns: the accepted version, or the conflicting version in the table.
    :raises waxwingspool.exceptions.StoreUnavailable: if it was not accepted.
    :raises waxwingspool.exceptions.StoreAnswerLost: if it is unknown whether it was accepted.

    Blobs are written before the row, so that a version in the table is always complete. The row
    contains a token that is unique to this call and identifies a write whose response was lost.
    """
    rows = await store.read([HEAD_KEY])
    row = rows.get(HEAD_KEY)
    current = _head(row) if row else Head(0, "")
    if base is not None and base != current.version:
        return expression.Error(Outdated(current))
    for h, blob in built.blobs.items():
        if h not in stored:
            await blobs.put(BLOB_PREFIX + h, blob)
    head = Head(current.version + 1, built.root)
    value = {"version": head.version, "root": head.root, "token": secrets.token_hex(8)}
    write = table.Write(HEAD_KEY, row.version if row else table.ABSENT, value)
    return await _commit_head(store, write, head)


async def _commit_head(
    store: table.Table, write: table.Write, head: Head
) -> expression.Result[Accepted, Outdated]:
    """Commit the head; retrying is safe because the condition of the write holds only once."""
    for attempt in range(MAX_COMMIT_ATTEMPTS):
        try:
            result = await store.commit([write])
        except exceptions.StoreAnswerLost:
            continue
        except exceptions.StoreUnavailable:
            # Later attempts follow a lost response, after which the write may have taken effect.
            if attempt == 0:
                raise
            continue
        if result.is_ok():
            return expression.Ok(Accepted(head))
        current = result.error.rows[HEAD_KEY]
        if current is not None and current.value == write.value:
            return expression.Ok(Accepted(head))
        if attempt > 0 and current is not None and current.value["version"] > head.version:
            raise exceptions.StoreAnswerLost("a later version is in force; compare its content")
        return expression.Error(Outdated(_head(current) if current else Head(0, "")))
    raise exceptions.StoreAnswerLost("whether the configuration was accepted is not known")


class ActiveConfiguration:
    """The configuration in force in this process; its version only increases.

    :param blobs: the object store.
    :param peer_blobs: requests blobs from peers and returns those that were found.
    :param on_change: called with each configuration when it comes into force.
    """

    def __init__(
        self,
        blobs: objects.ObjectStore,
        peer_blobs: PeerBlobs,
        on_change: Callable[[Head, model.Configuration], None],
    ) -> None:
        self._blobs = blobs
        self._peer_blobs = peer_blobs
        self._on_change = on_change
        self._tree = tree.EMPTY
        self.head = Head(0, "")
        self.configuration: model.Configuration | None = None

    async def advance(self, head: Head) -> bool:
        """Fetch a version and bring it into force if it is newer than the current one.

        :param head: head from the table or a peer.
        :returns: whether it came into force.
        :raises waxwingspool.exceptions.BlobMissing: if its content is not available yet.
        """
        if head.version <= self.head.version:
            return False
        configuration, built = await tree.fetch(head.root, self._fetch, self._tree)
        return self.install(head, configuration, built)

    def install(self, head: Head, configuration: model.Configuration, built: tree.Tree) -> bool:
        """Bring a version whose content is available into force if it is newer.

        :param head: the version.
        :param configuration: its content.
        :param built: its tree.
        :returns: whether it came into force.
        """
        if head.version <= self.head.version:
            return False
        self.head = head
        self.configuration = configuration
        self._tree = built
        self._on_change(head, configuration)
        return True

    def blobs(self, hashes: list[str]) -> dict[str, bytes]:
        """Return the blobs with the given hashes that belong to the version in force."""
        known = self._tree.blobs
        return {h: known[h] for h in hashes if h in known}

    async def _fetch(self, hashes: list[str]) -> dict[str, bytes]:
        """Return blobs from memory, from peers or, failing that, from the object store."""
        found = self.blobs(hashes)
        missing = [h for h in hashes if h not in found]
        if missing:
            found.update(_select_verified(await self._peer_blobs(missing)))
        for h in hashes:
            if h not in found:
                found[h] = await self._fetch_object(h)
        return found

    async def _fetch_object(self, h: str) -> bytes:
        """Fetch a blob from the object store and verify it."""
        try:
            blob = await self._blobs.fetch(BLOB_PREFIX + h)
        except exceptions.StoreUnavailable as error:
            raise exceptions.BlobMissing(f"cannot fetch blob {h}: {error}") from error
        if blob is None or tree.blob_hash(blob) != h:
            raise exceptions.BlobMissing(f"blob {h} is missing or corrupt in the object store")
        return blob


def _head(row: table.Row) -> Head:
    """Return the head stored in a row."""
    return Head(row.value["version"], row.value["root"])


def _select_verified(blobs: dict[str, bytes]) -> dict[str, bytes]:
    """Return the blobs whose content matches their hash."""
    return {h: blob for h, blob in blobs.items() if tree.blob_hash(blob) == h}
