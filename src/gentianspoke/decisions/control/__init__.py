"""Decisions of a control instance."""
