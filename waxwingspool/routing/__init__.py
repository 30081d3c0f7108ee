"""Upstream selection, concurrency limits, hedging, and budgets for extra work."""
