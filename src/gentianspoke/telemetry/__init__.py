"""The log, the events and the metrics of a process."""
