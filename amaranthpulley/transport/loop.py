"""Set-up of the event loop that the process runs on."""

import http.client
import logging
import os
import warnings
from typing import Final

from amaranthpulley.transport import http_headers

HUB: Final = "epolls"


def prepare_loop() -> None:
    """Select eventlet's hub and make blocking calls cooperative.

    This must run before any other module imports sockets. The hub is set explicitly,
    so that environment variables cannot change it.
    """
    warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
    # All addresses are numeric, and importing eventlet's resolver would take a quarter
    # of the start-up time.
    os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
    import eventlet
    import eventlet.hubs

    eventlet.hubs.use_hub(HUB)
    http.client.parse_headers = http_headers.parse_headers
    # The archive's launcher creates locks before this. They are never held across a
    # switch of green threads, so eventlet's warning about them is suppressed.
    handler = logging.lastResort
    level = handler.level
    handler.setLevel(logging.CRITICAL)
    try:
        eventlet.monkey_patch()
    finally:
        handler.setLevel(level)
    # urllib3 logs a warning for each connection that it opens beyond a full pool.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
