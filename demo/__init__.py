"""Run real gentianspoke processes on loopback with simulated peers."""
