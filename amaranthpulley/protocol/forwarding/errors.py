"""Errors of forwarded messages."""

import http

from amaranthpulley.protocol import errors


class BadRequestError(errors.ProtocolError):
    """A client's bytes are no request that can be forwarded.

    Parameters
    ----------
    status : http.HTTPStatus
        The status to answer with before the connection is closed.
    """

    code = "bad_request"

    def __init__(self, status: http.HTTPStatus) -> None:
        super().__init__(status.phrase)
        self.status = status
