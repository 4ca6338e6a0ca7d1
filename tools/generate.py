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
PLATFORM_MODELS = ROOT / 'platform' / 'schema'
PLATFORM_OUTPUT = ROOT / 'platform' / 'gentianspoke_platform' / 'generated'
PACKAGE = 'gentianspoke/generated'
BIN = pathlib.Path(sys.executable).parent
DOCSTRING = '"""Code generated from the schemas; do not edit."""\n'


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
        _generate_model(
            path,
            output,
            'pydantic_v2.BaseModel',
            '--use-field-description',
            '--strict-nullable',
        )


def generate_platform_models(output: pathlib.Path) -> None:
    """Write one msgspec module for each JSON schema of the platform.

    Processes of the platform pay for their memory, of which pydantic
    takes more than all other libraries.
    """
    output.mkdir(parents=True, exist_ok=True)
    (output / '__init__.py').write_text(DOCSTRING)
    for path in sorted(PLATFORM_MODELS.glob('*.json')):
        _generate_model(path, output, 'msgspec.Struct', '--use-default')


def _generate_model(
    path: pathlib.Path, output: pathlib.Path, kind: str, *options: str
) -> None:
    command = [
        str(BIN / 'datamodel-codegen'),
        '--input',
        str(path),
        '--input-file-type',
        'jsonschema',
        '--output',
        str(output / f'{path.stem}_model.py'),
        '--output-model-type',
        kind,
        '--target-python-version',
        '3.11',
        '--disable-timestamp',
        '--use-schema-description',
        '--use-default-kwarg',
        '--snake-case-field',
        '--formatters',
        'builtin',
        '--use-annotated',
        *options,
    ]
    subprocess.run(command, check=True, cwd=ROOT)


def generate(output: pathlib.Path) -> None:
    """Write all generated modules into the folder ``output``."""
    output.mkdir(parents=True, exist_ok=True)
    (output / '__init__.py').write_text(DOCSTRING)
    generate_messages(output)
    generate_models(output)


def stale_files(fresh: pathlib.Path, output: pathlib.Path) -> list[str]:
    """Return the names of files in ``output`` that differ from ``fresh``."""
    committed = {path.name for path in output.iterdir() if path.is_file()}
    wanted = {path.name for path in fresh.iterdir()}
    changed = {
        name
        for name in committed & wanted
        if not filecmp.cmp(output / name, fresh / name, shallow=False)
    }
    return sorted(changed | (committed ^ wanted))


def main() -> int:
    """Generate, or with ``--check`` report stale files and return 1."""
    stale: list[str] = []
    # Generated outside the repository, whose formatter settings would
    # otherwise reach the generator.
    with tempfile.TemporaryDirectory() as scratch:
        for write, output in (
            (generate, OUTPUT),
            (generate_platform_models, PLATFORM_OUTPUT),
        ):
            fresh = pathlib.Path(scratch) / output.parent.name
            write(fresh)
            if '--check' in sys.argv[1:]:
                stale.extend(stale_files(fresh, output))
            else:
                shutil.copytree(fresh, output, dirs_exist_ok=True)
    for name in stale:
        print(f'{name}: stale; run "make generate" and commit the result')
    return 1 if stale else 0


if __name__ == '__main__':
    sys.exit(main())
