"""The daemon's settings file: JSON, checked against typed dictionaries."""

import pathlib
from typing import Annotated, NotRequired, TypedDict

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import journal

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
IpAddress = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
HostPort = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class ListenSettings(TypedDict):
    """Where a daemon listens; port 0 takes a free one."""

    ip: IpAddress
    caller_port: Port
    admin_port: Port
    peer_port: Port


class PlatformSettings(TypedDict):
    """Where the platform's services are."""

    store_address: HostPort
    vm_list_address: HostPort


class LimitSettings(TypedDict):
    """Bounds on what a daemon takes on; each has a default."""

    maximum_requests_in_progress: NotRequired[Count]
    maximum_row_count: NotRequired[Count]
    maximum_queued_searches: NotRequired[Count]
    store_timeout_ms: NotRequired[Milliseconds]
    journal_flush_ms: NotRequired[Milliseconds]
    journal_memory_bytes: NotRequired[Count]
    journal_when_full: NotRequired[journal.FullPolicy]
    journal_life_first: NotRequired[bool]


class Settings(TypedDict):
    """The whole settings file of a daemon."""

    vm_name: Name
    failure_domain: Name
    region: Name
    listen: ListenSettings
    platform: PlatformSettings
    limits: NotRequired[LimitSettings]
    log_file: NotRequired[str]


def decode(text: bytes) -> Settings:
    """Return the settings of a JSON text.

    Raises
    ------
    InvalidSettingsError
        Names the path of the first fault, for example ``$.listen.peer_port``.
    """
    try:
        raw = msgspec.json.decode(text)
        settings = msgspec.convert(raw, Settings)
    except msgspec.MsgspecError as error:
        raise errors.InvalidSettingsError(f"settings: {error}") from error
    _refuse_unknown_keys(raw, Settings, "$")
    return settings


def read(path: str) -> Settings:
    """Return the settings of a file.

    Raises
    ------
    InvalidSettingsError
        When the file cannot be read or is wrong.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.InvalidSettingsError(
            f"settings: cannot read {path}: {error.strerror}"
        ) from error
    return decode(text)


def limits_of(settings: Settings) -> daemon_state.Limits:
    """Return the limits that the settings give, with defaults for the others."""
    return daemon_state.Limits(**settings.get("limits", {}))


def _refuse_unknown_keys(raw: object, kind: type, path: str) -> None:
    fields = kind.__annotations__
    for key, value in raw.items():
        if key not in fields:
            known = ", ".join(sorted(fields))
            raise errors.InvalidSettingsError(
                f"settings: unknown key - at `{path}.{key}`; known here: {known}"
            )
        nested = _typed_dict_of(fields[key])
        if nested is not None:
            _refuse_unknown_keys(value, nested, f"{path}.{key}")


def _typed_dict_of(annotation: object) -> type | None:
    arguments = getattr(annotation, "__args__", ())
    inner = arguments[0] if arguments else annotation
    return inner if hasattr(inner, "__total__") else None
