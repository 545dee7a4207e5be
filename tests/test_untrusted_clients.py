"""A daemon's process under clients that keep to no rule.

Checked is only what does not depend on the machine's speed.
"""

import unittest
from typing import Final, NamedTuple

from tests.untrusted import crowd, kinds, site


class _Row(NamedTuple):
    """Clients, and the server of the daemon that they connect to."""

    name: str
    clients: tuple[crowd.Kind, ...]
    role: str = "front"
    # Path of a request that this server must answer afterwards.
    path: str | None = None


def _row(name: str, *clients: crowd.Kind) -> _Row:
    return _Row(name, clients)


_ROWS: Final = (
    _row("heads over the limit", crowd.Kind(300, kinds.OVER_LIMIT)),
    _row("heads without end", crowd.Kind(12, kinds.ENDLESS_HEAD)),
    _row("trailers without end", crowd.Kind(12, kinds.ENDLESS_TRAILER)),
    _row("heads of many headers", crowd.Kind(300, kinds.many_headers(kinds.HEAD))),
    _row("empty lines without end", crowd.Kind(40, kinds.EMPTY_LINES)),
    _row("bodies in large chunks", crowd.Kind(400, kinds.LARGE_CHUNKS)),
    _row("bodies in chunks of one byte", crowd.Kind(200, kinds.TINY_CHUNKS)),
    _row("whole bodies", crowd.Kind(400, kinds.WHOLE)),
    _row("bodies piece by piece", crowd.Kind(400, kinds.PIECES)),
    _row("pipelined bodies", crowd.Kind(60, kinds.pipelined(kinds.HEAD, 12))),
    _row(
        "answers that are not read",
        crowd.Kind(300, kinds.pipelined(kinds.HEAD, 1), reads=False),
    ),
    _row("idle connections", crowd.Kind(1_500, kinds.once())),
    _row("100-continue that is not followed", crowd.Kind(400, kinds.EXPECTING)),
    _row("a byte at a time", crowd.Kind(200, kinds.byte_by_byte(kinds.HEAD, 200))),
    _Row("readiness port", kinds.READINESS, "readiness", "/api/ready"),
    _Row("metrics port", kinds.METRICS, "metrics", "/metrics"),
    _Row("relay port", kinds.RELAY, "relay"),
    _Row("delegated requests", kinds.DELEGATED, "delegated"),
)


class UntrustedClientsTest(unittest.TestCase):
    """The process stays within its VM and serves others, whatever its clients send."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.site = site.Site()
        cls.addClassCleanup(cls.site.close)

    def test_the_process_stays_within_its_limits(self) -> None:
        # Guards against a process that is ended for its memory, or that has no
        # descriptor left, because of its clients.
        for row in _ROWS:
            with self.subTest(row.name):
                self._check(row)

    def _check(self, row: _Row) -> None:
        self.site.start_daemon()
        self.addCleanup(self.site.stop_daemon)
        most_descriptors = 0

        def observe() -> None:
            nonlocal most_descriptors
            if self.site.is_alive():
                count = self.site.open_descriptors()
                most_descriptors = max(most_descriptors, count)

        clients = crowd.Crowd(self.site.address(row.role), *row.clients)
        try:
            clients.drive(observe)
            served = self.site.is_served()
            if row.path is not None:
                served = served and self.site.is_served(row.role, row.path)
            self.assertTrue(self.site.is_alive(), self.site.read_log())
            observe()
            peak_bytes = self.site.peak_memory_bytes()
        finally:
            clients.close()
            self.site.stop_daemon()
        bounds = site.BOUNDS
        memory = f"{peak_bytes / 1e6:.0f} of {bounds.memory_bytes / 1e6:.0f} MB"
        descriptors = f"{most_descriptors} of {bounds.descriptors} descriptors"
        print(f"{row.name}: {memory}, {descriptors}, served: {served}", flush=True)
        self.assertLessEqual(peak_bytes, bounds.memory_bytes)
        self.assertLessEqual(most_descriptors, bounds.descriptors)
        self.assertTrue(served, "an ordinary request was not answered")
