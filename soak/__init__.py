"""Test real gentianspoke processes under randomly injected faults."""
