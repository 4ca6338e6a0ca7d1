"""Broken flows and imbalance of placement rules at the users' sizes."""
