"""The one loop that the process runs on."""

import warnings


def prepare_loop() -> None:
    """Select eventlet's hub and make blocking calls cooperative.

    Called first thing at the start of the process, before sockets are imported
    elsewhere.
    """
    warnings.filterwarnings("ignore", message="\\s*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch()
