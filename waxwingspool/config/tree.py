"""A configuration as a tree of content-addressed blobs.

The root names the shared part and a fixed number of buckets; a bucket names the services whose
names hash into it. A change to one service changes that service's blob, one bucket and the root,
so balancers fetch a few kilobytes whatever the number of services.
"""

import dataclasses
import hashlib
import json
from collections.abc import Awaitable, Callable

from waxwingspool.config import model

__all__ = ["BUCKETS", "EMPTY", "Tree", "blob_hash", "build", "fetch"]

# Number of buckets that services are spread over.
BUCKETS = 32

Fetch = Callable[[list[str]], Awaitable[dict[str, bytes]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """The blobs of one configuration.

    :ivar root: hash of the root blob.
    :ivar blobs: every blob by its hash.
    :ivar services: the services by the hashes of their blobs.
    """

    root: str
    blobs: dict[str, bytes]
    services: dict[str, model.Service]


# The tree before the first configuration.
EMPTY = Tree("", {}, {})


def blob_hash(blob: bytes) -> str:
    """Return the hash that names a blob.

    :param blob: its content.
    :returns: 32 hexadecimal digits of BLAKE2b.

    >>> len(blob_hash(b""))
    32
    """
    return hashlib.blake2b(blob, digest_size=16).hexdigest()


def build(configuration: model.Configuration) -> Tree:
    """Split a configuration into blobs.

    :param configuration: the whole configuration.
    :returns: its tree; equal configurations give equal roots. Cost is linear in the size.
    """
    blobs: dict[str, bytes] = {}
    services: dict[str, model.Service] = {}
    buckets: list[dict[str, str]] = [{} for _ in range(BUCKETS)]
    for service in configuration.services:
        h = _put(blobs, service.model_dump(mode="json"))
        services[h] = service
        buckets[_bucket(service.name)][service.name] = h
    shared = configuration.model_dump(mode="json", exclude={"services"})
    root = {
        "shared": _put(blobs, shared),
        "buckets": [_put(blobs, bucket) for bucket in buckets],
    }
    return Tree(_put(blobs, root), blobs, services)


async def fetch(root: str, source: Fetch, known: Tree = EMPTY) -> tuple[model.Configuration, Tree]:
    """Assemble a configuration from its root hash.

    :param root: hash of the root blob.
    :param source: returns blobs for hashes, from memory, peers or the object store; it must verify
        each blob against its hash and raise if one is missing.
    :param known: a tree whose services are used again where they have not changed.
    :returns: the configuration, services sorted by name, and its tree.
    :raises waxwingspool.exceptions.BlobMissing: from ``source``.

    Three rounds of ``source`` are made: root, then buckets, then services. Only services that are
    not in ``known`` are parsed and validated, so a change to one costs little however many there
    are.
    """
    top = await source([root])
    node = json.loads(top[root])
    second = await source([node["shared"], *node["buckets"]])
    leaves = [h for b in node["buckets"] for h in json.loads(second[b]).values()]
    third = await source(leaves) if leaves else {}
    services = {
        h: known.services.get(h) or model.Service.model_validate_json(third[h]) for h in leaves
    }
    document = json.loads(second[node["shared"]])
    document["services"] = sorted(services.values(), key=lambda s: s.name)
    configuration = model.Configuration.model_validate(document)
    return configuration, Tree(root, {**top, **second, **third}, services)


def _put(blobs: dict[str, bytes], value: object) -> str:
    """Add a JSON value as a blob and return its hash."""
    blob = json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
    h = blob_hash(blob)
    blobs[h] = blob
    return h


def _bucket(name: str) -> int:
    """Return the bucket of a service name."""
    return int(blob_hash(name.encode())[:8], 16) % BUCKETS
