"""Data classes that all packages share.

The modules of this package import no socket and no codec.
"""
