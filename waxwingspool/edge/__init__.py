"""The deployed role: one process on every VM between callers and upstreams."""
