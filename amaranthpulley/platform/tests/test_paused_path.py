"""End-to-end tests of leaves that want a pause."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.platform import names  # noqa: E402
from amaranthpulley.platform.tests import platform_site  # noqa: E402

REQUESTS_PER_S = 40
PAUSE_S = 2.0
# The users' rule: from half a second after a leaf has asked for a pause until its end,
# at most two requests reach it from a machine.
ALLOWED_DELAY_S = 0.5
ALLOWED_REQUESTS = 2


class PausedLeafPathTest(unittest.TestCase):
    """Leaves that turn requests away and say when they want the next one."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.paused = [self.site.leaf(f"visits-{number}") for number in (0, 1)]
        for _ in range(5):
            self.site.request("/visit/1")

    def _pause(self, count: int, text: str = str(PAUSE_S)) -> None:
        for leaf in self.paused[:count]:
            leaf.mode = "reject"
            leaf.headers[names.HEADERS.retry_after] = text
            leaf.arrivals_s.clear()

    def _end_pauses(self) -> None:
        for leaf in self.paused:
            leaf.mode = "answer"
            leaf.headers.clear()

    def _play(self, seconds: float, deadline_ms: int = 1_000) -> list[int]:
        statuses: list[int] = []

        def ask() -> None:
            answer = self.site.request_at(
                self.site.daemon.front_address, "/visit/1", deadline_ms
            )
            statuses.append(answer.status)

        for _ in range(int(seconds * REQUESTS_PER_S)):
            eventlet.spawn_n(ask)
            eventlet.sleep(1 / REQUESTS_PER_S)
        eventlet.sleep(0.2)
        return statuses

    def _check(self) -> None:
        for leaf in self.paused:
            for asked in leaf.pauses_asked_s:
                within = [
                    at
                    for at in leaf.arrivals_s
                    if ALLOWED_DELAY_S <= at - asked < PAUSE_S
                ]
                self.assertLessEqual(len(within), ALLOWED_REQUESTS)

    def test_requests_go_elsewhere(self) -> None:
        self._pause(1)
        self.assertEqual(set(self._play(2.5)), {200})
        self._check()

    def test_a_service_whose_leaves_all_pause_gets_nothing(self) -> None:
        self._pause(2)
        self.assertEqual(set(self._play(2.5)), {503})
        self._check()

    def test_a_request_that_cannot_wait_for_the_end_is_refused_at_once(self) -> None:
        self._pause(2)
        self._play(0.2)
        began = self.site.daemon.runtime._now_ms()
        answer = self.site.request("/visit/1", deadline_ms=900)
        self.assertLess(self.site.daemon.runtime._now_ms() - began, 100)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["Retry-After"]), 0.1)

    def test_a_request_that_can_wait_for_the_end_is_served(self) -> None:
        self._pause(2, "0.6")
        self._play(0.1)
        self._end_pauses()
        self.assertEqual(self.site.request("/visit/1").status, 200)

    def test_the_end_is_no_burst(self) -> None:
        self._pause(2, "0.8")
        self._play(0.1)
        self._end_pauses()
        for leaf in self.paused:
            leaf.arrivals_s.clear()
            leaf.work_ms = 150
        self._play(0.9)
        for leaf in self.paused:
            first_s = leaf.arrivals_s[0]
            soon = [at for at in leaf.arrivals_s if at - first_s < 0.14]
            self.assertEqual(len(soon), 1)
        eventlet.sleep(1.0)
        self.assertIn(200, self._play(0.3))
