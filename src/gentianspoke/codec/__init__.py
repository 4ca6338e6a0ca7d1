"""Between bytes and data classes; nothing is decided here."""
