"""The command line program, whose subcommands are defined in ``commands``."""

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

    Exits with status 2 if the input is not valid, and with status 1 if a
    request was not carried out. In both cases, it prints the reason in one
    line on standard error.
    """
    try:
        cappa.invoke(root.Gentianspoke, version=__version__)
    except (errors.SettingsError, errors.LogFileError) as exc:
        print(f'gentianspoke: {exc}', file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    except BrokenPipeError:
        # The reader of the output, such as a pager, closed the pipe. Redirect
        # standard output, so that the flush at exit does not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except errors.GentianspokeError as exc:
        print(f'gentianspoke: {exc}', file=sys.stderr)
        sys.exit(EXIT_FAILED)


if __name__ == '__main__':
    main()
