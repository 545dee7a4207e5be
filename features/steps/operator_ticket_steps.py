"""Steps for the tickets that operators apply."""

import json
import pathlib
import tempfile
from typing import Any

import behave
from behave import runner

from amaranthpulley.coordination.control import ticket_store
from amaranthpulley.protocol import errors, ticket_file
from amaranthpulley.state import standin_store
from amaranthpulley.state.control import topology
from amaranthpulley.transport.emulation import virtual_network
from amaranthpulley.transport.tests import control_site


class OperatorSubject:
    """A store, a ticket file and the verdicts that operators got."""

    def __init__(self) -> None:
        self.store = standin_store.StandInStore()
        self.body: dict[str, Any] = json.loads(
            ticket_file.encode(_ticket_with_addresses())
        )
        self.verdicts: list[str] = []
        self.message = ""

    def apply(self, ticket: topology.ChangeTicket) -> ticket_store.ApplyResult:
        """Apply a ticket to a store without faults."""
        apply_id = f"run-{len(self.verdicts)}"
        verdict = ticket_store.run(
            ticket_store.apply(ticket, apply_id, 0),
            lambda operation: self.store.call(operation, 0),
        )
        self.verdicts.append(verdict.status.value)
        self.message = verdict.message
        return verdict


def _ticket_with_addresses() -> topology.ChangeTicket:
    ticket = control_site.first_ticket()
    targets = tuple(
        target._replace(address=f"10.0.0.{index + 1}:1")
        for index, target in enumerate(ticket.targets)
    )
    return ticket._replace(number=7, targets=targets)


def _put(container: Any, place: str, value: object) -> None:
    *parents, last = [
        int(word) if word.isdecimal() else word for word in place.split(".")
    ]
    for word in parents:
        container = container[word]
    container[last] = value


@behave.given("a valid ticket file")
def make_file(context: runner.Context) -> None:
    context.subject = OperatorSubject()


@behave.when("its {place} is set to {value}")
def change_file(context: runner.Context, place: str, value: str) -> None:
    _put(context.subject.body, place, json.loads(value))


@behave.when("the operator applies the file")
def apply_file(context: runner.Context) -> None:
    subject = context.subject
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, "ticket.json")
        path.write_text(json.dumps(subject.body))
        try:
            subject.apply(ticket_file.read(str(path)))
        except errors.InvalidTicketError as error:
            subject.verdicts.append(ticket_store.ApplyStatus.INVALID.value)
            subject.message = str(error)


@behave.then('the ticket is refused with "{path}" and nothing is written')
def check_refusal(context: runner.Context, path: str) -> None:
    subject = context.subject
    assert subject.verdicts == ["invalid"], subject.verdicts
    assert f"at `{path}`" in subject.message, subject.message
    assert subject.store.revision == 0


@behave.given('a store with ticket {number:d} for the failure domain "{domain}"')
def make_store(context: runner.Context, number: int, domain: str) -> None:
    subject = context.subject = OperatorSubject()
    subject.apply(_ticket_with_addresses()._replace(number=1))
    subject.apply(control_site.domain_ticket(number, domain, False))
    assert subject.verdicts == ["accepted", "accepted"], subject.message
    subject.verdicts.clear()


@behave.when('the operator applies ticket {number:d} that takes "{domain}" {direction}')
def apply_ticket(
    context: runner.Context, number: int, domain: str, direction: str
) -> None:
    in_service = direction == "back"
    context.subject.apply(control_site.domain_ticket(number, domain, in_service))


@behave.then('the operator gets the verdict "{verdict}"')
def check_verdict(context: runner.Context, verdict: str) -> None:
    assert context.subject.verdicts == [verdict], context.subject.message


@behave.when(
    'two operators apply tickets {first:d} and {second:d} for "{domain}" concurrently'
)
def apply_both(context: runner.Context, first: int, second: int, domain: str) -> None:
    network = virtual_network.VirtualNetwork(seed=1)
    network.platform.store = context.subject.store
    verdicts = context.subject.verdicts
    for number, in_service in ((first, True), (second, False)):
        ticket = control_site.domain_ticket(number, domain, in_service)
        network.platform.apply_ticket(
            ticket, lambda verdict: verdicts.append(verdict.status.value)
        )
    network.run_until(60_000)


@behave.then('the operators get the verdicts "{verdicts}"')
def check_both(context: runner.Context, verdicts: str) -> None:
    assert sorted(context.subject.verdicts) == verdicts.split(", "), (
        context.subject.verdicts
    )
