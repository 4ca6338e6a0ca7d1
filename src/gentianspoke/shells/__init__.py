"""The processes: tasks that own sockets and carry out decisions."""
