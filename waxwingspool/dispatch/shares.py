"""Division of the rate limits of upstreams among balancers, which lend shares to dispatchers.

Load pattern: dispatchers fail, are cut off or restart, and for a while several balancers grant
slots of the same upstream. Each balancer near an upstream owns an equal share of its rate limit and
lends it, with each request for a slot, to the dispatcher that it asks. A dispatcher spends only
what is lent to it, and a share is lent to one dispatcher at a time. The shares in use thus never
add up to more than the limit, whatever the balancers believe about who is the dispatcher (cf. Gray
and Cheriton, "Leases", 1989). A balancer that has nothing to send renews the loan while it knows of
a limit.
"""

import dataclasses
from collections.abc import Collection

__all__ = ["RENEWAL_INTERVAL_S", "Lender", "Loans"]

# Time in seconds for which a dispatcher may spend a share after a request of its owner.
LEASE_S = 2.0
# Interval at which a loan is renewed without a request, in seconds.
RENEWAL_INTERVAL_S = LEASE_S / 2
# Time in seconds after a request for a slot before its owner lends the share to another dispatcher.
# It covers the lease and the time after which a request is given up and its link closed.
LENDER_LEASE_S = LEASE_S + 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Loan:
    dispatcher: str
    until: float


class Lender:
    """The share of one balancer in each service, and the dispatcher that it is lent to.

    >>> lender = Lender()
    >>> lender.lend("tags", "10.0.0.1", now=0.0), lender.lend("tags", "10.0.0.2", now=1.0)
    (True, False)
    >>> lender.lend("tags", "10.0.0.2", now=3.0)
    True
    """

    def __init__(self) -> None:
        self._loans: dict[str, _Loan] = {}

    def lend(self, service: str, dispatcher: str, now: float) -> bool:
        """Lend the share to a dispatcher; return ``False`` while another one may spend it.

        :param now: monotonic time in seconds.
        """
        loan = self._loans.get(service)
        if loan is not None and loan.dispatcher != dispatcher and loan.until > now:
            return False
        self._loans[service] = _Loan(dispatcher, now + LENDER_LEASE_S)
        return True

    def borrower(self, service: str) -> str | None:
        """Return the dispatcher that the share was lent to last, ``None`` if it never was."""
        loan = self._loans.get(service)
        return None if loan is None else loan.dispatcher

    def free_since(self, service: str) -> float:
        """Return the monotonic time in seconds from which no dispatcher may spend the share."""
        loan = self._loans.get(service)
        return float("-inf") if loan is None else loan.until

    def end_loans(self, dispatcher: str, now: float) -> None:
        """End the loans to a dispatcher whose process has ended or grants nothing any more."""
        for service, loan in self._loans.items():
            if loan.dispatcher == dispatcher and loan.until > now:
                self._loans[service] = _Loan(dispatcher, now)


class Loans:
    """The shares in one service that are lent to a dispatcher.

    >>> loans = Loans()
    >>> loans.record("10.0.0.1", now=0.0)
    >>> loans.share(["10.0.0.1", "10.0.0.2"], now=1.0)
    0.5
    """

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._last_until = float("-inf")
        self._since = float("inf")

    @property
    def since(self) -> float:
        """Monotonic time in seconds since which some share has been lent without interruption."""
        return self._since

    def record(self, owner: str, now: float) -> None:
        """Record that a balancer lends its share.

        :param now: monotonic time in seconds.
        """
        if now > self._last_until:
            self._since = now
        self._last_until = self._until[owner] = now + LEASE_S

    def remove(self, owner: str) -> None:
        """Record that a balancer has taken back its share."""
        self._until.pop(owner, None)

    def clear(self) -> None:
        """Record that all balancers have taken back their shares."""
        self._until.clear()

    def share(self, owners: Collection[str], now: float) -> float:
        """Return the part of a rate limit that the dispatcher may spend.

        :param owners: all balancers among which the limit is divided.
        """
        lent = sum(1 for owner in owners if self._until.get(owner, float("-inf")) > now)
        return lent / max(1, len(owners))
