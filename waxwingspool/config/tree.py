"""A configuration as a tree of content-addressed blobs.

The root references a blob with the shared part and a fixed number of buckets; a bucket references
the services whose names hash into it. A change to one service changes that service's blob, one
bucket and the root, so that balancers fetch a few kilobytes regardless of the number of services.
"""

import dataclasses
import hashlib
import json
from collections.abc import Awaitable, Callable

from waxwingspool.config import model

__all__ = ["BUCKETS", "EMPTY", "Tree", "blob_hash", "build", "fetch"]

# Number of buckets that services are distributed over.
BUCKETS = 32

Fetch = Callable[[list[str]], Awaitable[dict[str, bytes]]]


@dataclasses.dataclass(frozen=True, slots=True)
class Tree:
    """The blobs of one configuration.

    :ivar root: hash of the root blob.
    :ivar blobs: all blobs, by hash.
    :ivar services: the services, by the hash of their blob.
    """

    root: str
    blobs: dict[str, bytes]
    services: dict[str, model.Service]


# Tree before the first configuration.
EMPTY = Tree("", {}, {})


def blob_hash(blob: bytes) -> str:
    """Return the hash that identifies a blob.

    :param blob: content of the blob.
    :returns: BLAKE2b hash as 32 hexadecimal digits.

    >>> len(blob_hash(b""))
    32
    """
    return hashlib.blake2b(blob, digest_size=16).hexdigest()


def build(configuration: model.Configuration) -> Tree:
    """Split a configuration into blobs.

    :param configuration: the whole configuration.
    :returns: its tree; equal configurations have equal roots. Takes time linear in the size.
    """
    blobs: dict[str, bytes] = {}
    services: dict[str, model.Service] = {}
    buckets: list[dict[str, str]] = [{} for _ in range(BUCKETS)]
    for service in configuration.services:
        h = _add_blob(blobs, service.model_dump(mode="json"))
        services[h] = service
        buckets[_bucket_index(service.name)][service.name] = h
    shared = configuration.model_dump(mode="json", exclude={"services"})
    root = {
        "shared": _add_blob(blobs, shared),
        "buckets": [_add_blob(blobs, bucket) for bucket in buckets],
    }
    return Tree(_add_blob(blobs, root), blobs, services)


async def fetch(root: str, source: Fetch, known: Tree = EMPTY) -> tuple[model.Configuration, Tree]:
    """Assemble a configuration from its root hash.

    :param root: hash of the root blob.
    :param source: returns the blobs with given hashes from memory, peers or the object store; it
        must verify each blob against its hash and raise if one is missing.
    :param known: tree whose services are reused if they have not changed.
    :returns: the configuration, services sorted by name, and its tree.
    :raises waxwingspool.exceptions.BlobMissing: from ``source``.

    ``source`` is called up to three times: for the root, the buckets and the services. Only
    services that are not in ``known`` are parsed and validated, so that the cost of a change to one
    service hardly depends on their number.
    """
    root_blobs = await source([root])
    root_value = json.loads(root_blobs[root])
    bucket_blobs = await source([root_value["shared"], *root_value["buckets"]])
    service_hashes = [
        h for b in root_value["buckets"] for h in json.loads(bucket_blobs[b]).values()
    ]
    service_blobs = await source(service_hashes) if service_hashes else {}
    services = {
        h: known.services.get(h) or model.Service.model_validate_json(service_blobs[h])
        for h in service_hashes
    }
    document = json.loads(bucket_blobs[root_value["shared"]])
    document["services"] = sorted(services.values(), key=lambda s: s.name)
    configuration = model.Configuration.model_validate(document)
    return configuration, Tree(root, {**root_blobs, **bucket_blobs, **service_blobs}, services)


def _add_blob(blobs: dict[str, bytes], value: object) -> str:
    """Add a JSON value as a blob and return its hash."""
    blob = json.dumps(value, sort_keys=True, separators=(",", ":")).encode()
    h = blob_hash(blob)
    blobs[h] = blob
    return h


def _bucket_index(name: str) -> int:
    """Return the index of the bucket of a service name."""
    return int(blob_hash(name.encode())[:8], 16) % BUCKETS
