"""Clients that send one request after the other."""

import asyncio
import time
from typing import Final, NamedTuple

from review.tests import http_text, site

# Longer than any deadline: a request without an answer after this time has none.
LONGEST_WAIT_S: Final = 4.0


class Outcome(NamedTuple):
    """What became of a request.

    Attributes
    ----------
    status : int
        Status of the answer; 0 when the connection ended, -1 when nothing came.
    """

    request_id: str
    sent_s: float
    ended_s: float
    status: int


def request_text(
    request_id: str, method: str = "GET", prefix: str = "/visit/", **headers: str
) -> bytes:
    """Return a request; underscores in the names of headers stand for hyphens."""
    sent = {
        "Host": site.HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "2000",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    return http_text.encode(f"{method} {prefix}{request_id} HTTP/1.1", sent)


class Client:
    """A client with a kept connection.

    Parameters
    ----------
    daemon : Daemon
        The daemon to which it connects.
    name : str
        Begin of the identifiers of its requests.
    outcomes : list of Outcome
        What became of its requests is added here.
    """

    def __init__(self, daemon: site.Daemon, name: str, outcomes: list[Outcome]) -> None:
        self._daemon, self._name, self._outcomes = daemon, name, outcomes
        self._sent = 0
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(self, extra: bytes = b"", **fields: str) -> int:
        """Send a request and return the status of its answer.

        Parameters
        ----------
        extra : bytes
            Sent right behind the request.
        """
        self._sent += 1
        request_id = f"{self._name}-{self._sent}"
        sent_s, status = time.monotonic(), 0
        try:
            if self._streams is None:
                self._streams = await self._daemon.connect()
            reader, writer = self._streams
            writer.write(request_text(request_id, **fields) + extra)
            reading = http_text.read_message(reader)
            answer = await asyncio.wait_for(reading, LONGEST_WAIT_S)
            status = 0 if answer is None else answer.status
        except TimeoutError:
            status = -1
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        if status <= 0:
            self.close()
        ended_s = time.monotonic()
        self._outcomes.append(Outcome(request_id, sent_s, ended_s, status))
        return status

    async def request_until(
        self, end_s: float, interval_s: float, delay_s: float, **fields: str
    ) -> None:
        """Send a request in each interval, the first after a delay."""
        await asyncio.sleep(delay_s)
        while time.monotonic() < end_s:
            begun_s = time.monotonic()
            await self.request(**fields)
            await asyncio.sleep(max(0.0, begun_s + interval_s - time.monotonic()))

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def count(outcomes: list[Outcome]) -> dict[int, int]:
    """Return the numbers of outcomes by status."""
    statuses = sorted({one.status for one in outcomes})
    return {s: sum(one.status == s for one in outcomes) for s in statuses}
