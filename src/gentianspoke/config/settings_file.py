"""Reading of the settings file of one process."""

from gentianspoke.config import checks
from gentianspoke.config import from_model
from gentianspoke.config import settings
from gentianspoke.config import yaml_files
from gentianspoke import errors
from gentianspoke.generated import settings_model


def load(path: str) -> settings.Settings:
    """Return the checked settings in the file at ``path``.

    Raises :class:`gentianspoke.errors.SettingsError` if the file cannot be
    read or a setting is invalid.
    """
    model = yaml_files.load(path, settings_model.Settings)
    roles = [
        role
        for role in (model.entry, model.agent, model.control)
        if role is not None
    ]
    if len(roles) != 1:
        raise errors.SettingsError(
            path,
            'entry, agent, control',
            f'{len(roles)} of them are given; give exactly one',
        )
    if model.control is None and not model.feeds:
        raise errors.SettingsError(
            path, 'feeds', 'missing; list the addresses of control instances'
        )
    checks.check_values(path, model)
    cfg = from_model.convert_settings(model, roles[0])
    checks.check_consistency(path, cfg)
    return cfg
