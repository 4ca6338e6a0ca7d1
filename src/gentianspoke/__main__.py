"""The one program: processes and operator commands as subcommands."""

import os
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
    except (errors.SettingsError, errors.LogFileError) as exc:
        print(f'gentianspoke: {exc}', file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    except BrokenPipeError:
        # The reader, such as a pager, has seen enough.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except errors.GentianspokeError as exc:
        print(f'gentianspoke: {exc}', file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == '__main__':
    main()
