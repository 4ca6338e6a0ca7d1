"""Specifications of the core protocols, for explicit-state model checking.

``catalogue_log``, ``fresh_start`` and ``handover`` are the specifications; the
other modules hold their states and bounds, their calls of the production code,
and the checker. ``python -m specs`` checks all specifications and prints how
many states each search visited. It also searches with each seeded mistake and
prints the path to the violation. ``tests/model`` runs the shorter of these
searches, with smaller bounds for ``fresh_start``.
"""
