"""The one loop that the process runs on."""

import warnings


def prepare_loop() -> None:
    """Select eventlet's hub and make blocking calls cooperative.

    Called first thing at the start of the process, before sockets are imported
    elsewhere.
    """
    with warnings.catch_warnings():
        warnings.simplefilter("ignore", DeprecationWarning)
        import eventlet
    eventlet.monkey_patch()
