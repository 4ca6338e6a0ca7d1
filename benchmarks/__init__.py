"""Measurements, one command each; results stand in docs/figures."""
