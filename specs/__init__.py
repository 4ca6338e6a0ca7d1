"""Specifications of the core protocols, for explicit-state model checking.

``catalogue_log``, ``fresh_start`` and ``handover`` are the specifications; the
other modules hold their states, bounds and the checker. ``python -m specs``
checks all specifications and prints how many states each one has;
``tests/model`` checks them within smaller bounds.
"""
