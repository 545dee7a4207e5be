"""Launcher of the executable archive: checks the unpack folder, then unpacks.

The archive unpacks once for each build, into the folder that the environment
variable ``SHIV_ROOT`` names (by default ``~/.shiv``). On a diskless machine it
names a folder in a memory file system. If the folder cannot be used, the
launcher prints one line with the reason and exits with code 78.

This module runs before any library is available, so it uses only the standard
library.
"""

import os
import pathlib
import sys
import tempfile
import zipfile
from typing import Final, NoReturn

# Member of the archive with the Python version that its libraries are built for.
VERSION_MEMBER: Final = "python-version"

_EXIT_CONFIGURATION: Final = 78


def _unpack_folder(archive: zipfile.ZipFile) -> pathlib.Path:
    """Return the folder that `archive` unpacks to."""
    # Only the archive holds the bootstrap package.
    import _bootstrap
    from _bootstrap import environment

    text = archive.read("environment.json").decode()
    metadata = environment.Environment.from_json(text)
    return _bootstrap.cache_path(archive, metadata.root, metadata.build_id)


def _fail(reason: str) -> NoReturn:
    print(f"amaranthpulley: {reason}", file=sys.stderr)
    sys.exit(_EXIT_CONFIGURATION)


def check_version(required: str) -> None:
    """Exit if the libraries are built for another Python version than this one."""
    found = "{}.{}".format(*sys.version_info)
    if required != found:
        _fail(f"the archive holds libraries for Python {required}, this is {found}")


def check_folder(root: pathlib.Path, needed_bytes: int) -> None:
    """Exit if `needed_bytes` of libraries cannot be unpacked to `root` and loaded."""
    try:
        root.mkdir(parents=True, exist_ok=True)
        with tempfile.TemporaryFile(dir=root):
            status = os.statvfs(root)
    except OSError as error:
        _fail(f"SHIV_ROOT: cannot unpack to {root}: {error.strerror}")
    if status.f_flag & os.ST_NOEXEC:
        _fail(f"SHIV_ROOT: cannot unpack to {root}: mounted without execution")
    free_bytes = status.f_bavail * status.f_frsize
    if free_bytes < needed_bytes:
        _fail(
            f"SHIV_ROOT: cannot unpack to {root}: "
            f"{needed_bytes} bytes are needed, {free_bytes} are free"
        )


def main() -> None:
    """Check the Python version and the folder, then start the program."""
    import _bootstrap

    with zipfile.ZipFile(sys.argv[0]) as archive:
        check_version(archive.read(VERSION_MEMBER).decode())
        unpacked = _unpack_folder(archive)
        if not unpacked.exists():
            needed_bytes = sum(info.file_size for info in archive.infolist())
            check_folder(unpacked.parent, needed_bytes)
    _bootstrap.bootstrap()
