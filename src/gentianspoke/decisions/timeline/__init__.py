"""The time line: causal order of events, and attribution of faults."""
