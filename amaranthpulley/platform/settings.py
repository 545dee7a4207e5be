"""Decoding of the platform's settings file."""

import os
from typing import Any, Final, NotRequired, TypedDict

import msgspec

from amaranthpulley.platform import names
from amaranthpulley.protocol import errors, json_codec
from amaranthpulley.state.forwarding import client_budget, gateway
from amaranthpulley.transport.forwarding import process

# Port of the metrics; must be the same as in deploy/system.toml.
METRICS_PORT: Final = 9_464


class _Addresses(TypedDict):
    """Addresses on which the process listens."""

    FrontAddr: str
    ReadyAddr: str


class _Store(TypedDict):
    """Address of the store."""

    Address: str


class _Machine(TypedDict, total=False):
    """Resources of the VM."""

    # Share of a core, and how many times faster that core is than the usual one.
    CpuQuota: float
    Cores: float
    # Memory in millions of bytes, and open descriptors of the process.
    MemoryMb: float
    MaxFds: int


class _Settings(TypedDict):
    """The fields of the settings file that the daemon reads."""

    NodeName: str
    Ip: str
    Zone: str
    Region: str
    Zones: dict[str, str]
    BindAddrs: _Addresses
    # First and last port of a range.
    InternalPorts: list[int]
    platform: _Store
    Bounds: dict[str, Any]
    Limits: NotRequired[_Machine]


def read() -> tuple[process.ProcessSettings, str]:
    """Return the settings of the process and the store's ``IP:port``.

    Raises
    ------
    InvalidSettingsError
        When the file is missing or invalid; names the path of the fault.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE)
    if not path:
        raise errors.InvalidSettingsError(f"{names.SETTINGS_VARIABLE} is not set")
    try:
        with open(path, "rb") as file:
            return decode(file.read())
    except OSError as error:
        raise errors.InvalidSettingsError(f"{path}: {error.strerror}") from error


def decode(text: bytes) -> tuple[process.ProcessSettings, str]:
    """Return the settings of a settings file's text; see `read`."""
    try:
        settings = json_codec.decode(text, _Settings)
        limits = _limits(settings["Bounds"])
    except errors.MalformedMessageError as error:
        raise errors.InvalidSettingsError(str(error)) from error
    listen = settings["BindAddrs"]
    ports = settings["InternalPorts"]
    machine = settings.get("Limits", {})
    setup = process.ProcessSettings(
        gateway.Place(
            settings["NodeName"],
            settings["Zone"],
            settings["Region"],
            settings["Zones"],
        ),
        limits,
        listen["FrontAddr"],
        listen["ReadyAddr"],
        names.READY_PATH,
        f"{settings['Ip']}:{METRICS_PORT}",
        f"{settings['Ip']}:{ports[0]}",
        f"{settings['Ip']}:{ports[1]}",
        machine.get("CpuQuota", 1.0) * machine.get("Cores", 1.0),
        names.HEADERS,
        client_budget.budget_of(
            machine.get("MemoryMb", client_budget.DEFAULT_MEMORY_MB),
            machine.get("MaxFds", client_budget.DEFAULT_DESCRIPTORS),
        ),
    )
    return setup, settings["platform"]["Address"]


def _limits(bounds: dict[str, Any]) -> gateway.Limits:
    defaults = gateway.Limits()

    def number(name: str, default: float) -> float:
        try:
            return msgspec.convert(bounds.get(name, default), float)
        except msgspec.ValidationError as error:
            raise errors.InvalidSettingsError(f"Bounds.{name}: {error}") from error

    return gateway.Limits(
        retry_ratio=number("RetryBudgetRatio", defaults.retry_ratio),
        retry_slack=int(number("RetrySlack", defaults.retry_slack)),
        retry_window_ms=int(1000 * number("RetryWindowS", 10)),
        drain_ms=int(number("DrainMs", defaults.drain_ms)),
        grace_ms=int(1000 * number("GraceS", 6)),
        cold_slack=number("WarmupSlack", defaults.cold_slack),
        contact_ms=int(number("ContactMs", defaults.contact_ms)),
        configuration_ms=int(number("ConfigApplyMs", defaults.configuration_ms)),
        exposure_share=number("ExposureShare", defaults.exposure_share),
        exposure_slack=int(number("ExposureSlack", defaults.exposure_slack)),
        rollback_ms=int(number("RollbackMs", defaults.rollback_ms)),
        pace=number("LeafPace", float(defaults.pace)) > 0,
        quota_window_ms=int(1000 * number("QuotaWindowS", 5)),
        quota_overage=number("QuotaOverage", defaults.quota_overage),
        quota_slack=number("QuotaSlack", defaults.quota_slack),
    )
