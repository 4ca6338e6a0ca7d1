"""Subcommands on settings files."""

import dataclasses

import cappa

from gentianspoke.config import key_file
from gentianspoke.config import settings_file


@cappa.command(name='check')
@dataclasses.dataclass
class Check:
    """Check a settings file and the key file that it names."""

    file: str

    def __call__(self) -> None:
        """Print one line; a fault is raised as SettingsError."""
        cfg = settings_file.load(self.file)
        key_file.load(cfg.key_file)
        print(f'{self.file}: valid settings of {cfg.instance}')


@cappa.command(name='config')
@dataclasses.dataclass
class Config:
    """Check settings."""

    command: cappa.Subcommands[Check]
