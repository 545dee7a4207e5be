"""A daemon with a stand-in store and leaves in one process, for tests."""

from typing import Any, Final

import eventlet
import urllib3

from amaranthpulley.platform import entries, names, settings, store_client
from amaranthpulley.platform.tests import standin_leaf, standin_store, wire_samples
from amaranthpulley.transport import http_connections, system_clock
from amaranthpulley.transport.forwarding import process

WAIT_S: Final = 10.0


class PlatformSite:
    """A daemon, a store, and two leaves each for every shard and for one service.

    Parameters
    ----------
    routes : dict
        Routes of the first configuration; by default one merged and one single route.
    """

    def __init__(self, *routes: dict[str, Any]) -> None:
        clock = system_clock.system_clock()
        self.store = standin_store.StandInStore(clock)
        self.leaves = [
            standin_leaf.StandInLeaf(clock, f"{service}-{number}", service, zone)
            for service in (*wire_samples.SHARDS, "visits")
            for number, zone in enumerate(("a1", "b1"))
        ]
        for leaf in self.leaves:
            self.store.put(names.LEAF_PREFIX + leaf.leaf_id, leaf.entry())
        first = wire_samples.configuration(
            1, *(routes or (wire_samples.route(), wire_samples.visit_route()))
        )
        self.store.put(names.CONFIGURATION_KEY, first)
        self._clock = clock
        self.daemon = self.start_daemon("vm-1")
        self.pool = http_connections.connection_pool(self.daemon.front_address, 4)
        self._requests = 0
        self.wait_for(lambda: self.daemon.ready, "the daemon is ready")

    def start_daemon(self, name: str) -> process.GatewayProcess:
        """Start a daemon and return it."""
        text = wire_samples.settings_text(name, self.store.address)
        setup, address = settings.decode(text)
        setup = setup._replace(metrics_address="127.0.0.1:0")
        registration = entries.encode_daemon(process.member_of(setup))
        calls = store_client.StoreClient(
            address, names.DAEMON_PREFIX + name, registration
        )
        daemon = process.GatewayProcess(
            setup, self._clock, calls.as_store_calls(), lambda: "checked"
        )
        daemon.start()
        return daemon

    def leaf(self, leaf_id: str) -> standin_leaf.StandInLeaf:
        """Return a leaf by its identity."""
        return next(leaf for leaf in self.leaves if leaf.leaf_id == leaf_id)

    def request(
        self,
        path: str = "/wide/1",
        method: str = "GET",
        body: bytes | None = None,
        deadline_ms: int = 1_000,
        headers: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request as a client and return its answer."""
        return self._request(self.pool, path, method, body, deadline_ms, headers)

    def request_at(
        self, address: str, path: str, deadline_ms: int = 1_000
    ) -> urllib3.BaseHTTPResponse:
        """Send a request to the daemon at an address on a connection of its own."""
        pool = http_connections.connection_pool(address, 1)
        try:
            return self._request(pool, path, "GET", None, deadline_ms)
        finally:
            pool.close()

    def _request(
        self,
        pool: urllib3.HTTPConnectionPool,
        path: str,
        method: str,
        body: bytes | None,
        deadline_ms: int,
        added: dict[str, str] | None = None,
    ) -> urllib3.BaseHTTPResponse:
        self._requests += 1
        headers = {
            **(added or {}),
            "Host": wire_samples.HOST,
            "X-Request-Id": f"r{self._requests}",
            "X-Deadline-Ms": str(deadline_ms),
        }
        return pool.urlopen(
            method, path, body=body, headers=headers, retries=False, timeout=5
        )

    def wait_for(self, condition: Any, what: str) -> None:
        """Run the event loop until a condition holds."""
        with eventlet.Timeout(WAIT_S, AssertionError(f"not in time: {what}")):
            while not condition():
                eventlet.sleep(0.02)
