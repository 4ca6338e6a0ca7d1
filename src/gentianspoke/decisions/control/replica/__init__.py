"""Consensus on the catalogue log: events and a time in, effects out.

The protocol is Raft (Ongaro and Ousterhout, "In search of an
understandable consensus algorithm", 2014) with pre-vote, check-quorum,
leader leases, learners and changes of one member at a time.
"""
