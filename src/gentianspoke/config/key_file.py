"""Reading of the file with the shared keys.

The file lists numbered keys in hexadecimal and names one as active.
"""

import pathlib
import stat

from gentianspoke.codec import keys
from gentianspoke.config import yaml_files
from gentianspoke import errors
from gentianspoke.generated import key_file_model

# Other users must not access the file, and its group must not write it.
FORBIDDEN_MODE = stat.S_IRWXO | stat.S_IWGRP


def load(path: str) -> keys.KeyRing:
    """Return the keys in the file at ``path``.

    Raises :class:`gentianspoke.errors.KeyFileError` if the file is invalid,
    cannot be read, or has permissions in ``FORBIDDEN_MODE``.
    """
    model = yaml_files.load(path, key_file_model.KeyFile, errors.KeyFileError)
    _check_mode(path)
    keys_by_id: dict[int, bytes] = {}
    for key in model.keys:
        if key.id in keys_by_id:
            raise errors.KeyFileError(
                path, f'keys.{key.id}', 'is given twice; use another number'
            )
        keys_by_id[key.id] = _decode_key(path, key)
    if model.active not in keys_by_id:
        raise errors.KeyFileError(
            path,
            'active',
            f'key {model.active} is not listed under keys; add it there or'
            ' name a listed one',
        )
    return keys.KeyRing(model.active, keys_by_id)


def _check_mode(path: str) -> None:
    mode = pathlib.Path(path).stat().st_mode
    if mode & FORBIDDEN_MODE:
        raise errors.KeyFileError(
            path,
            '',
            f'has permissions {stat.S_IMODE(mode):o}, so others can use the'
            f' keys; run chmod 600 {path} and rotate the keys',
        )


def _decode_key(path: str, key: key_file_model.Key) -> bytes:
    key_bytes = bytes.fromhex(key.hex)
    if not keys.MIN_KEY_BYTES <= len(key_bytes) <= keys.MAX_KEY_BYTES:
        raise errors.KeyFileError(
            path,
            f'keys.{key.id}',
            f'{len(key_bytes)} bytes long; use {keys.MIN_KEY_BYTES} to'
            f' {keys.MAX_KEY_BYTES} random bytes',
        )
    return key_bytes
