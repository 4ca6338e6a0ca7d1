"""Generate the code that stands for the schemas, or check it is current.

Messages (``schema/messages``) become protobuf modules and grpclib stubs;
models (``schema/models``) become pydantic models. The result is committed,
so that the build and the test run need no generator for ordinary work.
"""

import filecmp
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
MESSAGES = ROOT / 'schema' / 'messages'
MODELS = ROOT / 'schema' / 'models'
OUTPUT = ROOT / 'src' / 'gentianspoke' / 'generated'
PACKAGE = 'gentianspoke/generated'
BIN = pathlib.Path(sys.executable).parent


def generate_messages(output: pathlib.Path) -> None:
    """Write protobuf modules, their type stubs and the grpclib stubs."""
    names = sorted(path.name for path in MESSAGES.glob('*.proto'))
    with tempfile.TemporaryDirectory() as scratch:
        command = [
            sys.executable,
            '-m',
            'grpc_tools.protoc',
            f'-I{PACKAGE}={MESSAGES}',
            f'--plugin=protoc-gen-grpclib={BIN}/protoc-gen-grpclib_python',
            f'--python_out={scratch}',
            f'--pyi_out={scratch}',
            f'--grpclib_out={scratch}',
            *(f'{PACKAGE}/{name}' for name in names),
        ]
        subprocess.run(command, check=True, cwd=ROOT)
        for path in sorted((pathlib.Path(scratch) / PACKAGE).iterdir()):
            text = path.read_text()
            if path.name.endswith('_grpc.py') and 'class ' not in text:
                continue
            (output / path.name).write_text(text)


def generate_models(output: pathlib.Path) -> None:
    """Write one pydantic module for each JSON schema of models."""
    for path in sorted(MODELS.glob('*.json')):
        command = [
            str(BIN / 'datamodel-codegen'),
            '--input',
            str(path),
            '--input-file-type',
            'jsonschema',
            '--output',
            str(output / f'{path.stem}_model.py'),
            '--output-model-type',
            'pydantic_v2.BaseModel',
            '--target-python-version',
            '3.11',
            '--disable-timestamp',
            '--use-schema-description',
            '--use-field-description',
            '--use-default-kwarg',
            '--snake-case-field',
            '--formatters',
            'builtin',
            '--strict-nullable',
            '--use-annotated',
        ]
        subprocess.run(command, check=True, cwd=ROOT)


def generate(output: pathlib.Path) -> None:
    """Write all generated modules into the folder ``output``."""
    output.mkdir(parents=True, exist_ok=True)
    docstring = '"""Code generated from the schemas; do not edit."""\n'
    (output / '__init__.py').write_text(docstring)
    generate_messages(output)
    generate_models(output)


def stale_files(fresh: pathlib.Path) -> list[str]:
    """Return the names of generated files that differ from ``fresh``."""
    committed = {path.name for path in OUTPUT.iterdir() if path.is_file()}
    wanted = {path.name for path in fresh.iterdir()}
    changed = {
        name
        for name in committed & wanted
        if not filecmp.cmp(OUTPUT / name, fresh / name, shallow=False)
    }
    return sorted(changed | (committed ^ wanted))


def main() -> int:
    """Generate, or with ``--check`` report stale files and return 1."""
    # Generated outside the repository, whose formatter settings would
    # otherwise reach the generator.
    with tempfile.TemporaryDirectory() as scratch:
        fresh = pathlib.Path(scratch) / 'generated'
        generate(fresh)
        if '--check' not in sys.argv[1:]:
            shutil.copytree(fresh, OUTPUT, dirs_exist_ok=True)
            return 0
        stale = stale_files(fresh)
    for name in stale:
        print(f'{name}: stale; run "make generate" and commit the result')
    return 1 if stale else 0


if __name__ == '__main__':
    sys.exit(main())
