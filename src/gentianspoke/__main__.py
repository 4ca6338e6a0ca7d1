"""The one program: processes and operator commands as subcommands."""

import sys

import cappa

from gentianspoke import __version__
from gentianspoke.commands import root
from gentianspoke import errors

EXIT_BAD_INPUT = 2
EXIT_FAILED = 1


def main() -> None:
    """Run the subcommand that the command line names.

    Exits with status 2 for input that cannot be used, and 1 for a
    request that was not carried out, with one line that says why.
    """
    try:
        cappa.invoke(root.Gentianspoke, version=__version__)
    except errors.SettingsError as exc:
        print(f'gentianspoke: {exc}', file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    except errors.GentianspokeError as exc:
        print(f'gentianspoke: {exc}', file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == '__main__':
    main()
