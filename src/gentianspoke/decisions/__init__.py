"""Decisions: data classes and a time in, data classes out.

Nothing here imports a socket, a codec or asyncio; ``tools/check_layers.py``
enforces it. Another front end can therefore use the same decisions.
"""
