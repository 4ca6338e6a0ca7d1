"""Escape texts from logs so that a terminal can print them safely."""


def escape_unprintable(text: str) -> str:
    """Return ``text`` with all characters escaped that are not printable.

    Logs contain texts that other programs and hosts sent. Unescaped control
    characters in them could move the cursor of the terminal, and line ends
    could make a part of a text look like a line of its own.
    """
    if text.isprintable():
        return text
    return ''.join(
        char if char.isprintable() else _escape_character(char)
        for char in text
    )


def _escape_character(char: str) -> str:
    return char.encode('unicode_escape', 'surrogatepass').decode('ascii')
