"""Checks that are run as part of a build."""
