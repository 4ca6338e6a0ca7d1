"""Shares as whole numbers, so that every process computes the same."""

# A whole, in thousandths.
PERMILLE = 1000
