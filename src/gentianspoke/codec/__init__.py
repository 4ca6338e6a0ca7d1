"""Encoding and decoding of messages and packets, without decisions."""
