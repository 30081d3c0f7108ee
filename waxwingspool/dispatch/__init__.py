"""Load-balancing decisions: admission, queueing, upstream selection and retry budgets.

The code performs no I/O: it works on plain data, and callers pass in the current time.
"""
