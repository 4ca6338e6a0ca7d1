"""The unit of ratios whose names end in ``permille``.

They are integers in thousandths, because integer arithmetic gives the same
result in every process.
"""

# One whole, in thousandths.
PERMILLE = 1000
