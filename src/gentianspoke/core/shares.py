"""The unit of shares, which are integers in thousandths.

Integer arithmetic gives the same result in every process.
"""

# One whole, in thousandths.
PERMILLE = 1000
