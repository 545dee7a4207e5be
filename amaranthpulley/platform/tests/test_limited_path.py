"""End-to-end tests of leaves that name a limit."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import itertools  # noqa: E402
import unittest  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.platform import names  # noqa: E402
from amaranthpulley.platform.tests import platform_site, wire_samples  # noqa: E402

# The users' rule: from the contact time after it first named its limit, a leaf gets in
# no 4 s more than 1.5 times what that allows and 5 requests.
CONTACT_S = 5.0
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5
LIMIT_PER_S = 10.0
REQUESTS_PER_S = 50


class LimitedLeafPathTest(unittest.TestCase):
    """One of two leaves of a service names a limit."""

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite(wire_samples.visit_route())
        self.daemons = [self.site.daemon, self.site.start_daemon("vm-2")]
        self.site.wait_for(lambda: self.daemons[1].ready, "the second daemon is ready")
        self.limited = self.site.leaf("visits-0")
        self.limited.headers[names.HEADERS.limit] = f"{LIMIT_PER_S}"

    def _play(self, seconds: float) -> list[int]:
        """Send requests through all daemons; return their statuses."""
        statuses: list[int] = []

        def ask(address: str) -> None:
            statuses.append(self.site.request_at(address, "/visit/1").status)

        addresses = itertools.cycle([daemon.front_address for daemon in self.daemons])
        for _ in range(int(seconds * REQUESTS_PER_S)):
            eventlet.spawn_n(ask, next(addresses))
            eventlet.sleep(1 / REQUESTS_PER_S)
        eventlet.sleep(0.5)
        return statuses

    def _most_in_a_window(self) -> int:
        first_s = self.limited.arrivals_s[0]
        counted = [at for at in self.limited.arrivals_s if at >= first_s + CONTACT_S]
        return max(
            (
                sum(begin <= at < begin + WINDOW_S for at in counted)
                for begin in counted
            ),
            default=0,
        )

    def test_a_limited_leaf_gets_no_more_than_it_asked_for(self) -> None:
        statuses = self._play(CONTACT_S + WINDOW_S + 0.5)
        self.assertEqual(set(statuses), {200})
        allowed = OVERAGE * WINDOW_S * LIMIT_PER_S + SLACK
        self.assertLessEqual(self._most_in_a_window(), allowed)
