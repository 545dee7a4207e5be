"""The operator command that checks a configuration before it is sent."""

import pathlib
from collections.abc import Callable, Collection
from typing import Any, Final

from amaranthpulley.coordination.forwarding import (
    configuration_changes,
    configuration_findings,
)
from amaranthpulley.platform import configuration_check, configuration_fields
from amaranthpulley.protocol import errors, json_codec
from amaranthpulley.state.forwarding import routes

# Greatest value of a key in the platform's store.
MAXIMUM_BYTES: Final = 1_048_576

EXIT_OK: Final = 0
EXIT_ERRORS: Final = 1
EXIT_UNREADABLE: Final = 2

_FIELDS: Final = {
    configuration_changes.Part.VERSION: {"version": "Version"},
    configuration_changes.Part.ROUTE: configuration_fields.of_route(
        "Service/WeightedBackends"
    ),
    configuration_changes.Part.SERVICE: configuration_fields.OF_SERVICE,
    configuration_changes.Part.CLIENT_LIMITS: configuration_fields.OF_LIMITS,
    configuration_changes.Part.ACCOUNT: configuration_fields.OF_ACCOUNT,
}

Show = Callable[[str], None]


class UnreadableInputError(Exception):
    """A file cannot be read, is too large or has no JSON."""


def check(
    path: str,
    in_force_path: str | None,
    regions: Collection[str] | None,
    as_json: bool,
    show: Show,
    show_problem: Show,
) -> int:
    """Print the findings of a configuration, and return the exit code.

    Parameters
    ----------
    path : str
        The file with the configuration.
    in_force_path : str or None
        The file with the version in force; None compares with nothing.
    regions : collection of str or None
        Regions that have a failure domain; None if they are not known.
    as_json : bool
        Whether one JSON object is printed in place of lines.
    show, show_problem : callable
        Print a line of the result, and what cannot be read.
    """
    try:
        text = _read(path)
        found = _findings(path, text, regions)
        in_force = _in_force(in_force_path) if in_force_path is not None else None
    except UnreadableInputError as error:
        show_problem(str(error))
        return EXIT_UNREADABLE
    changes = _changes(text, in_force) if in_force is not None else []
    if as_json:
        show(_as_json(found, changes))
    else:
        for line in (*map(_finding_line, found), *map(_change_line, changes)):
            show(line)
    levels = {one.level for one in found}
    is_wrong = configuration_findings.Level.ERROR in levels
    return EXIT_ERRORS if is_wrong else EXIT_OK


def _read(path: str) -> bytes:
    try:
        with pathlib.Path(path).open("rb") as file:
            text = file.read(MAXIMUM_BYTES + 1)
    except OSError as error:
        raise UnreadableInputError(f"cannot read {path}: {error.strerror}") from error
    if len(text) > MAXIMUM_BYTES:
        raise UnreadableInputError(
            f"{path} has over {MAXIMUM_BYTES} bytes, which the store does not take"
        )
    return text


def _findings(
    path: str, text: bytes, regions: Collection[str] | None
) -> list[configuration_check.PlacedFinding]:
    try:
        return configuration_check.check(text, regions)
    except errors.MalformedMessageError as error:
        raise UnreadableInputError(f"{path} is not JSON: {error}") from error


def _in_force(path: str) -> routes.Configuration:
    try:
        return configuration_check.decode(_read(path))
    except errors.MalformedMessageError as error:
        raise UnreadableInputError(
            f"{path} cannot be in force, daemons refuse it: {error}"
        ) from error


def _changes(
    text: bytes, in_force: routes.Configuration
) -> list[configuration_changes.Change]:
    """Return the changes; none if daemons refuse the new version."""
    try:
        new = configuration_check.decode(text)
    except errors.MalformedMessageError:
        return []
    return configuration_changes.compare(in_force, new)


def _finding_line(one: configuration_check.PlacedFinding) -> str:
    return f"{one.level.value} {one.path}: {one.text}"


def _change_line(change: configuration_changes.Change) -> str:
    words = ["risky" if change.risky else "change", change.part.value]
    if change.name:
        words.append(change.name)
    if change.field:
        words.append(_field_name(change))
        return f"{' '.join(words)}: {change.before or '-'} -> {change.after or '-'}"
    return f"{' '.join(words)}: {'added' if change.before is None else 'removed'}"


def _field_name(change: configuration_changes.Change) -> str:
    return _FIELDS[change.part].get(change.field, change.field)


def _as_json(
    found: list[configuration_check.PlacedFinding],
    changes: list[configuration_changes.Change],
) -> str:
    fields: dict[str, Any] = {
        "findings": [{**one._asdict(), "level": one.level.value} for one in found],
        "changes": [
            {
                **change._asdict(),
                "part": change.part.value,
                "field": _field_name(change) if change.field else "",
            }
            for change in changes
        ],
    }
    return json_codec.encode(fields).decode()
