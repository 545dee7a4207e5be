"""HTTP servers for the stand-in targets and the stand-in platform."""

import http
from typing import Final

import eventlet
import eventlet.event

from amaranthpulley.coordination import events
from amaranthpulley.protocol import json_codec, leaf_api, store_api, vm_list_api
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import standin_leaf, standin_store, store, targets
from amaranthpulley.state.control import members
from amaranthpulley.transport import web

MAXIMUM_STORE_BODY_BYTES: Final = 2 * 1024 * 1024
MAXIMUM_LEAF_BODY_BYTES: Final = 1024 * 1024


class LeafServer:
    """Serves one stand-in target on its own port."""

    def __init__(self, address: str, leaf: standin_leaf.StandInLeaf) -> None:
        self.leaf = leaf
        self._server = web.WebServer(
            web.listen(address),
            web.application(
                {
                    ("POST", "/search"): self._search,
                    ("POST", "/order"): self._order,
                    ("POST", "/cancel"): self._cancel,
                    ("GET", "/load"): lambda environ: self._load(),
                    ("GET", "/runs"): lambda environ: self._runs(),
                }
            ),
        )

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        return self._server.address

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _search(self, environ: web.Environ) -> web.Reply:
        body = web.read_body(environ, MAXIMUM_LEAF_BODY_BYTES)
        message = json_codec.decode(body, leaf_api.SearchBody)
        attempt_id = message["attempt_id"]
        if self.leaf.busy_slots >= self.leaf.slots:
            return self._refuse(attempt_id, "shed")
        self._occupy_slot()
        part = self.leaf.search(
            message["query"], message.get("key"), message.get("version")
        )
        if part is None:
            return self._refuse(attempt_id, events.Failure.VERSION_GONE.value)
        answer = leaf_api.SearchAnswerBody(
            attempt_id=attempt_id,
            version=part.version,
            ranges=[tuple(key_range) for key_range in part.ranges],
            rows=[tuple(row) for row in part.rows],
            load=_load_body(self.leaf.load),
        )
        return web.Reply(http.HTTPStatus.OK, json_codec.encode(answer))

    def _order(self, environ: web.Environ) -> web.Reply:
        body = web.read_body(environ, MAXIMUM_LEAF_BODY_BYTES)
        message = json_codec.decode(body, leaf_api.OrderBody)
        if self.leaf.busy_slots >= self.leaf.slots:
            return self._refuse(message["attempt_id"], "shed")
        self._occupy_slot()
        answer = leaf_api.OrderAnswerBody(
            attempt_id=message["attempt_id"],
            result=self.leaf.order(message["idempotency_key"], message["payload"]),
            load=_load_body(self.leaf.load),
        )
        return web.Reply(http.HTTPStatus.OK, json_codec.encode(answer))

    def _occupy_slot(self) -> None:
        if self.leaf.faults.lost:
            eventlet.event.Event().wait()
        self.leaf.busy_slots += 1
        try:
            eventlet.sleep(self.leaf.faults.delay_ms / 1000)
        finally:
            self.leaf.busy_slots -= 1

    def _cancel(self, environ: web.Environ) -> web.Reply:
        web.read_body(environ, MAXIMUM_LEAF_BODY_BYTES)
        return web.Reply(http.HTTPStatus.OK, b"{}")

    def _load(self) -> web.Reply:
        body = json_codec.encode(_load_body(self.leaf.load))
        return web.Reply(http.HTTPStatus.OK, body)

    def _runs(self) -> web.Reply:
        return web.Reply(http.HTTPStatus.OK, json_codec.encode(self.leaf.runs))

    def _refuse(self, attempt_id: str, code: str) -> web.Reply:
        body = leaf_api.RefusalBody(
            attempt_id=attempt_id, code=code, load=_load_body(self.leaf.load)
        )
        return web.Reply(http.HTTPStatus.SERVICE_UNAVAILABLE, json_codec.encode(body))


def _load_body(load: targets.TargetLoad) -> leaf_api.LoadBody:
    return leaf_api.LoadBody(
        boot_id=load.boot_id, busy_slots=load.busy_slots, versions=list(load.versions)
    )


class PlatformServer:
    """Serves the stand-in store and VM list on one port.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on; port 0 selects a free port.
    clock : Clock
        Determines when leases expire.
    """

    def __init__(self, address: str, clock: clock_state.Clock) -> None:
        self.store = standin_store.StandInStore()
        self.vms: tuple[members.Vm, ...] = ()
        self._clock = clock
        self._changed = eventlet.event.Event()
        routes = {
            ("POST", store_api.PATH_PREFIX + name): self._call
            for name in store_api.OPERATION_NAMES
        }
        routes[("GET", vm_list_api.PATH)] = self._list_vms
        routes[("PUT", vm_list_api.PATH)] = self._replace_vms
        self._server = web.WebServer(web.listen(address), web.application(routes))

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        return self._server.address

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _list_vms(self, environ: web.Environ) -> web.Reply:
        return web.Reply(http.HTTPStatus.OK, vm_list_api.encode(self.vms))

    def _replace_vms(self, environ: web.Environ) -> web.Reply:
        body = web.read_body(environ, MAXIMUM_STORE_BODY_BYTES)
        self.vms = vm_list_api.decode(body)
        return self._list_vms(environ)

    def _call(self, environ: web.Environ) -> web.Reply:
        body = web.read_body(environ, MAXIMUM_STORE_BODY_BYTES)
        operation = store_api.decode_operation(environ["PATH_INFO"], body)
        result = self.store.call(operation, self._clock.monotonic_ms())
        if isinstance(operation, store.Watch):
            result = self._wait_for_change(operation, result)
        elif isinstance(result, store.Swapped) and result.succeeded:
            self._wake_watches()
        if isinstance(result, store.StoreFailed):
            return web.Reply(http.HTTPStatus.CONFLICT, b"{}")
        return web.Reply(http.HTTPStatus.OK, store_api.encode(result))

    def _wait_for_change(
        self, watch: store.Watch, result: store.Changes
    ) -> store.Changes:
        end_ms = self._clock.monotonic_ms() + watch.wait_ms
        while not result.changes:
            remaining_ms = end_ms - self._clock.monotonic_ms()
            if remaining_ms <= 0:
                break
            with eventlet.Timeout(remaining_ms / 1000, False):
                self._changed.wait()
            result = self.store.changes(watch)
        return result

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send()
