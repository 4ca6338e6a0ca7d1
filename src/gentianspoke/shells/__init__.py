"""Processes: tasks around sockets that carry out decisions."""
