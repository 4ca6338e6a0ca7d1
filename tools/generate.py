"""Generate Python modules from the schemas, or check the committed ones.

The messages in ``schema/messages`` become protobuf modules and grpclib
stubs. The models in ``schema/models`` become pydantic models, and those in
``platform/schema`` become msgspec structs. The generated modules are
committed, so that building and testing need no generator.
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
BIN_DIR = pathlib.Path(sys.executable).parent
DOCSTRING = '"""Code generated from the schemas; do not edit."""\n'


def generate_messages(output: pathlib.Path) -> None:
    """Write the protobuf modules, their type stubs and the grpclib stubs."""
    names = sorted(path.name for path in MESSAGES.glob('*.proto'))
    with tempfile.TemporaryDirectory() as scratch:
        command = [
            sys.executable,
            '-m',
            'grpc_tools.protoc',
            f'-I{PACKAGE}={MESSAGES}',
            f'--plugin=protoc-gen-grpclib={BIN_DIR}/protoc-gen-grpclib_python',
            f'--python_out={scratch}',
            f'--pyi_out={scratch}',
            f'--grpclib_out={scratch}',
            *(f'{PACKAGE}/{name}' for name in names),
        ]
        subprocess.run(command, check=True, cwd=ROOT)
        for path in sorted((pathlib.Path(scratch) / PACKAGE).iterdir()):
            text = path.read_text()
            # A schema without services gives a grpclib module without classes.
            if path.name.endswith('_grpc.py') and 'class ' not in text:
                continue
            (output / path.name).write_text(text)


def generate_models(output: pathlib.Path) -> None:
    """Write one pydantic module for each JSON schema in ``MODELS``."""
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

    The platform charges each process for its memory, and pydantic uses more
    memory than all other libraries.
    """
    output.mkdir(parents=True, exist_ok=True)
    (output / '__init__.py').write_text(DOCSTRING)
    for path in sorted(PLATFORM_MODELS.glob('*.json')):
        _generate_model(path, output, 'msgspec.Struct', '--use-default')


def _generate_model(
    path: pathlib.Path, output: pathlib.Path, model_type: str, *options: str
) -> None:
    command = [
        str(BIN_DIR / 'datamodel-codegen'),
        '--input',
        str(path),
        '--input-file-type',
        'jsonschema',
        '--output',
        str(output / f'{path.stem}_model.py'),
        '--output-model-type',
        model_type,
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
    """Write all modules but the platform's into the folder ``output``."""
    output.mkdir(parents=True, exist_ok=True)
    (output / '__init__.py').write_text(DOCSTRING)
    generate_messages(output)
    generate_models(output)


def find_stale_files(fresh: pathlib.Path, output: pathlib.Path) -> list[str]:
    """Return the sorted names of files that differ between two folders.

    A file that only one of ``fresh`` and ``output`` contains also counts.
    """
    committed = {path.name for path in output.iterdir() if path.is_file()}
    expected = {path.name for path in fresh.iterdir()}
    changed = {
        name
        for name in committed & expected
        if not filecmp.cmp(output / name, fresh / name, shallow=False)
    }
    return sorted(changed | (committed ^ expected))


def main() -> int:
    """Write the generated modules, or report stale ones with ``--check``.

    Return 1 if ``--check`` finds a stale file, otherwise 0.
    """
    stale: list[str] = []
    # The modules are generated outside the repository, because the generator
    # would otherwise pick up the repository's formatter settings.
    with tempfile.TemporaryDirectory() as scratch:
        for write, output in (
            (generate, OUTPUT),
            (generate_platform_models, PLATFORM_OUTPUT),
        ):
            fresh = pathlib.Path(scratch) / output.parent.name
            write(fresh)
            if '--check' in sys.argv[1:]:
                stale.extend(find_stale_files(fresh, output))
            else:
                shutil.copytree(fresh, output, dirs_exist_ok=True)
    for name in stale:
        print(f'{name}: stale; run "make generate" and commit the result')
    return 1 if stale else 0


if __name__ == '__main__':
    sys.exit(main())
