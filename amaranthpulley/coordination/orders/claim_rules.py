"""Rules by which an operation changes the claim of its key.

An order may be sent only by the holder of a claim with the status `CLAIMED`. The key
can pass to another holder only after the current one has recorded `NOT_RUN`. It does so
only when it is certain that no target has run the order and that it will never send the
order again.
"""

from typing import Final, NamedTuple

from amaranthpulley.state.orders import claims

MAXIMUM_RELEASED: Final = 16

_Status = claims.ClaimStatus
_Kind = claims.VerdictKind


class Decision(NamedTuple):
    """The claim to write, or None when nothing changes, and the verdict."""

    changed: claims.Claim | None
    verdict: claims.Verdict


def decide(
    claim: claims.Claim | None, operation: claims.Operation, wall_ms: int
) -> Decision:
    """Return the verdict on an operation and the claim that it changes.

    Parameters
    ----------
    claim : Claim or None
        The current claim; None when the key is free or its claim has expired.
    operation : Operation
        The requested operation.
    wall_ms : int
        The current time, in milliseconds since the Unix epoch.
    """
    if operation.status is _Status.CLAIMED:
        return _decide_claim(claim, operation, wall_ms)
    return _decide_outcome(claim, operation, wall_ms)


def _decide_claim(
    claim: claims.Claim | None, operation: claims.Operation, wall_ms: int
) -> Decision:
    if claim is None:
        return _granted(_new_claim(operation, wall_ms))
    if operation.claim_id in claim.released:
        return _found(claim._replace(status=_Status.NOT_RUN))
    if claim.claim_id == operation.claim_id:
        return _found(claim) if claim.status is not _Status.CLAIMED else _granted(None)
    if claim.status is _Status.NOT_RUN:
        new_claim = _new_claim(operation, wall_ms)
        return _granted(new_claim._replace(released=claim.released))
    return _found(claim)


def _decide_outcome(
    claim: claims.Claim | None, operation: claims.Operation, wall_ms: int
) -> Decision:
    if claim is None:
        claim = _new_claim(operation, wall_ms)
        return _granted(_release(claim, operation))
    if claim.claim_id != operation.claim_id:
        if operation.status is not _Status.NOT_RUN:
            return _found(claim)
        # A daemon that gave the order up must not be granted the key by a late message.
        released = _release(claim, operation)
        return _granted(released if released != claim else None)
    if claim.status is operation.status:
        return _granted(None)
    if claim.status in (_Status.DONE, _Status.NOT_RUN):
        return _found(claim)
    settled = claim._replace(
        status=operation.status, result=operation.result, record=operation.record
    )
    return _granted(_release(settled, operation))


def _release(claim: claims.Claim, operation: claims.Operation) -> claims.Claim:
    if operation.status is not _Status.NOT_RUN or operation.claim_id in claim.released:
        return claim
    released = (*claim.released, operation.claim_id)[-MAXIMUM_RELEASED:]
    return claim._replace(released=released)


def _new_claim(operation: claims.Operation, wall_ms: int) -> claims.Claim:
    return claims.Claim(
        operation.key,
        operation.claim_id,
        operation.fingerprint,
        operation.status,
        operation.result,
        wall_ms,
        operation.record,
    )


def _granted(changed: claims.Claim | None) -> Decision:
    return Decision(changed, claims.Verdict(_Kind.GRANTED))


def _found(claim: claims.Claim) -> Decision:
    verdict = claims.Verdict(_Kind.FOUND, claim.status, claim.fingerprint, claim.result)
    return Decision(None, verdict)
