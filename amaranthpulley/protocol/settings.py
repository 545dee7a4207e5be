"""The daemon's settings file: JSON that is validated against typed dictionaries."""

import pathlib
from typing import Annotated, Final, Literal, NotRequired, TypedDict

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events
from amaranthpulley.state.accounts import journal

LOOPBACK_IP: Final = "127.0.0.1"

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
IpAddress = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
HostPort = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
RecordRetentionMilliseconds = Annotated[int, msgspec.Meta(ge=600_000)]
RetentionMilliseconds = Annotated[int, msgspec.Meta(ge=600_000, le=604_800_000)]
Count = Annotated[int, msgspec.Meta(ge=1)]


LogLevel = Literal["debug", "info", "warning", "error"]


class ListenSettings(TypedDict):
    """Addresses on which a daemon listens; port 0 selects a free port."""

    ip: IpAddress
    caller_port: Port
    admin_port: Port
    peer_port: Port


class PlatformSettings(TypedDict):
    """Addresses of the platform's services."""

    store_address: HostPort
    vm_list_address: HostPort


class LimitSettings(TypedDict):
    """Limits of a daemon; each has a default."""

    maximum_requests_in_progress: NotRequired[Count]
    maximum_lateness_ms: NotRequired[Milliseconds]
    maximum_row_count: NotRequired[Count]
    maximum_queued_searches: NotRequired[Count]
    store_timeout_ms: NotRequired[Milliseconds]
    drain_grace_ms: NotRequired[Milliseconds]
    drain_limit_ms: NotRequired[Milliseconds]
    journal_flush_ms: NotRequired[Milliseconds]
    journal_memory_bytes: NotRequired[Count]
    journal_when_full: NotRequired[journal.OverflowPolicy]
    journal_life_first: NotRequired[bool]
    order_retention_ms: NotRequired[RetentionMilliseconds]
    order_record_retention_ms: NotRequired[RecordRetentionMilliseconds]


class Settings(TypedDict):
    """The whole settings file of a daemon."""

    vm_name: Name
    failure_domain: Name
    region: Name
    listen: ListenSettings
    platform: PlatformSettings
    limits: NotRequired[LimitSettings]
    log_file: NotRequired[str]
    log_level: NotRequired[LogLevel]
    admin_clients: NotRequired[list[IpAddress]]


def decode(text: bytes) -> Settings:
    """Return the settings decoded from a JSON text.

    Raises
    ------
    InvalidSettingsError
        Names the path of the first fault, for example ``$.listen.peer_port``.
    """
    try:
        raw = msgspec.json.decode(text)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise errors.InvalidSettingsError(f"settings: not JSON: {error}") from error
    try:
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
        When the file cannot be read or is invalid.
    """
    try:
        text = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise errors.InvalidSettingsError(
            f"settings: cannot read {path}: {error.strerror}"
        ) from error
    return decode(text)


def log_level_of(settings: Settings) -> log_events.Level:
    """Return the minimum level of log events that are written."""
    return log_events.Level[settings.get("log_level", "info").upper()]


def admin_clients_of(settings: Settings) -> frozenset[str]:
    """Return the IP addresses that may use the admin port.

    The default is the daemon's own address and the loopback address.
    """
    own = (LOOPBACK_IP, settings["listen"]["ip"])
    return frozenset(settings.get("admin_clients", own))


def limits_of(settings: Settings) -> daemon_state.Limits:
    """Return the limits of the settings, with defaults for missing ones."""
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
