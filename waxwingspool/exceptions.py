"""Exceptions raised by waxwingspool.

Every exception of the package derives from :class:`WaxwingspoolError`, so a program that embeds
the package needs one ``except`` clause.
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
    """Settings or a configuration file that can't be used; the message lists every finding."""


class BlobMissing(WaxwingspoolError):
    """No peer and no object store returned the content for a hash."""


class StoreUnavailable(WaxwingspoolError):
    """The platform's table or object store did not take the request; nothing was written."""


class StoreAnswerLost(WaxwingspoolError):
    """A write was sent and its answer was lost; the write may or may not have taken effect."""


class PeerUnavailable(WaxwingspoolError):
    """A peer did not answer an exchange in time."""


class AnswerTooLarge(WaxwingspoolError):
    """An upstream's answer is larger than the buffer that holds answers before they are sent."""


class ListenError(WaxwingspoolError):
    """An address that should be listened at is taken or not this VM's."""
