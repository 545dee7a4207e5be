"""The command that runs a gateway daemon on the platform."""

from amaranthpulley.platform import entries, names, settings, store_client
from amaranthpulley.protocol import errors
from amaranthpulley.transport import system_clock
from amaranthpulley.transport.forwarding import process


def run() -> int:
    """Run the daemon until it is asked to stop; return the exit code.

    Raises
    ------
    InvalidSettingsError
        When the settings are invalid; nothing has been started.
    """
    setup, store_address = settings.read()
    place = setup.place
    client = store_client.StoreClient(
        store_address,
        names.DAEMON_PREFIX + place.name,
        entries.encode_daemon(process.member_of(setup)),
    )
    gateway_process = process.GatewayProcess(
        setup, system_clock.system_clock(), client.as_store_calls(), _check_settings
    )
    gateway_process.start()
    return gateway_process.wait()


def _check_settings() -> str:
    try:
        settings.read()
    except errors.InvalidSettingsError as error:
        return f"kept the previous settings: {error}"
    return "checked"
