"""Output of result rows as a table for people and as JSON lines for programs."""

import pathlib
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import msgspec

Row = tuple
Show = Callable[[str], None]


class Origin(NamedTuple):
    """How rows were produced; part of each JSON line.

    Attributes
    ----------
    experiment : str
        Name of the experiment.
    command : str
        Command line that reproduces the rows.
    seed : int
        Seeds all random choices.
    revision : str
        Revision of the source; empty if unknown.
    """

    experiment: str
    command: str
    seed: int
    revision: str


def show_table(rows: Sequence[Row], show: Show) -> None:
    """Show rows as tables, one for each row type."""
    for kind in dict.fromkeys(type(row) for row in rows):
        rows_of_kind = [row for row in rows if type(row) is kind]
        lines = [kind._fields, *(tuple(map(_text, row)) for row in rows_of_kind)]
        widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
        for line in lines:
            cells = zip(line, widths, strict=True)
            show("  ".join(cell.ljust(width) for cell, width in cells).rstrip())
        show("")


def write_lines(rows: Sequence[Row], origin: Origin, folder: pathlib.Path) -> None:
    """Write rows as JSON lines into ``<folder>/<experiment>.jsonl``."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = [
        msgspec.json.encode(
            {**origin._asdict(), "row": type(row).__name__, **row._asdict()}
        )
        for row in rows
    ]
    path = folder / f"{origin.experiment}.jsonl"
    path.write_bytes(b"".join(line + b"\n" for line in lines))


def _text(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)
