"""Check that the platform's names stand in its own folders only."""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ('src', 'tests', 'demo', 'benchmarks', 'specs', 'schema', 'examples')
OWN = ('tests/platform',)
SUFFIXES = ('.py', '.proto', '.json', '.yaml')
# Names of the platform's wire, settings and deploy file that the project
# has no meaning of its own for.
NAMES = (
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
    '|'.join(rf'(?<![a-z0-9]){re.escape(name)}(?![a-z0-9])' for name in NAMES),
    re.IGNORECASE,
)


def found_names(root: pathlib.Path) -> list[str]:
    """Return a line for each name that stands outside its folders."""
    lines: list[str] = []
    for folder in FOLDERS:
        for path in sorted((root / folder).rglob('*')):
            where = path.relative_to(root).as_posix()
            if path.suffix not in SUFFIXES or where.startswith(OWN):
                continue
            for number, text in enumerate(path.read_text().splitlines(), 1):
                for match in PATTERN.finditer(text):
                    lines.append(f'{where}:{number}: {match[0]}')
    return lines


def main() -> int:
    """Print each name found and return 1 where there is one."""
    lines = found_names(ROOT)
    for line in lines:
        print(f'{line} is a name of the platform; keep it in platform/')
    return 1 if lines else 0


if __name__ == '__main__':
    sys.exit(main())
