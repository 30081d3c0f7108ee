"""The request path and the process around it."""
