"""Check that only the platform's front end uses the platform's names.

Its folders are ``platform`` and ``tests/platform``. The rest of the project
does not depend on one platform, so that it can have another front end.
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CHECKED_FOLDERS = (
    'src',
    'tests',
    'demo',
    'benchmarks',
    'specs',
    'schema',
    'examples',
)
# Subfolders of ``CHECKED_FOLDERS`` that are not checked.
EXEMPT_FOLDERS = ('tests/platform',)
CHECKED_SUFFIXES = ('.py', '.proto', '.json', '.yaml')
# Names from the platform's protocol, settings and deployment file that the
# rest of the project does not use for anything else.
PLATFORM_NAMES = (
    'app_addr',
    'backends',
    'bootstrap',
    'bounced',
    'cold_left_ms',
    'config_apply_ms',
    'counts_as_loss',
    'data_addr',
    'data_dir',
    'deploy_mode',
    'drain_ms',
    'fleetbench',
    'gentianspoke_config',
    'gentianspoke_platform',
    'heartbeat_addr',
    'internal_port_range',
    'latency_target_ms',
    'max_attempts',
    'path_prefix',
    'stability_window_ms',
    'v1/config',
    'v1/instances',
    'v1/readiness',
    'x-gentianspoke',
)
PATTERN = re.compile(
    '|'.join(
        rf'(?<![a-z0-9]){re.escape(name)}(?![a-z0-9])'
        for name in PLATFORM_NAMES
    ),
    re.IGNORECASE,
)


def find_platform_names(root: pathlib.Path) -> list[str]:
    """Return a line for each platform name found in a checked folder.

    Each line has the form ``PATH:LINE: NAME``.
    """
    findings: list[str] = []
    for folder in CHECKED_FOLDERS:
        for path in sorted((root / folder).rglob('*')):
            relative_path = path.relative_to(root).as_posix()
            if (
                path.suffix not in CHECKED_SUFFIXES
                or relative_path.startswith(EXEMPT_FOLDERS)
            ):
                continue
            for line_number, text in enumerate(
                path.read_text().splitlines(), 1
            ):
                for match in PATTERN.finditer(text):
                    findings.append(
                        f'{relative_path}:{line_number}: {match[0]}'
                    )
    return findings


def main() -> int:
    """Print each name that is found; return 1 if there is any, else 0."""
    findings = find_platform_names(ROOT)
    for finding in findings:
        print(f'{finding} is a name of the platform; keep it in platform/')
    return 1 if findings else 0


if __name__ == '__main__':
    sys.exit(main())
