"""The time line: causal order of events, and who was at fault."""
