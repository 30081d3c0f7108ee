"""The users' platform: its names, formats and calls, translated into the product's own types.

Nothing here decides anything, and nothing outside this package knows the platform's names.
"""
