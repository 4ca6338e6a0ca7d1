"""Texts of logs on a terminal."""


def printable(text: str) -> str:
    """Return ``text`` as one line without control characters.

    Logs hold what other programs and machines sent; it must not move the
    reader's cursor or look like a line of its own.
    """
    if text.isprintable():
        return text
    return ''.join(
        char if char.isprintable() else _escaped(char) for char in text
    )


def _escaped(char: str) -> str:
    return char.encode('unicode_escape', 'surrogatepass').decode('ascii')
