"""Sockets and streams, opened and closed by context managers."""
