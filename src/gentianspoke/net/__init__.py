"""UDP sockets and HTTP, opened and closed by context managers."""
