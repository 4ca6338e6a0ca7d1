"""Benchmarks, each run by one command; docs/figures shows their results."""
