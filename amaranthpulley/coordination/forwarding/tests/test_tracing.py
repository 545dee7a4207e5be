"""Tests of the log lines about requests."""

import unittest

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.forwarding import tracing
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway, requests


def _site() -> gateway_site.GatewaySite:
    site = gateway_site.GatewaySite()
    entries = [
        gateway_site.entry(f"{shard}-{number}", shard)
        for shard in gateway_site.SHARDS
        for number in range(2)
    ]
    wide = gateway_site.route(minimum_coverage=0.9)
    site.begin(gateway_site.configuration(wide), *entries)
    site.others.clear()
    return site


def _lines(site: gateway_site.GatewaySite) -> list[dict[str, object]]:
    """Return the fields and event name of each log line about a request."""
    wanted = (log_events.FORWARD_DECIDED, log_events.FORWARD_ENDED)
    return [
        {"name": line.event.name, **dict(line.fields)}
        for line in site.others
        if isinstance(line, commands.Log) and line.event in wanted
    ]


def _set_line_budget(site: gateway_site.GatewaySite, lines: int) -> None:
    site.gateway.log_tokens = float(lines)
    site.gateway.log_refilled_ms = site.now_ms


def _answer_all_but(site: gateway_site.GatewaySite, key: int, lost: str) -> None:
    """Answer every shard of a request but one, whose attempts are lost."""
    for sent in site.sends_of(key):
        if not sent.command.leaf_id.startswith(lost):
            site.reply(sent, gateway_site.answer())
    while key not in site.answers:
        site.fail(site.sends_of(key)[-1], requests.AttemptEnd.LOST)


class RequestLinesTest(unittest.TestCase):
    """Log lines of a request."""

    def test_served_requests_are_logged_only_if_sampled(self) -> None:
        site = _site()
        for _ in range(tracing.SAMPLING_INTERVAL):
            key = site.request()
            for sent in site.sends_of(key):
                site.reply(sent, gateway_site.answer())
        ended = [line for line in _lines(site) if line["name"] == "forward_ended"]
        self.assertEqual(len(ended), 1)

    def test_a_failed_request_logs_the_shards_that_failed(self) -> None:
        site = _site()
        key = site.request()
        lost = site.sends_of(key)[-1].command.leaf_id[:7]
        _answer_all_but(site, key, lost)
        lines = _lines(site)
        decided = [line for line in lines if line["name"] == "forward_decided"]
        self.assertEqual({line["service"] for line in decided}, {lost})
        self.assertEqual(decided[-1]["decision"], "unanswered")
        self.assertEqual(lines[-1]["outcome"], "too_few_shards")

    def test_some_lines_are_reserved_for_failed_requests(self) -> None:
        site = _site()
        _set_line_budget(site, tracing.RESERVED_LINES - 20)
        late = site.request()
        site.advance(150)
        for sent in site.sends_of(late):
            site.reply(sent, gateway_site.answer())
        self.assertEqual(_lines(site), [])
        failed = site.request()
        _answer_all_but(site, failed, site.sends_of(failed)[-1].command.leaf_id[:7])
        self.assertTrue(_lines(site))

    def test_dropped_lines_are_counted(self) -> None:
        site = _site()
        _set_line_budget(site, 0)
        key = site.request()
        _answer_all_but(site, key, site.sends_of(key)[-1].command.leaf_id[:7])
        self.assertEqual(_lines(site), [])
        self.assertGreater(site.gateway.logs_dropped, 0)
        site.advance(2_000)
        self.assertLessEqual(site.gateway.log_tokens, gateway.LOG_BURST)
