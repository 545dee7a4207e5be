"""Build the executable archive of the project.

Usage: build_archive OUTPUT

The archive holds the package and the libraries of requirements.txt as they
are installed in the environment that runs this tool, which is the one that the
tests ran with. Nothing is downloaded.
"""

import importlib.metadata
import pathlib
import shutil
import sys
import tempfile
import zipfile
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import docopt
import shiv
from packaging import requirements
from shiv import builder
from shiv.bootstrap import environment

from tools import archive_launcher

_ROOT: Final = pathlib.Path(__file__).resolve().parent.parent
# Folder of the package that the archive runs.
PACKAGE: Final = _ROOT / "amaranthpulley"

_ENTRY_POINT: Final = "amaranthpulley.cli:main"
_INTERPRETER: Final = "/usr/bin/env python3"
_LAUNCHER: Final = "archive_launcher"
_EXCLUDED_PATTERNS: Final = ("__pycache__", "tests")
# Fixed timestamps, so that the same sources give the same archive.
_BUILT_AT: Final = "2020-01-01 00:00:00"
_MEMBER_DATE: Final = (2020, 1, 1, 0, 0, 0)


class BuildError(Exception):
    """The archive cannot be built from this environment."""


def _read_pins() -> Iterator[str]:
    for line in (_ROOT / "requirements.txt").read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            yield line


def distributions(pins: Iterable[str]) -> dict[str, importlib.metadata.Distribution]:
    """Return the distributions that `pins` require, directly or indirectly.

    Raises
    ------
    BuildError
        If the installed version of a library does not satisfy a requirement.
    """
    resolved: dict[str, importlib.metadata.Distribution] = {}
    pending = list(pins)
    while pending:
        requirement = requirements.Requirement(pending.pop())
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        distribution = importlib.metadata.distribution(requirement.name)
        if not requirement.specifier.contains(distribution.version):
            raise BuildError(
                f"{requirement} is required, {distribution.version} is installed"
            )
        if distribution.name not in resolved:
            resolved[distribution.name] = distribution
            pending += distribution.requires or ()
    return resolved


def _copy_distribution(
    distribution: importlib.metadata.Distribution, folder: pathlib.Path
) -> None:
    for path in distribution.files or ():
        # Scripts are installed outside the library folder and are not needed.
        if ".." in path.parts or "__pycache__" in path.parts:
            continue
        target = folder / path
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(path.locate(), target)


def _copy_package(package: pathlib.Path, folder: pathlib.Path) -> None:
    ignore = shutil.ignore_patterns(*_EXCLUDED_PATTERNS)
    shutil.copytree(package, folder / package.name, ignore=ignore)


def _write_archive(folder: pathlib.Path, output: pathlib.Path) -> None:
    metadata = environment.Environment(
        built_at=_BUILT_AT,
        shiv_version=shiv.__version__,
        # Compiling at the first start would spawn worker processes.
        compile_pyc=False,
        entry_point=_ENTRY_POINT,
        reproducible=True,
    )
    builder.create_archive(
        [folder],
        target=output,
        interpreter=_INTERPRETER,
        main=f"{_LAUNCHER}:main",
        env=metadata,
        compressed=True,
    )
    launcher = pathlib.Path(__file__).with_name(f"{_LAUNCHER}.py").read_text()
    _add_members(
        output,
        {
            f"{_LAUNCHER}.py": launcher,
            archive_launcher.VERSION_MEMBER: "{}.{}".format(*sys.version_info),
        },
    )


def _add_members(output: pathlib.Path, members: Mapping[str, str]) -> None:
    with zipfile.ZipFile(output, "a", compression=zipfile.ZIP_DEFLATED) as archive:
        for name, text in members.items():
            info = zipfile.ZipInfo(name, date_time=_MEMBER_DATE)
            info.compress_type = zipfile.ZIP_DEFLATED
            archive.writestr(info, text)


def build(output: pathlib.Path, package: pathlib.Path = PACKAGE) -> None:
    """Build the archive from the folder `package` and write it to `output`.

    Raises
    ------
    BuildError
        If an installed library does not have the version that
        ``requirements.txt`` pins.
    """
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for distribution in distributions(_read_pins()).values():
            _copy_distribution(distribution, folder)
        _copy_package(package, folder)
        _write_archive(folder, output)


def main() -> None:
    """Build the archive that the command line names."""
    output = pathlib.Path(docopt.docopt(__doc__)["OUTPUT"])
    try:
        build(output)
    except BuildError as error:
        sys.exit(str(error))
    print(f"{output}: {output.stat().st_size} bytes")


if __name__ == "__main__":
    main()
