"""Benchmarks, each run by one command.

Most of them write their tables to the folder ``results``.
"""
