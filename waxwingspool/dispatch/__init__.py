"""Decisions under load, apart from input and output: who waits, who is turned away, who runs where.

Every function and class here works on plain data with the time passed in.
"""
