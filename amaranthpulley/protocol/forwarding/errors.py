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
