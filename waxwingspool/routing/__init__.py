"""The choice of an upstream, limits, hedges and budgets."""
