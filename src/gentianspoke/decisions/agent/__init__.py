"""Decisions of the agent, the authority on its upstream's flows."""
