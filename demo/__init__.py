"""A demonstration on loopback: real processes, stand-ins around them."""
