"""Decision functions, which do no input or output.

They take data classes and the current time, and they return data classes.
No module of this package imports a socket, a codec or asyncio;
``tools/check_layers.py`` enforces this. Another front end can therefore use
the same decisions.
"""
