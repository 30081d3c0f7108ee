"""Tools for building the product."""
