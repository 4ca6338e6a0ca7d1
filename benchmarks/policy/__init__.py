"""Benchmarks of placement rules at the sizes of the product's users."""
