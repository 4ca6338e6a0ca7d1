"""The file of shared keys: numbered keys in hexadecimal, one active."""

import pathlib
import stat

from gentianspoke.codec import keys
from gentianspoke.config import yaml_files
from gentianspoke import errors
from gentianspoke.generated import key_file_model

# Others may not use the file at all, and the group may not change it.
FORBIDDEN_MODE = stat.S_IRWXO | stat.S_IWGRP


def load(path: str) -> keys.KeyRing:
    """Return the keys in the file at ``path``.

    Raises :class:`gentianspoke.errors.KeyFileError`.
    """
    model = yaml_files.load(path, key_file_model.KeyFile, errors.KeyFileError)
    _check_mode(path)
    ring: dict[int, bytes] = {}
    for item in model.keys:
        if item.id in ring:
            raise errors.KeyFileError(
                path, f'keys.{item.id}', 'is given twice; number it anew'
            )
        ring[item.id] = _key(path, item)
    if model.active not in ring:
        raise errors.KeyFileError(
            path, 'active', f'key {model.active} is not listed under keys'
        )
    return keys.KeyRing(model.active, ring)


def _check_mode(path: str) -> None:
    mode = pathlib.Path(path).stat().st_mode
    if mode & FORBIDDEN_MODE:
        raise errors.KeyFileError(
            path,
            '',
            f'has rights {stat.S_IMODE(mode):o}, so others can use the keys;'
            f' run chmod 600 {path} and rotate the keys',
        )


def _key(path: str, item: key_file_model.Key) -> bytes:
    value = bytes.fromhex(item.hex)
    if not keys.MIN_KEY_BYTES <= len(value) <= keys.MAX_KEY_BYTES:
        raise errors.KeyFileError(
            path,
            f'keys.{item.id}',
            f'{len(value)} bytes long; use {keys.MIN_KEY_BYTES} to'
            f' {keys.MAX_KEY_BYTES} random bytes',
        )
    return value
