"""Consensus on the catalogue log, without input or output of its own.

A replica takes an event and the current time, and returns the effects that
the calling code has to carry out.

The protocol is Raft (Ongaro and Ousterhout, "In search of an
understandable consensus algorithm", 2014) with pre-vote, check-quorum,
leader leases, learners and changes of one member at a time.
"""
