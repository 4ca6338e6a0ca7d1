"""Logs, events of the time line, and metrics."""
