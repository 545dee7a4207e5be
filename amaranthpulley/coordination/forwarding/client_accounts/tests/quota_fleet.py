"""Several daemons that share the quotas of accounts, under virtual time.

Datagrams may be lost, late or doubled. Daemons follow a store of registrations, each
at its own pace; they can be cut off, pause, restart, leave and join. What arrives at
leaves is recorded by account.
"""

import bisect
import heapq
import itertools
import random
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import commands, engine, events
from amaranthpulley.coordination.forwarding.client_accounts import quota_owners
from amaranthpulley.coordination.forwarding.client_accounts.tests import quota_members
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, peer_messages, requests
from amaranthpulley.state.forwarding.client_accounts import accounts, quotas

# Six failure domains in three regions, as the deployments have.
DOMAINS: Final = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
RENEWAL_MS: Final = 10_000
STORE_MS: Final = 4
WORK_MS: Final = 20
DEADLINE_MS: Final = 800


class Links(NamedTuple):
    """How datagrams travel, with the shares of lost, doubled and late ones."""

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_ms: int = 2_000


class Ended(NamedTuple):
    """A request that has been answered or refused."""

    account: str
    asked_ms: int
    ended_ms: int
    refusal: commands.Refuse | None
    key: int


class QuotaFleet:
    """Daemons, a store of registrations, and leaves that answer.

    Parameters
    ----------
    count : int
        Number of daemons.
    found : tuple of Account
        The accounts.
    limits : Limits
        Limits of the daemons.
    seed : int
        Seed of what is random.
    """

    def __init__(
        self,
        count: int,
        found: tuple[accounts.Account, ...],
        limits: gateway.Limits | None = None,
        seed: int = 1,
    ) -> None:
        self.limits = limits or gateway.Limits()
        self.links = Links()
        # Whether confirmed claims are written into the registrations.
        self.keeps_rights = True
        self.now_ms = 1_000_000
        self.work_ms = WORK_MS
        self.arrivals: dict[str, list[int]] = {account.name: [] for account in found}
        self.ended: list[Ended] = []
        self.messages: dict[str, int] = {}
        # Returns the bytes of a datagram; tests of the traffic replace it.
        self.size_of: Callable[[peer_messages.PeerMessage], int] = lambda _message: 0
        self.random = random.Random(seed)
        self.store = quota_members.RegistrationStore(lambda: self.now_ms)
        self.version = 1
        self.accounts = found
        self._order = itertools.count()
        self._due: list[tuple[int, int, Callable[[], None]]] = []
        self._next_key = 0
        self._asked: dict[int, tuple[str, int]] = {}
        self._arrived: set[int] = set()
        domains = sorted(DOMAINS)
        self.daemons = [
            quota_members.Daemon(f"vm-{n + 1}", domains[n % len(domains)])
            for n in range(count)
        ]
        self._by_address = {d.member.address: d for d in self.daemons}
        self._at(self.now_ms + 100, self._expire_registrations)

    def start(self, number: int) -> None:
        """Start a daemon at once, or start it again: it knows nothing of before.

        A daemon that has run before is without a process while the next one starts.
        """
        daemon = self.daemons[number]
        daemon.life += 1
        daemon.gateway = None
        daemon.wakes.clear()
        daemon.paused_until_ms = 0
        life = daemon.life
        if life == 1:
            self._list_store(daemon, life)
            return
        at_ms = self.now_ms + quotas.RESTART_MS
        self._at(at_ms, lambda: self._list_store(daemon, life))

    def stop(self, number: int) -> None:
        """Kill a daemon; its registration stays until it lapses."""
        self.daemons[number].life += 1
        self.daemons[number].gateway = None

    def leave(self, number: int) -> None:
        """Drain a daemon and end its registration a moment later."""
        daemon = self.daemons[number]
        if daemon.gateway is None or daemon.cut:
            return
        self._feed(daemon, events.DrainRequested())
        life = daemon.life

        def end() -> None:
            if daemon.life == life:
                self.store.end(daemon.name)
                self.stop(number)

        self._at(self.now_ms + 2_000, end)

    def pause(self, number: int, for_ms: int) -> None:
        """Stop a daemon for a while; what reaches it meanwhile waits."""
        self.daemons[number].paused_until_ms = self.now_ms + for_ms

    def set_accounts(self, *found: accounts.Account) -> None:
        """Put another version in force at each daemon that is not cut off."""
        self.version += 1
        self.accounts = found
        version = self.version
        for daemon in self.daemons:
            self._deliver_version(daemon, version)

    def ask(self, number: int, account: str, deadline_ms: int = DEADLINE_MS) -> int:
        """Send a client's request to a daemon; return its key."""
        daemon = self.daemons[number]
        if daemon.gateway is None:
            return 0
        self._next_key += 1
        key = self._next_key
        self._asked[key] = (account, self.now_ms)
        digest, host = account.encode(), gateway_site.HOST
        incoming = requests.IncomingRequest(
            key, f"r{key}", host, "/visit/1", (key,), deadline_ms, None, digest
        )
        self._feed(daemon, events.RequestArrived(incoming))
        return key

    def advance(self, by_ms: int) -> None:
        """Run what is due in the next milliseconds."""
        end_ms = self.now_ms + by_ms
        while self._due and self._due[0][0] <= end_ms:
            self.now_ms, _, run = heapq.heappop(self._due)
            run()
        self.now_ms = end_ms

    def most_in_a_window(self, account: str, since_ms: int = 0) -> int:
        """Return the most arrivals of an account in any window after a time."""
        found = sorted(at for at in self.arrivals[account] if at >= since_ms)
        window_ms = self.limits.quota_window_ms
        return max(
            (
                bisect.bisect_right(found, at + window_ms) - index
                for index, at in enumerate(found)
            ),
            default=0,
        )

    def allowed(self, account: accounts.Account) -> float:
        """Return what the settings allow in a window."""
        window_s = self.limits.quota_window_ms / 1000
        quota = account.rate_per_s * window_s + account.burst
        return quota * (1 + self.limits.quota_overage) + self.limits.quota_slack

    def owners(self, account: accounts.Account) -> tuple[str, ...]:
        """Return the owners of an account as the first running daemon sees them."""
        running = next(d.gateway for d in self.daemons if d.gateway is not None)
        return quota_owners.owners_of(running, account)

    def _at(self, at_ms: int, run: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at_ms, next(self._order), run))

    def _configuration(self):  # noqa: ANN202
        by_name = {account.name: account for account in self.accounts}
        keys = {account.name.encode(): account.name for account in self.accounts}
        table = accounts.AccountTable(by_name, keys)
        found = gateway_site.configuration(gateway_site.single(), version=self.version)
        return found._replace(accounts=table)

    def _deliver_version(self, daemon: quota_members.Daemon, version: int) -> None:
        def deliver() -> None:
            if daemon.gateway is not None and self.version == version:
                if daemon.cut:
                    self._at(self.now_ms + 200, deliver)
                else:
                    self._feed(daemon, events.ConfigurationRead(self._configuration()))

        self._at(self.now_ms + self.random.randrange(1, 1_000), deliver)

    def _list_store(self, daemon: quota_members.Daemon, life: int) -> None:
        if daemon.life != life:
            return
        if daemon.cut:
            self._at(self.now_ms + 500, lambda: self._list_store(daemon, life))
            return
        domain = daemon.member.failure_domain
        place = gateway.Place(daemon.name, domain, DOMAINS[domain], DOMAINS)
        daemon.gateway = gateway.Gateway(place, self.limits, self.now_ms)
        self._feed(daemon, events.ConfigurationRead(self._configuration()))
        for number, leaf_domain in enumerate(DOMAINS):
            entry = gateway_site.entry(
                f"l{number}", "visits", leaf_domain, slots=100_000
            )
            self._feed(daemon, events.LeafWritten(entry))
        for change in self.store.changes:
            self._feed(daemon, change)
        daemon.seen = len(self.store.changes)
        self._feed(daemon, events.DirectoryListed())
        self._at(self.now_ms + 100, lambda: self._tick(daemon, life))
        self._follow_store(daemon, life)
        self._renew(daemon, life)

    def _tick(self, daemon: quota_members.Daemon, life: int) -> None:
        if daemon.life == life:
            self._feed(daemon, events.TickDue())
            self._at(
                max(self.now_ms + 100, daemon.paused_until_ms),
                lambda: self._tick(daemon, life),
            )

    def _follow_store(self, daemon: quota_members.Daemon, life: int) -> None:
        """Feed the changes that a daemon has not seen, some time after each."""
        if daemon.life != life:
            return
        if not daemon.cut:
            for change in self.store.changes[daemon.seen :]:
                self._feed(daemon, change)
            daemon.seen = len(self.store.changes)
        delay_ms = self.random.randrange(5, 400)
        self._at(self.now_ms + delay_ms, lambda: self._follow_store(daemon, life))

    def _renew(self, daemon: quota_members.Daemon, life: int) -> None:
        if daemon.life != life:
            return
        if daemon.paused_until_ms > self.now_ms:
            at_ms = daemon.paused_until_ms
            self._at(at_ms, lambda: self._renew(daemon, life))
            return
        if daemon.cut or daemon.gateway.draining_since_ms is not None:
            self._at(self.now_ms + 500, lambda: self._renew(daemon, life))
            return
        until_ms = self.now_ms + quota_members.LIFETIME_MS

        def answered() -> None:
            if daemon.life != life:
                return
            written = self.store.renew(daemon.name, daemon.member)
            daemon.lease = self.store.leases[daemon.name]
            self._feed(daemon, events.Registered(until_ms, written))

        self._at(self.now_ms + STORE_MS, answered)
        self._at(self.now_ms + RENEWAL_MS, lambda: self._renew(daemon, life))

    def _expire_registrations(self) -> None:
        self.store.end_lapsed()
        self._at(self.now_ms + quota_members.CHECK_MS, self._expire_registrations)

    def _publish_grants(self, daemon: quota_members.Daemon) -> None:
        lease = daemon.lease
        write = self.store.publish_grants
        at_ms = self.now_ms + STORE_MS
        self._at(at_ms, lambda: write(daemon.name, daemon.member, lease))

    def _feed(self, daemon: quota_members.Daemon, event: events.Event) -> None:
        if daemon.gateway is None:
            return
        if daemon.paused_until_ms > self.now_ms:
            life = daemon.life

            def later() -> None:
                if daemon.life == life:
                    self._feed(daemon, event)

            self._at(daemon.paused_until_ms, later)
            return
        decided = engine.step(daemon.gateway, event, self.now_ms, self.random.random)
        for command in decided:
            self._execute(daemon, command)

    def _execute(self, daemon: quota_members.Daemon, command: commands.Command) -> None:
        if isinstance(command, commands.SendAttempt):
            self._send_attempt(daemon, command)
        elif isinstance(command, commands.SendToPeers):
            self._send_datagrams(daemon, command)
        elif isinstance(command, commands.PublishGrants):
            if not daemon.cut and self.keeps_rights:
                self._publish_grants(daemon)
        elif isinstance(command, commands.WakeAt):
            self._wake_at(daemon, command)
        elif isinstance(command, commands.Refuse):
            self._end(command.request_key, command)
        elif isinstance(command, commands.PassAnswer):
            self._end(command.request_key, None)

    def _end(self, key: int, refusal: commands.Refuse | None) -> None:
        account, asked_ms = self._asked[key]
        self.ended.append(Ended(account, asked_ms, self.now_ms, refusal, key))

    def _wake_at(self, daemon: quota_members.Daemon, command: commands.WakeAt) -> None:
        key, due_ms, life = command.request_key, command.due_ms, daemon.life
        daemon.wakes[key] = due_ms

        def wake() -> None:
            if daemon.life == life and daemon.wakes.get(key) == due_ms:
                del daemon.wakes[key]
                self._feed(daemon, events.WakeDue(key))

        self._at(max(self.now_ms, due_ms), wake)

    def _send_attempt(
        self, daemon: quota_members.Daemon, command: commands.SendAttempt
    ) -> None:
        life = daemon.life

        def arrive() -> None:
            if command.request_key not in self._arrived:
                self._arrived.add(command.request_key)
                account, _ = self._asked[command.request_key]
                self.arrivals[account].append(self.now_ms)

        def answer() -> None:
            if daemon.life == life:
                given = gateway_site.answer()
                self._feed(daemon, events.AttemptAnswered(command.attempt, given))

        way_ms = self.random.randrange(1, 13)
        self._at(self.now_ms + way_ms, arrive)
        self._at(self.now_ms + 2 * way_ms + self.work_ms, answer)

    def _send_datagrams(
        self, daemon: quota_members.Daemon, command: commands.SendToPeers
    ) -> None:
        message = command.message
        name, size = type(message).__name__, self.size_of(message)
        event = events.PeerMessageReceived(message, daemon.member.address)
        for address in command.addresses:
            self.messages[name] = self.messages.get(name, 0) + 1
            other = self._by_address[address]
            daemon.sent += 1
            daemon.sent_bytes += size
            if self.random.random() < self.links.lost:
                continue
            copies = 1 + (self.random.random() < self.links.doubled)
            for _ in range(copies):
                self._at(
                    self.now_ms + self._way_ms(daemon, other),
                    lambda other=other: self._receive(daemon, other, event, size),
                )

    def _way_ms(self, one: quota_members.Daemon, other: quota_members.Daemon) -> int:
        if self.random.random() < self.links.late:
            return self.random.randrange(self.links.late_ms)
        regions = {DOMAINS[d.member.failure_domain] for d in (one, other)}
        return 1 if len(regions) == 1 else 12

    def _receive(
        self,
        sender: quota_members.Daemon,
        daemon: quota_members.Daemon,
        event: events.Event,
        size: int,
    ) -> None:
        if sender.cut != daemon.cut or daemon.gateway is None:
            return
        daemon.received += 1
        daemon.received_bytes += size
        self._feed(daemon, event)


def account(name: str, rate: float, burst: float) -> accounts.Account:
    """Return an account with a quota."""
    return accounts.Account(name, None, frozenset(), rate, burst)
