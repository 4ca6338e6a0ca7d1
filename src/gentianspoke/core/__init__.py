"""Data classes that all parts share; they import no socket or codec."""
