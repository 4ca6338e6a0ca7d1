"""Define the subcommands that check settings and catalogue files."""

import dataclasses
import importlib
import typing

import cappa

from gentianspoke.commands import catalogue_check
from gentianspoke.config import key_file
from gentianspoke.config import settings_file
from gentianspoke import errors


@cappa.command(name='check')
@dataclasses.dataclass
class Check:
    """Check a settings file and the key file that it names.

    ``--reader`` names a module for settings files of another format. Its
    function ``check`` takes the path of the file and returns the name of
    the instance.
    """

    file: str
    reader: typing.Annotated[
        str,
        cappa.Arg(
            long=True, help='Module that checks files of another format.'
        ),
    ] = ''

    def __call__(self) -> None:
        """Print one line if the file is valid.

        Raises :class:`gentianspoke.errors.SettingsError` if it is not.
        """
        instance = (
            self._check_with_reader()
            if self.reader
            else self._check_settings()
        )
        print(f'{self.file}: valid settings of {instance}')

    def _check_settings(self) -> str:
        cfg = settings_file.load(self.file)
        key_file.load(cfg.key_file)
        return cfg.instance

    def _check_with_reader(self) -> str:
        try:
            module = importlib.import_module(self.reader)
        except ImportError as exc:
            raise errors.SettingsError(
                self.file,
                '--reader',
                f'cannot import {self.reader}; put its folder on PYTHONPATH',
            ) from exc
        return str(module.check(self.file))


@cappa.command(name='config')
@dataclasses.dataclass
class Config:
    """Check settings files and catalogue entries."""

    command: cappa.Subcommands[Check | catalogue_check.CheckCatalogue]
