"""The processes, whose tasks own the sockets and execute decisions."""
