"""Adapters to what the platform gives: table, object store and VM list."""
