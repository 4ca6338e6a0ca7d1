"""Durable files below one data folder."""
