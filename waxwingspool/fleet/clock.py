"""Steady clocks of other VMs: when was it here that such a clock showed a time?

What a VM tells is as old as the time since it was sent, which includes the time that it waited in
buffers and on links. The clocks of two VMs differ by an unknown constant, which each message with
the sender's time bounds from above, and each reply with the sender's time from below.
"""

__all__ = ["MAX_CLOCK_DRIFT", "RemoteClock"]

# Largest difference in rate between the clocks of two VMs, in seconds per second.
MAX_CLOCK_DRIFT = 0.001


class RemoteClock:
    """Difference between this VM's steady clock and that of another one.

    >>> clock = RemoteClock()
    >>> clock.record(remote_s=500.0, sent_s=10.0, received_s=10.5)
    >>> clock.to_local(502.0)
    12.0
    """

    def __init__(self) -> None:
        # Bounds of the difference in seconds, and when they were last updated.
        self._lower_s, self._upper_s = float("-inf"), float("inf")
        self._recorded_at = 0.0

    def record(self, remote_s: float, received_s: float, sent_s: float = float("-inf")) -> None:
        """Record a message that tells the time of the other clock, in seconds.

        :param remote_s: time that the other clock showed when the message was sent.
        :param received_s: time of this VM's clock when the message was received.
        :param sent_s: time of this VM's clock before which the message was not sent, because it
            replies to a request.
        """
        drift_s = MAX_CLOCK_DRIFT * (received_s - self._recorded_at)
        self._recorded_at = received_s
        lower_s, upper_s = sent_s - remote_s, received_s - remote_s
        self._lower_s = max(lower_s, self._lower_s - drift_s)
        self._upper_s = min(upper_s, self._upper_s + drift_s)
        if self._lower_s > self._upper_s:
            # Another clock has taken the place of the one of before.
            self._lower_s, self._upper_s = lower_s, upper_s

    def to_local(self, remote_s: float) -> float:
        """Return the time of this VM's clock when the other one showed a time, in seconds.

        The earliest one that is possible, or the latest one while no reply has been recorded.
        """
        known = self._lower_s > float("-inf")
        return remote_s + (self._lower_s if known else self._upper_s)
