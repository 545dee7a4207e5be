"""Tests that the log event catalogue, its page and the code agree."""

import ast
import collections
import pathlib
import unittest
from collections.abc import Iterator
from typing import Final, NamedTuple

from amaranthpulley.state import log_events

PACKAGE: Final = pathlib.Path(__file__).parents[2]
PAGE: Final = PACKAGE.parent / "docs" / "EVENTS.md"
CATALOGUE: Final = {
    constant: event
    for constant, event in vars(log_events).items()
    if isinstance(event, log_events.LogEvent)
}


class Row(NamedTuple):
    """One row of the page's tables."""

    number: int
    name: str
    level: str
    meaning: str
    fields: str
    action: str


class Emission(NamedTuple):
    """A place in the code that refers to an event."""

    constant: str
    place: str
    fields: tuple[str, ...]


def _rows() -> list[Row]:
    rows = []
    for line in PAGE.read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("|") and cells[0].isdigit():
            rows.append(Row(int(cells[0]), *cells[1:]))
    return rows


def _constant_of(node: ast.AST) -> str | None:
    if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name):
        if node.value.id == "log_events" and node.attr in CATALOGUE:
            return node.attr
    return None


def _emissions() -> Iterator[Emission]:
    for path in sorted(PACKAGE.rglob("*.py")):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            place = f"{path.name}:{getattr(node, 'lineno', 0)}"
            constant = _constant_of(node)
            if constant is not None:
                yield Emission(constant, place, ())
            if isinstance(node, ast.Call) and node.args:
                constant = _constant_of(node.args[0])
                names = tuple(word.arg for word in node.keywords if word.arg)
                if constant is not None:
                    yield Emission(constant, place, names)


class LogEventsTest(unittest.TestCase):
    """The catalogue, the page and the code agree."""

    def test_numbers_and_names_are_unique(self) -> None:
        for attribute in ("number", "name"):
            counts = collections.Counter(
                getattr(event, attribute) for event in CATALOGUE.values()
            )
            twice = [value for value, count in counts.items() if count > 1]
            self.assertEqual(twice, [], attribute)

    def test_constants_are_the_names_in_capitals(self) -> None:
        for constant, event in CATALOGUE.items():
            self.assertEqual(constant, event.name.upper())

    def test_page_lists_exactly_the_catalogue(self) -> None:
        listed = [(row.number, row.name, row.level) for row in _rows()]
        known = [
            (event.number, event.name, event.level.name.lower())
            for event in CATALOGUE.values()
        ]
        self.assertEqual(sorted(listed), sorted(known), "docs/EVENTS.md")

    def test_page_gives_meaning_and_action_of_each_event(self) -> None:
        for row in _rows():
            self.assertTrue(row.meaning and row.action, f"row {row.number}")

    def test_page_names_each_field(self) -> None:
        fields = {row.name.upper(): row.fields for row in _rows()}
        for emission in _emissions():
            for name in emission.fields:
                listed = fields.get(emission.constant, "")
                self.assertIn(
                    f"`{name}`", listed, f"{emission.constant} at {emission.place}"
                )

    def test_every_event_is_emitted(self) -> None:
        emitted = {emission.constant for emission in _emissions()}
        self.assertEqual(set(CATALOGUE) - emitted, set())
