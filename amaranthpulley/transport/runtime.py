"""The runtime of a daemon: feeds events to the engine and executes its commands."""

from collections.abc import Callable
from typing import Any, Final

import eventlet
import eventlet.event

from amaranthpulley.coordination import commands, engine, events, tracing
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, requests
from amaranthpulley.transport import (
    log_sink,
    message_stamps,
    peer_calls,
    store_client,
    target_client,
    vm_list_client,
)

Request = requests.SearchRequest | requests.OrderRequest
Observer = Callable[[commands.AnswerCaller], None]

# Longer than every hard deadline; it passes only after an error in a decision.
ANSWER_TIMEOUT_SECONDS: Final = 120
TIMER_RETRY_DELAY_SECONDS: Final = 1.0
MAXIMUM_TIMER_TRIES: Final = 60


class Runtime:
    """Feeds events to one daemon's engine and executes the resulting commands.

    `feed` does not yield to another green thread between an event and its commands, so
    each decision sees the state after the previous one.

    Parameters
    ----------
    daemon : Daemon
        The daemon's state.
    clock : Clock
        Source of the current time.
    random : callable
        Returns uniformly distributed numbers from ``[0.0, 1.0)``.
    write_log : callable
        Writes log events.
    store : StoreClient
        Calls the platform's store.
    vm_list : VmListClient
        Reads the platform's VM list.
    observe : callable
        Called with each answer to a caller, for the metrics.
    stamps : MessageStamps
        Creates and observes the hybrid stamps of messages.
    """

    def __init__(
        self,
        daemon: daemon_state.Daemon,
        clock: clock_state.Clock,
        random: Callable[[], float],
        write_log: log_sink.WriteLog,
        store: store_client.StoreClient,
        vm_list: vm_list_client.VmListClient,
        observe: Observer,
        stamps: message_stamps.MessageStamps,
    ) -> None:
        self.daemon = daemon
        self.exit_code = eventlet.event.Event()
        self.on_stop_listening: Callable[[], None] = lambda: None
        self._clock = clock
        self._random = random
        self._write_log = write_log
        self._store = store
        self._vm_list = vm_list
        self._observe = observe
        self._targets = target_client.TargetClient(stamps)
        self.peers = peer_calls.PeerCalls(
            self.feed, self.record_refused_message, stamps
        )
        self._waiting_requests: dict[str, eventlet.event.Event] = {}
        self._handlers: Final[dict[type, Callable[[Any], None]]] = {
            commands.SendAttempt: self._send_attempt,
            commands.CancelAttempt: self._cancel_attempt,
            commands.AnswerCaller: self._answer_caller,
            commands.SetTimer: self._set_timer,
            commands.CallStore: self._call_store,
            commands.ListVms: self._list_vms,
            commands.CallPeer: self._call_peer,
            commands.ReplyPeer: self.peers.reply,
            commands.RejectPeer: self.peers.reject,
            commands.Log: write_log,
            commands.StopListening: lambda command: self.on_stop_listening(),
            commands.Exit: self._exit,
        }

    def feed(self, event: events.Event) -> None:
        """Pass an event to the engine and execute the commands that it returns."""
        now_ms = self._clock.monotonic_ms()
        for command in self._decide(event, now_ms):
            self._handlers[type(command)](command)

    def execute(
        self, event: events.SearchReceived | events.OrderReceived
    ) -> requests.Outcome:
        """Feed a caller's request and wait for its outcome.

        After an error in a decision, the refusal does not state that nothing has run.
        """
        request_id = event.request.request_id
        done = self._waiting_requests[request_id] = eventlet.event.Event()
        refusal = requests.Refusal(
            requests.RefusalCode.INTERNAL_ERROR,
            "the daemon failed at this request; report its request_id",
            not_run=False,
        )
        try:
            self.feed(event)
            with eventlet.Timeout(ANSWER_TIMEOUT_SECONDS, False):
                return done.wait()
        except Exception:
            # The error has been logged by `_decide`.
            return refusal
        finally:
            self._waiting_requests.pop(request_id, None)
        return refusal

    def close(self) -> None:
        """Close the connections to targets, the platform and peers."""
        self._targets.close()
        self._store.close()
        self._vm_list.close()
        self.peers.close()

    def _decide(self, event: events.Event, now_ms: int) -> list[commands.Command]:
        try:
            return engine.step(self.daemon, event, now_ms, self._random)
        except Exception as error:
            self._log_error(error, type(event))
            raise

    def _log_error(self, error: Exception, cause: type) -> None:
        # Only types are logged, because an error's text may contain customer data.
        entry = commands.log(
            log_events.INTERNAL_ERROR,
            error=type(error).__name__,
            cause=cause.__name__,
        )
        self._write_log(entry)

    def _send_attempt(self, command: commands.SendAttempt) -> None:
        self._write_log(tracing.attempt_sent(command))
        eventlet.spawn_n(self._attempt, command)

    def _attempt(self, command: commands.SendAttempt) -> None:
        try:
            end = self._targets.attempt(command)
        except Exception as error:
            self._log_error(error, commands.SendAttempt)
            # The target may have run the call, so the failure must not say otherwise.
            lost = events.Failure.CONNECTION_LOST
            end = events.AttemptFailed(command.attempt_id, lost)
        self.feed(end)

    def _cancel_attempt(self, command: commands.CancelAttempt) -> None:
        eventlet.spawn_n(self._targets.cancel, command)

    def _answer_caller(self, command: commands.AnswerCaller) -> None:
        self._observe(command)
        done = self._waiting_requests.pop(command.request.request_id, None)
        if done is not None:
            done.send(command.outcome)

    def _set_timer(self, command: commands.SetTimer) -> None:
        wait_ms = max(0, command.due_ms - self._clock.monotonic_ms())
        due = events.TimerDue(command.purpose, command.due_ms)
        eventlet.spawn_after(wait_ms / 1000, self._feed_timer, due, MAXIMUM_TIMER_TRIES)

    def _feed_timer(self, due: events.TimerDue, tries_left: int) -> None:
        try:
            self.feed(due)
        except Exception:
            # The error has been logged. Without a retry, one failure would end a
            # periodic timer such as the heartbeat, whose handler sets the next one.
            if tries_left > 1:
                retry = due._replace(due_ms=None)
                eventlet.spawn_after(
                    TIMER_RETRY_DELAY_SECONDS, self._feed_timer, retry, tries_left - 1
                )

    def _call_store(self, command: commands.CallStore) -> None:
        def call() -> None:
            result = self._store.call(command.operation, command.timeout_ms)
            self.feed(events.StoreReplied(command.purpose, command.operation, result))

        eventlet.spawn_n(call)

    def _list_vms(self, command: commands.ListVms) -> None:
        def call() -> None:
            self.feed(events.VmsListed(self._vm_list.read(command.timeout_ms)))

        eventlet.spawn_n(call)

    def _call_peer(self, command: commands.CallPeer) -> None:
        eventlet.spawn_n(self.peers.call, command)

    def record_refused_message(self, sender_ip: str, reason: str) -> None:
        """Count and log a peer's message that was refused before it became an event."""
        self.daemon.counters.add("peer_messages_refused_total", reason=reason)
        refused = log_events.PEER_MESSAGE_REFUSED
        self._write_log(commands.log(refused, reason=reason, sender=sender_ip))

    def _exit(self, command: commands.Exit) -> None:
        if not self.exit_code.ready():
            self.exit_code.send(command.code)
