"""Writes the steps of roll-outs to the store, and reads them back when in doubt.

A write that was not answered may have happened, or may happen seconds later. It has the
condition that the step before is still there, so that at most one of two writes takes
effect, whichever comes first. What is in the store is read back at once.
"""

from collections.abc import Callable
from typing import NamedTuple

import eventlet
import eventlet.event

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.rollouts import rollout_events
from amaranthpulley.state import store
from amaranthpulley.transport import errors
from amaranthpulley.transport.forwarding import store_view


class RolloutCalls(NamedTuple):
    """Calls to the store; each raises `PlatformUnreachableError` when it fails.

    Attributes
    ----------
    write : callable
        Takes the command; returns False, and writes nothing, when an item has changed.
    read : callable
        Takes a service; returns the items of its roll-out.
    """

    write: Callable[[commands.WriteRolloutStep], bool]
    read: Callable[[str], tuple[store.Change, ...]]


class RolloutPublisher:
    """Steps that wait to be written, at most one of each service.

    Parameters
    ----------
    calls : RolloutCalls
        Calls to the store.
    view : StoreView
        Gets the items that are read back.
    handle_event : callable
        Called with the event of each write.
    """

    def __init__(
        self,
        calls: RolloutCalls,
        view: store_view.StoreView,
        handle_event: Callable[[events.Event], None],
    ) -> None:
        self._calls = calls
        self._view = view
        self._handle_event = handle_event
        self._waiting: dict[str, commands.WriteRolloutStep] = {}
        self._added = eventlet.event.Event()

    def start(self) -> None:
        """Start to write the steps that are added."""
        eventlet.spawn_n(self._run)

    def write(self, command: commands.WriteRolloutStep) -> None:
        """Write a step soon; it replaces one of the service that was not begun."""
        self._waiting[command.service] = command
        if not self._added.ready():
            self._added.send()

    def _run(self) -> None:
        while True:
            self._added.wait()
            self._added = eventlet.event.Event()
            while self._waiting:
                service = next(iter(self._waiting))
                self._write(self._waiting.pop(service))

    def _write(self, command: commands.WriteRolloutStep) -> None:
        reason = ""
        try:
            written = self._calls.write(command)
            result = rollout_events.WRITTEN if written else rollout_events.CONFLICT
        except errors.PlatformUnreachableError as error:
            result, reason = rollout_events.UNKNOWN, str(error)
        # The daemon that decides should not wait for its own step by the watch.
        try:
            read = self._calls.read(command.service)
            self._view.apply(read, self._view.revision)
        except errors.PlatformUnreachableError as error:
            reason = reason or f"read back: {error}"
        step = command.step
        self._handle_event(
            rollout_events.RolloutWriteEnded(
                command.service, step.number, step.phase.value, result, reason
            )
        )
