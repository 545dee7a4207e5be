"""Receives the store's changes from other daemons by long polling."""

from collections.abc import Callable
from typing import Final

import eventlet
import urllib3

from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol.forwarding import relay_codec
from amaranthpulley.state import clock as clock_state
from amaranthpulley.transport import errors, http_connections
from amaranthpulley.transport.forwarding import store_view

# Time that a poll has beyond its wait, for the network.
NETWORK_MARGIN_MS: Final = 700
RETRY_INTERVAL_MS: Final = 500
# A compressed page; the whole store takes some megabytes at the intended fleet size.
MAXIMUM_PAGE_BYTES: Final = 16_777_216
# How often the set of followed daemons is updated.
CHECK_INTERVAL_MS: Final = 500


class PeerFeed:
    """Keeps the daemon's view of the store up to date from several peers at once.

    Parameters
    ----------
    view : StoreView
        The copy of the store that is kept up to date.
    clock : Clock
        Source of time.
    followed : callable
        Returns the addresses of the daemons to follow.
    maximum_age_ms : int
        Age of the store's last confirmation at which a peer's view is out of date.
    """

    def __init__(
        self,
        view: store_view.StoreView,
        clock: clock_state.Clock,
        followed: Callable[[], tuple[str, ...]],
        maximum_age_ms: int,
    ) -> None:
        self._view = view
        self._maximum_age_ms = maximum_age_ms
        self._now_ms = clock.monotonic_ms
        self._followed = followed
        self._tasks: dict[str, object] = {}
        # When the store last confirmed the view of each followed daemon.
        self._confirmed_ms: dict[str, int] = {}

    def start(self) -> None:
        """Start following the daemons that `followed` returns."""
        eventlet.spawn_n(self._update_tasks)

    def is_fresh(self) -> bool:
        """Return whether the store recently confirmed a followed daemon's view."""
        now_ms = self._now_ms()
        return any(
            now_ms - confirmed_ms <= self._maximum_age_ms
            for confirmed_ms in self._confirmed_ms.values()
        )

    def _update_tasks(self) -> None:
        while True:
            addresses = set(self._followed()) if self._view.listed else set()
            for address in set(self._tasks) - addresses:
                del self._tasks[address]
                self._confirmed_ms.pop(address, None)
            for address in addresses - set(self._tasks):
                self._tasks[address] = token = object()
                eventlet.spawn_n(self._follow_peer, address, token)
            eventlet.sleep(CHECK_INTERVAL_MS / 1000)

    def _follow_peer(self, address: str, token: object) -> None:
        pool = http_connections.connection_pool(address, 1)
        while self._tasks.get(address) is token:
            try:
                page = _request_page(pool, self._view.revision, self._maximum_age_ms)
            except errors.PeerUnreachableError:
                # Until the next answer the peer does not count as fresh.
                self._confirmed_ms.pop(address, None)
                eventlet.sleep(RETRY_INTERVAL_MS / 1000)
                continue
            if self._tasks.get(address) is token:
                self._apply_page(address, page)
        pool.close()

    def _apply_page(self, address: str, page: relay_codec.Page) -> None:
        if page.age_ms is None:
            self._confirmed_ms.pop(address, None)
        else:
            self._confirmed_ms[address] = self._now_ms() - page.age_ms
        changes = tuple(page.changes)
        if page.complete:
            self._view.apply_listing(store_view.Listing(changes, page.revision))
        else:
            self._view.apply(changes, page.revision)


def _request_page(
    pool: urllib3.HTTPConnectionPool, revision: int, wait_ms: int
) -> relay_codec.Page:
    try:
        answer = http_connections.call(
            pool,
            "GET",
            relay_codec.encode_target(revision, wait_ms),
            wait_ms + NETWORK_MARGIN_MS,
            MAXIMUM_PAGE_BYTES,
        )
        if answer.status != 200:
            raise errors.PeerUnreachableError(f"status {answer.status}")
        return relay_codec.decode(answer.body)
    except (
        urllib3.exceptions.HTTPError,
        OSError,
        protocol_errors.MalformedMessageError,
    ) as error:
        raise errors.PeerUnreachableError(type(error).__name__) from error
