"""Tests of a daemon's metrics, status, recent log events and admin port."""

import json
import unittest

from amaranthpulley.coordination import commands, events, no_work_reasons
from amaranthpulley.protocol import settings, status_api
from amaranthpulley.state import hybrid_clock, log_events, requests, targets
from amaranthpulley.state.control import topology
from amaranthpulley.transport import admin, callers, log_sink, metrics, web
from amaranthpulley.transport.tests import journal_site

MARKERS = ("MarkedCustomer", "MarkedQuery", "MarkedPayload", "MarkedKey")


def _marked_site() -> tuple[journal_site.JournalSite, metrics.Metrics]:
    site = journal_site.JournalSite()
    daemon = site.network.daemons["vm-1"].state
    daemon_metrics = metrics.Metrics(daemon)
    customer, query, payload, key = MARKERS
    for number, service in enumerate(("stock", "orders", "nowhere", query)):
        search = requests.SearchRequest(f"s{number}", customer, service, query, key)
        site.network.search("vm-1", search)
        order = requests.OrderRequest(f"o{number}", customer, service, key, payload)
        site.network.order("vm-1", order)
    site.run(10_000)
    site.network.daemons["vm-1"].state.draining = True
    site.network.search("vm-1", search)
    for answered in site.network.answers:
        daemon_metrics.observe(answered.command)
    return site, daemon_metrics


class PrivacyTest(unittest.TestCase):
    """Log lines, metrics and the status contain no customer data."""

    def test_request_data_appears_nowhere(self) -> None:
        site, daemon_metrics = _marked_site()
        self.assertEqual(len(site.network.answers), 9)
        daemon = site.network.daemons["vm-1"].state
        status = status_api.status_of(daemon, site.network.now_ms)
        shown = {
            "logs": repr([command for _, _, command in site.network.logs]),
            "metrics": daemon_metrics.text().decode(),
            "status": json.dumps(status),
        }
        for place, text in shown.items():
            for marker in MARKERS:
                self.assertNotIn(marker, text, place)

    def test_labels_are_bounded_by_the_configuration(self) -> None:
        site, daemon_metrics = _marked_site()
        before = len(daemon_metrics.text().splitlines())
        for number in range(50):
            request = requests.SearchRequest(
                f"x{number}", f"c{number}", f"s{number}", "q"
            )
            site.network.search("vm-1", request)
        for answered in site.network.answers:
            daemon_metrics.observe(answered.command)
        after = daemon_metrics.text().decode()
        self.assertLess(len(after.splitlines()), before + 40)
        self.assertIn('service="unknown"', after)


class MetricsTest(unittest.TestCase):
    """The exported metrics, with units in their names."""

    def test_expected_metrics_are_exported(self) -> None:
        site, daemon_metrics = _marked_site()
        daemon = site.network.daemons["vm-1"].state
        out = topology.FailureDomain("Recife", "Recife", in_service=False)
        daemon.configuration.apply(topology.ChangeTicket(2, failure_domains=(out,)))
        text = daemon_metrics.text().decode()
        for name in (
            'amaranthpulley_request_seconds_bucket{le="0.22",outcome="SearchAnswer"',
            'amaranthpulley_search_coverage_ratio_bucket{le="1.0",service="stock"}',
            'amaranthpulley_attempts_total{kind="first",service="stock"}',
            'amaranthpulley_requests_total{outcome="OrderDone",service="orders"}',
            'amaranthpulley_targets{failure_domain="Recife",'
            'state="failure_domain_out_of_service"} 2.0',
            "amaranthpulley_journal_unwritten_records",
        ):
            self.assertIn(name, text)

    def test_failed_searches_are_counted_by_failure_domain(self) -> None:
        site = journal_site.JournalSite()
        leaf = site.network.targets.leaves.pop("leaf")
        site.search("vm-1", "forno")
        site.run(5_000)
        site.network.add_leaf("leaf", leaf)
        self._check_failures_of_recife(site)

    def test_failed_orders_are_counted_by_failure_domain(self) -> None:
        site = journal_site.JournalSite()
        desk = site.network.targets.leaves.pop("desk")
        site.order("vm-1", "forno")
        site.run(5_000)
        site.network.add_leaf("desk", desk)
        self._check_failures_of_recife(site)

    def _check_failures_of_recife(self, site: journal_site.JournalSite) -> None:
        daemon = site.network.daemons["vm-1"].state
        counted = [
            dict(counter.labels)["failure_domain"]
            for counter, _ in daemon.counters.items()
            if counter.name == "attempts_failed_total"
        ]
        self.assertEqual(set(counted), {"Recife"})


class StatusTest(unittest.TestCase):
    """The status of a daemon and the reasons why a target gets no work."""

    def test_reasons_from_the_configuration(self) -> None:
        statuses = topology.TargetStatus
        cases = (
            (statuses.SERVING, True, False, None),
            (statuses.LEAVING, True, False, no_work_reasons.NoWorkReason.LEAVING),
            (statuses.REMOVED, False, True, no_work_reasons.NoWorkReason.REMOVED),
            (statuses.SERVING, False, False, no_work_reasons.NoWorkReason.DOMAIN_OUT),
            (statuses.SERVING, True, True, no_work_reasons.NoWorkReason.UNCONFIRMED),
        )
        for status, in_service, suspended, expected in cases:
            with self.subTest(status=status, expected=expected):
                site = journal_site.JournalSite()
                daemon = site.network.daemons["vm-1"].state
                known = daemon.configuration
                known.apply(
                    topology.ChangeTicket(
                        2,
                        failure_domains=(
                            topology.FailureDomain("Recife", "Recife", in_service),
                        ),
                    )
                )
                known.suspended = suspended
                target = known.target("leaf")._replace(status=status)
                self.assertEqual(
                    no_work_reasons.no_work_reason(daemon, target), expected
                )

    def test_reasons_from_the_state_of_the_target(self) -> None:
        daemon = journal_site.JournalSite().network.daemons["vm-1"].state
        target = daemon.configuration.target("leaf")
        self.assertIsNone(no_work_reasons.no_work_reason(daemon, target))
        self.assertIsNone(
            daemon.targets.get("leaf"),
            "reading the reason must not create a state",
        )
        daemon.targets.of("leaf").slots = 0
        full = no_work_reasons.no_work_reason(daemon, target)
        self.assertIs(full, no_work_reasons.NoWorkReason.FULL)
        daemon.targets.of("leaf").cold = targets.ColdStart(0, False, "boot-2")
        cold = no_work_reasons.no_work_reason(daemon, target)
        self.assertIs(cold, no_work_reasons.NoWorkReason.COLD)

    def test_status_shows_the_state_of_the_daemon(self) -> None:
        site = journal_site.JournalSite()
        site.search("vm-1", "forno")
        site.run(20)
        running = site.network.daemons["vm-1"]
        status = status_api.status_of(running.state, site.network.now_ms)
        self.assertEqual(status["configuration"]["highest_ticket"], 1)
        self.assertEqual(status["targets_configured"], 2)
        self.assertEqual(status["journal"]["unwritten_records"], 1)
        site.network.feed(running, events.DrainRequested())
        status = status_api.status_of(running.state, site.network.now_ms)
        self.assertFalse(status["ready"])


class AdminTest(unittest.TestCase):
    """The admin port serves only the clients that the settings name."""

    def _get(self, path: str, client: str) -> web.Reply:
        site = journal_site.JournalSite()
        daemon = site.network.daemons["vm-1"].state
        recent = log_sink.RecentEvents()
        recent.add(b'{"event":100}')
        clock = site.network.clock.as_clock()
        daemon_metrics = metrics.Metrics(daemon)
        routes = admin.routes(daemon, clock, daemon_metrics.text, recent, {"10.0.0.9"})
        return routes["GET", path]({"REMOTE_ADDR": client})

    def test_each_path_refuses_other_clients(self) -> None:
        for path in ("/metrics", "/status", "/events", "/ready"):
            with self.subTest(path):
                self.assertNotEqual(self._get(path, "10.0.0.9").status, 403)
                refused = self._get(path, "10.0.0.8")
                self.assertEqual(refused.status, 403)
                self.assertNotIn(b"event", refused.body)
        self.assertEqual(self._get("/events", "10.0.0.9").body, b'{"event":100}\n')

    def test_caller_port_has_no_export(self) -> None:
        paths = [path for _, path in callers.routes(None)]
        self.assertEqual(sorted(paths), ["/ready", "/v1/order", "/v1/search"])

    def test_settings_name_the_clients(self) -> None:
        listen = {"ip": "10.0.0.1"}
        given = settings.admin_clients_of({"listen": listen})
        self.assertEqual(given, {"127.0.0.1", "10.0.0.1"})
        chosen = {"listen": listen, "admin_clients": ["10.0.0.7"]}
        self.assertEqual(settings.admin_clients_of(chosen), {"10.0.0.7"})


class RecentEventsTest(unittest.TestCase):
    """A bounded buffer of log lines, each with a hybrid-clock stamp."""

    def test_oldest_lines_are_discarded(self) -> None:
        recent = log_sink.RecentEvents()
        for number in range(log_sink.MAXIMUM_RECENT_EVENTS + 5):
            recent.add(str(number).encode())
        lines = recent.text().splitlines()
        self.assertEqual((lines[0], len(lines)), (b"5", log_sink.MAXIMUM_RECENT_EVENTS))

    def test_lines_below_the_level_are_left_out(self) -> None:
        site = journal_site.JournalSite()
        recent = log_sink.RecentEvents()
        write = log_sink.open_log(
            "vm-1",
            site.network.clock.as_clock(),
            "/dev/null",
            log_events.Level.INFO,
            hybrid_clock.HybridClock(),
            recent,
        )
        write(commands.log(log_events.ATTEMPT_SENT, target="leaf"))
        write(commands.log(log_events.TICKET_IN_FORCE, ticket=7))
        write(commands.log(log_events.DAEMON_STOPPED))
        lines = [json.loads(line) for line in recent.text().splitlines()]
        self.assertEqual([line["event"] for line in lines], [400, 102])
        self.assertLess(lines[0]["stamp"], lines[1]["stamp"])
        self.assertEqual(lines[0]["ticket"], 7)
