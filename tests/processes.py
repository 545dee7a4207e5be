"""Observation of a running program through the ``/proc`` file system."""

import os
import pathlib
import re
import subprocess
import tempfile
import time
from collections.abc import Mapping, Sequence
from typing import IO, Final, NamedTuple

_SAMPLE_INTERVAL_S: Final = 0.01
_WRITABLE_SHARED_MAPPING: Final = re.compile(r"^\S+ .w.s ")
# Index of the page faults of waited-for children in ``/proc/PID/stat``, counted from
# the state, which is the first field after the program's name.
_CHILD_FAULTS_FIELD: Final = 8


class Observation(NamedTuple):
    """Output, exit code and resources of a program that has ended.

    Attributes
    ----------
    exit_code : int
        The exit code, or the negative number of the signal.
    output, errors : str
        What the program wrote to standard output and standard error.
    children : frozenset of int
        Process ids of the children seen while it ran.
    child_faults : int
        Page faults of ended children. Every process causes some, so zero also
        rules out children that were too short-lived to be sampled.
    shared_mappings : frozenset of str
        Writable shared mappings, as lines of ``/proc/PID/maps``.
    io_uring : bool
        Whether it had an io_uring open.
    """

    exit_code: int
    output: str
    errors: str
    children: frozenset[int]
    child_faults: int
    shared_mappings: frozenset[str]
    io_uring: bool


def _read(path: pathlib.Path) -> str:
    """Return the text of a file, empty once the process or thread is gone."""
    try:
        return path.read_text()
    except OSError:
        return ""


def _children(process: pathlib.Path) -> set[int]:
    lists = [_read(path) for path in process.glob("task/*/children")]
    return {int(pid) for pids in lists for pid in pids.split()}


def _shared_mappings(process: pathlib.Path) -> set[str]:
    lines = _read(process / "maps").splitlines()
    return {line for line in lines if _WRITABLE_SHARED_MAPPING.match(line)}


def _has_io_uring(process: pathlib.Path) -> bool:
    for descriptor in process.glob("fd/*"):
        try:
            if "io_uring" in os.readlink(descriptor):
                return True
        except OSError:
            continue
    return False


def _has_ended(pid: int) -> bool:
    """Return whether the process has ended, without reaping it."""
    options = os.WEXITED | os.WNOHANG | os.WNOWAIT
    return os.waitid(os.P_PID, pid, options) is not None


def _child_faults(process: pathlib.Path) -> int:
    fields = _read(process / "stat").rpartition(")")[2].split()
    return int(fields[_CHILD_FAULTS_FIELD])


class _Sample(NamedTuple):
    """Resources seen in any sample of a process."""

    children: frozenset[int]
    shared_mappings: frozenset[str]
    io_uring: bool


def _sample_until_end(pid: int, timeout_s: float) -> _Sample:
    process = pathlib.Path("/proc", str(pid))
    children: set[int] = set()
    mappings: set[str] = set()
    io_uring = False
    deadline_s = time.monotonic() + timeout_s
    while not _has_ended(pid):
        if time.monotonic() > deadline_s:
            raise TimeoutError(f"still running after {timeout_s} s")
        children |= _children(process)
        mappings |= _shared_mappings(process)
        io_uring = io_uring or _has_io_uring(process)
        time.sleep(_SAMPLE_INTERVAL_S)
    return _Sample(frozenset(children), frozenset(mappings), io_uring)


def _text(file: IO[str]) -> str:
    file.seek(0)
    return file.read()


def observe(
    command: Sequence[str], environment: Mapping[str, str], timeout_s: float
) -> Observation:
    """Run `command` until it ends and observe it.

    Raises
    ------
    TimeoutError
        If the program does not end within `timeout_s`; it is killed.
    """
    with (
        tempfile.TemporaryFile("w+") as output,
        tempfile.TemporaryFile("w+") as errors,
        subprocess.Popen(
            command, env=environment, stdout=output, stderr=errors
        ) as running,
    ):
        try:
            sample = _sample_until_end(running.pid, timeout_s)
        except TimeoutError:
            running.kill()
            raise
        faults = _child_faults(pathlib.Path("/proc", str(running.pid)))
        return Observation(
            exit_code=running.wait(),
            output=_text(output),
            errors=_text(errors),
            child_faults=faults,
            **sample._asdict(),
        )
