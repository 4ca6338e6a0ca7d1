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
MESSAGE_SCHEMAS = ROOT / 'schema' / 'messages'
MODEL_SCHEMAS = ROOT / 'schema' / 'models'
OUTPUT_FOLDER = ROOT / 'src' / 'gentianspoke' / 'generated'
PLATFORM_SCHEMAS = ROOT / 'platform' / 'schema'
PLATFORM_OUTPUT_FOLDER = (
    ROOT / 'platform' / 'gentianspoke_platform' / 'generated'
)
# The path of the generated package. The message schemas import each other by
# it, so that the generated modules do the same.
PACKAGE_PATH = 'gentianspoke/generated'
BIN_FOLDER = pathlib.Path(sys.executable).parent
DOCSTRING = '"""Code generated from the schemas; do not edit."""\n'


def generate_messages(output_folder: pathlib.Path) -> None:
    """Write the protobuf modules, their type stubs and the grpclib stubs."""
    names = sorted(path.name for path in MESSAGE_SCHEMAS.glob('*.proto'))
    with tempfile.TemporaryDirectory() as scratch:
        command = [
            sys.executable,
            '-m',
            'grpc_tools.protoc',
            f'-I{PACKAGE_PATH}={MESSAGE_SCHEMAS}',
            '--plugin=protoc-gen-grpclib='
            f'{BIN_FOLDER}/protoc-gen-grpclib_python',
            f'--python_out={scratch}',
            f'--pyi_out={scratch}',
            f'--grpclib_out={scratch}',
            *(f'{PACKAGE_PATH}/{name}' for name in names),
        ]
        subprocess.run(command, check=True, cwd=ROOT)
        for path in sorted((pathlib.Path(scratch) / PACKAGE_PATH).iterdir()):
            text = path.read_text()
            # A schema without services gives a grpclib module without classes.
            if path.name.endswith('_grpc.py') and 'class ' not in text:
                continue
            (output_folder / path.name).write_text(text)


def generate_models(output_folder: pathlib.Path) -> None:
    """Write one pydantic module for each JSON schema in ``MODEL_SCHEMAS``."""
    for path in sorted(MODEL_SCHEMAS.glob('*.json')):
        _generate_model(
            path,
            output_folder,
            'pydantic_v2.BaseModel',
            '--use-field-description',
            '--strict-nullable',
        )


def generate_platform_models(output_folder: pathlib.Path) -> None:
    """Write one msgspec module for each JSON schema of the platform.

    The platform charges each process for its memory, and pydantic uses more
    memory than all other libraries.
    """
    output_folder.mkdir(parents=True, exist_ok=True)
    (output_folder / '__init__.py').write_text(DOCSTRING)
    for path in sorted(PLATFORM_SCHEMAS.glob('*.json')):
        _generate_model(path, output_folder, 'msgspec.Struct', '--use-default')


def _generate_model(
    schema_path: pathlib.Path,
    output_folder: pathlib.Path,
    model_type: str,
    *options: str,
) -> None:
    command = [
        str(BIN_FOLDER / 'datamodel-codegen'),
        '--input',
        str(schema_path),
        '--input-file-type',
        'jsonschema',
        '--output',
        str(output_folder / f'{schema_path.stem}_model.py'),
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


def generate_main_modules(output_folder: pathlib.Path) -> None:
    """Write the modules for ``src/gentianspoke`` into ``output_folder``."""
    output_folder.mkdir(parents=True, exist_ok=True)
    (output_folder / '__init__.py').write_text(DOCSTRING)
    generate_messages(output_folder)
    generate_models(output_folder)


def find_stale_files(
    fresh_folder: pathlib.Path, output_folder: pathlib.Path
) -> list[str]:
    """Return the sorted names of files that differ between two folders.

    A file that exists in only one of the folders also counts.
    """
    committed_names = {
        path.name for path in output_folder.iterdir() if path.is_file()
    }
    fresh_names = {path.name for path in fresh_folder.iterdir()}
    changed_names = {
        name
        for name in committed_names & fresh_names
        if not filecmp.cmp(
            output_folder / name, fresh_folder / name, shallow=False
        )
    }
    return sorted(changed_names | (committed_names ^ fresh_names))


def main() -> int:
    """Write the generated modules, or report stale ones with ``--check``.

    Return 1 if ``--check`` finds a stale file, otherwise 0.
    """
    stale_names: list[str] = []
    # The modules are generated outside the repository, because the generator
    # would otherwise pick up the repository's formatter settings.
    with tempfile.TemporaryDirectory() as scratch:
        for generate_into, output_folder in (
            (generate_main_modules, OUTPUT_FOLDER),
            (generate_platform_models, PLATFORM_OUTPUT_FOLDER),
        ):
            # Both output folders are called ``generated``.
            fresh_folder = pathlib.Path(scratch) / output_folder.parent.name
            generate_into(fresh_folder)
            if '--check' in sys.argv[1:]:
                stale_names.extend(
                    find_stale_files(fresh_folder, output_folder)
                )
            else:
                shutil.copytree(
                    fresh_folder, output_folder, dirs_exist_ok=True
                )
    for name in stale_names:
        print(f'{name}: stale; run "make generate" and commit the result')
    return 1 if stale_names else 0


if __name__ == '__main__':
    sys.exit(main())
