"""Exceptions raised by waxwingspool.

Every exception of the package derives from :class:`WaxwingspoolError`, so a program that embeds
the package needs only one ``except`` clause.
"""

__all__ = [
    "WaxwingspoolError",
    "ConfigurationError",
    "BlobMissing",
    "StoreUnavailable",
    "StoreAnswerLost",
    "PeerUnavailable",
    "AnswerTooLarge",
    "ListenError",
]


class WaxwingspoolError(Exception):
    """Base class of every exception in this package."""


class ConfigurationError(WaxwingspoolError):
    """The settings or the configuration file are invalid; the message lists every finding."""


class BlobMissing(WaxwingspoolError):
    """Neither a peer nor the object store returned the blob for a hash."""


class StoreUnavailable(WaxwingspoolError):
    """A call to the platform's table, object store or VM list failed.

    A transaction that raises it was not committed. Another write, of a single row or a blob, may
    have taken effect.
    """


class StoreAnswerLost(WaxwingspoolError):
    """The response to a write was lost; the write may or may not have taken effect."""


class PeerUnavailable(WaxwingspoolError):
    """A call to a peer failed or timed out, or the peer uses another protocol version."""


class AnswerTooLarge(WaxwingspoolError):
    """An upstream's response exceeds the buffer that holds responses before they are sent."""


class ListenError(WaxwingspoolError):
    """A listener cannot bind its address: it is in use or not assigned to this VM."""
