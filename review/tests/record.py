"""The record of a case: what was sent, answered and run."""

import asyncio
import os
import pathlib
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Final

HELD: Final = 0
BROKEN: Final = 1
COULD_NOT_RUN: Final = 2
LONGEST_S: Final = 110


class Record:
    """Lines with the time since the start; written to ``record.txt`` at the end.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "record.txt"
        self._began_s = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at_s: float | None = None) -> None:
        """Add a line."""
        now_s = time.monotonic() if at_s is None else at_s
        self._lines.append((now_s - self._began_s, text))

    def write(self) -> None:
        """Write all lines in the order of their times."""
        lines = [f"{at_s:8.3f} {text}\n" for at_s, text in sorted(self._lines)]
        self._path.write_text("".join(lines))


def run_case(case: Callable[[Record, bool], Awaitable[int]]) -> None:
    """Run a case and end this process with its result.

    The case gets the record, and whether to cause the disruption.
    """
    record = Record(pathlib.Path(sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {trouble}")

    async def bounded() -> int:
        return await asyncio.wait_for(case(record, trouble), LONGEST_S)

    try:
        result = asyncio.run(bounded())
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        result = COULD_NOT_RUN
    record.add(f"exit {result}")
    record.write()
    sys.exit(result)
