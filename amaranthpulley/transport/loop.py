"""The one loop that the process runs on."""

import http.client
import logging
import os
import warnings
from typing import Final

from amaranthpulley.transport import http_headers

HUB: Final = "epolls"


def prepare_loop() -> None:
    """Select eventlet's hub and make blocking calls cooperative.

    Called first thing at the start of the process, before sockets are imported
    elsewhere. The hub is fixed here so that the environment cannot change it.
    """
    warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
    # Addresses are numbers: eventlet's own resolver would be a quarter of the start.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    import eventlet
    import eventlet.hubs

    eventlet.hubs.use_hub(HUB)
    http.client.parse_headers = http_headers.parse_headers
    # The archive's start-up makes locks before this; they are never held across a
    # switch of green threads, so that eventlet's message about them is of no use.
    handler = logging.lastResort
    level = handler.level
    handler.setLevel(logging.CRITICAL)
    try:
        eventlet.monkey_patch()
    finally:
        handler.setLevel(level)
    # A pool that is full opens one more connection and says so for each.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
