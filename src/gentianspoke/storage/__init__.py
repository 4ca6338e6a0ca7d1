"""Durable storage in files of one data folder."""
