"""The order in which balancers read the store and are followed, from what is known of the members.

See :mod:`waxwingspool.dispatch.readers` for the rules.
"""

from waxwingspool.catalog import node
from waxwingspool.dispatch import readers
from waxwingspool.fleet import link, members

__all__ = ["ReaderRanking"]


class ReaderRanking:
    """Ranks of the balancers of all regions, as seen by one of them.

    :param settings: settings of this balancer.
    :param membership: all known balancers.
    :param links: links to peers, which show whether a peer may be used.
    """

    def __init__(
        self, settings: node.NodeSettings, membership: members.Members, links: link.Links
    ) -> None:
        self._settings = settings
        self._members = membership
        self._links = links
        self._ranks: dict[str, list[str]] = {}
        self._revision = -1

    @property
    def local(self) -> list[str]:
        """The balancers of this region, in the order in which they may read the store."""
        return self._rank(self._settings.region)

    @property
    def own_rank(self) -> int:
        """Position of this balancer in its region, 0 for the first."""
        return self.local.index(self._settings.ip)

    @property
    def is_remote(self) -> bool:
        """Whether this region is remote from the store."""
        return self._members.region_next_to_store(self._settings.region) is not None

    @property
    def reads_cross_regions(self) -> bool:
        """Whether the store's responses to this region may pass a link between regions."""
        region, regions = self._settings.region, self._members.regions()
        is_nearest = any(self._members.region_next_to_store(r) == region for r in regions)
        return len(regions) > 1 and not is_nearest

    def available_ahead(self) -> int:
        """Return how many balancers of this region rank before this one and may be used."""
        return sum(1 for ip in self.local[: self.own_rank] if self._links.available(ip))

    def next_to_store(self) -> list[str]:
        """Return the balancers that a remote region follows; none if this region is not remote."""
        region = self._members.region_next_to_store(self._settings.region)
        return [] if region is None else self._rank(region)[: readers.REMOTE_COUNT]

    def candidates(self, failing: bool) -> list[str]:
        """Return the balancers that may be followed, in order of preference.

        :param failing: whether this balancer's own calls to the store fail.
        """
        near, remote = [], []
        for region in sorted(self._members.regions() - {self._settings.region}):
            is_near = self._members.region_next_to_store(region) is None
            (near if is_near else remote).append(self._rank(region))
        return readers.list_candidates(self._settings.ip, self.local, near, remote, failing)

    def _rank(self, region: str) -> list[str]:
        if self._revision != self._members.revision:
            self._revision = self._members.revision
            self._ranks.clear()
        if region not in self._ranks:
            eligible, all_members = self._members.eligible(region), self._members.in_region(region)
            self._ranks[region] = readers.rank_balancers(region, eligible, all_members)
        return self._ranks[region]
