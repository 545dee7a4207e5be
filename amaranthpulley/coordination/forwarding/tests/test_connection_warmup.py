"""Tests of connections that are opened before they are needed."""

import unittest

from amaranthpulley.coordination.forwarding import commands, connection_warmup, events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway


def _site(started_ago_ms: int, daemons: int) -> gateway_site.GatewaySite:
    site = gateway_site.GatewaySite()
    site.gateway.started_ms = site.now_ms - started_ago_ms
    entries = [
        gateway_site.entry(f"{shard}-{domain}", shard, domain)
        for shard in gateway_site.SHARDS
        for domain in ("a1", "b1")
    ]
    site.begin(gateway_site.configuration(gateway_site.route()), *entries)
    for number in range(2, daemons + 1):
        member = gateway.Member("a1", "")
        site.feed(events.MemberChanged(f"vm-{number}", member))
    return site


class ConnectionWarmupTest(unittest.TestCase):
    """Selection of the connections that are opened and kept."""

    def _opened(self, site: gateway_site.GatewaySite) -> set[str]:
        found = (c for c in site.others if isinstance(c, commands.OpenConnection))
        return {command.address for command in found}

    def test_two_leaves_of_each_shard_are_connected(self) -> None:
        site = _site(started_ago_ms=60_000, daemons=2)
        site.advance(1_000)
        self.assertEqual(len(self._opened(site)), 2 * len(gateway_site.SHARDS))

    def test_leaving_and_suspected_leaves_are_not_connected(self) -> None:
        site = _site(started_ago_ms=60_000, daemons=2)
        site.feed(events.LeafDeleted("shard-0-a1"))
        site.gateway.directory.get("shard-1-a1").suspected = True
        site.advance(1_000)
        self.assertFalse({"shard-0-a1:1", "shard-1-a1:1"} & self._opened(site))

    def test_many_restarted_daemons_keep_no_connections(self) -> None:
        cases = [
            # A leaf accepts 40 connections, too few for 30 daemons before and after a
            # restart.
            (0, 30, False),
            (0, 8, True),
            (connection_warmup.STALE_CONNECTIONS_MS, 30, True),
        ]
        for started_ago_ms, daemons, kept in cases:
            with self.subTest(started_ago_ms=started_ago_ms, daemons=daemons):
                site = _site(started_ago_ms, daemons)
                site.advance(500)
                self.assertIs(bool(self._opened(site)), kept)
                key = site.request()
                for sent in site.sends_of(key):
                    self.assertIs(sent.command.keep, kept)
