"""Steps for what leaves ask of the daemons."""

import time
from typing import Final

import behave
from behave import runner

from features.steps import forwarding_steps
from tests.soak import soak_site

START_TIMEOUT_S: Final = 10


class DemandSubject:
    """The leaves of a service, and what they had got at the last step."""

    def __init__(self, site: soak_site.SoakSite, service: str) -> None:
        self._site = site
        self._leaves = [leaf for leaf in site.leaves if leaf.service == service]
        self._counted = 0

    def demand(self, header: str, mode: str) -> None:
        """Add a header to all answers."""
        name, _, value = header.partition(": ")
        for leaf in self._leaves:
            self._site.control_leaf(leaf, mode=mode, headers={name: value})

    def mark(self) -> None:
        """Count from now on."""
        self._counted = self._total()

    def since_mark(self) -> int:
        """Return the requests since the mark."""
        return self._total() - self._counted

    def start_again(self) -> None:
        """Kill the leaves, start them under the same identities, and await the daemon.

        The first daemon has to have read their entries.
        """
        known = [self._times_known(leaf) for leaf in self._leaves]
        for leaf in self._leaves:
            leaf.process.kill()
            leaf.process.wait()
            self._site.start_leaf(leaf)
        end = time.monotonic() + START_TIMEOUT_S
        for leaf, count in zip(self._leaves, known, strict=True):
            while self._times_known(leaf) <= count:
                assert time.monotonic() < end, leaf.leaf_id
                time.sleep(forwarding_steps.POLL_S)

    def _times_known(self, leaf: soak_site.Leaf) -> int:
        log = self._site.read_log(self._site.daemons[0]).splitlines()
        wanted = f'"target":"{leaf.leaf_id}"'
        return sum(wanted in line and '"standing":"known"' in line for line in log)

    def _total(self) -> int:
        found = [self._site.control_leaf(leaf, arrivals=True) for leaf in self._leaves]
        return sum(counted["arrivals"] for counted in found)


@behave.when('the leaves of "{service}" add "{header}" and each {fault}')
def _demand(context: runner.Context, service: str, header: str, fault: str) -> None:
    subject = DemandSubject(context.subject.site, service)
    context.demands = subject
    context.add_cleanup(subject.start_again)
    subject.demand(header, forwarding_steps.MODES[fault])


@behave.when('the leaves of "{service}" are started again')
def _start_again(context: runner.Context, service: str) -> None:
    context.demands.start_again()


@behave.when("a client sends {count:d} visits")
def _visits(context: runner.Context, count: int) -> None:
    context.demands.mark()
    for _ in range(count):
        context.subject.send("POST", "/visit/1")


@behave.then('the leaves of "{service}" got nothing in the meantime')
def _check_nothing(context: runner.Context, service: str) -> None:
    assert context.demands.since_mark() == 0, context.demands.since_mark()


@behave.then('the leaves of "{service}" got requests in the meantime')
def _check_requests(context: runner.Context, service: str) -> None:
    assert context.demands.since_mark() > 0
