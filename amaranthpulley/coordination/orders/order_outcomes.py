"""Outcomes of orders other than a target's reply."""

from amaranthpulley.state import requests


def unknown() -> requests.OrderUnknown:
    """Return the outcome of an order that may have run."""
    return requests.OrderUnknown(
        "the order may have run and its outcome is not known; repeat it with the same "
        "idempotency key to learn it"
    )


def not_claimed() -> requests.Refusal:
    """Return the refusal of an order whose claim is not known to be written."""
    return requests.Refusal(
        requests.RefusalCode.STORE_UNAVAILABLE,
        "this request ran nothing, as it could not be claimed; repeat it with the "
        "same idempotency key",
        not_run=True,
    )


def no_target() -> requests.Refusal:
    """Return the refusal of an order that no target accepts."""
    return requests.Refusal(
        requests.RefusalCode.NO_TARGET,
        "no target takes orders now; repeat with the same idempotency key",
        not_run=True,
    )


def deadline_passed() -> requests.Refusal:
    """Return the refusal of an order that was not sent in time."""
    return requests.Refusal(
        requests.RefusalCode.DEADLINE_PASSED,
        "the deadline passed before the order could be sent; repeat with the same "
        "idempotency key",
        not_run=True,
    )


def key_reused() -> requests.Refusal:
    """Return the refusal of an order whose key was used for another order."""
    return requests.Refusal(
        requests.RefusalCode.KEY_REUSED,
        "another order used this idempotency key; choose a new key",
        not_run=True,
    )
