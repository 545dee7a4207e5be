"""Errors of the protocol of forwarded requests."""

import http

from amaranthpulley.protocol import errors


class BadRequestError(errors.ProtocolError):
    """A client sent bytes that are not a valid request, or one that is too large.

    Parameters
    ----------
    status : http.HTTPStatus
        Status of the answer that is sent before the connection is closed.
    """

    code = "bad_request"

    def __init__(self, status: http.HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status


class MemorySpentError(BadRequestError):
    """A request is refused as not run: too much is held for clients already."""

    code = "overloaded"

    def __init__(self) -> None:
        super().__init__(http.HTTPStatus.SERVICE_UNAVAILABLE)
