"""Specifications of the core protocols, checked by explicit states.

Each module is one specification. ``python -m specs`` checks all of them
and prints their state counts; ``tests/model`` runs smaller bounds.
"""
