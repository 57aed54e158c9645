"""Decides what to do with a request after an endpoint's response."""

from __future__ import annotations

import enum

import attrs

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that tell a caller that the request has not run and never will."""
MISDIRECTED = 421
"""Status for a request meant for another endpoint at this address; it was not run."""
FIRST_SERVER_ERROR = 500
"""Lowest status of a server error."""
SUCCESS_STATUSES = range(200, 300)
"""Statuses of requests that were carried out."""


class Verdict(enum.Enum):
    """What to do next."""

    PASS_ON = "pass_on"
    """Forward the response to the caller unchanged."""
    NOT_RUN = "not_run"
    """The endpoint did not run the request: any request may be sent to another endpoint."""
    FAILED = "failed"
    """The endpoint ran the request or may have: only one that may run twice goes to another
    endpoint."""
    MISLEADING = "misleading"
    """As `FAILED`, and the response must not be forwarded, as it would be untrue."""


@attrs.frozen(kw_only=True)
class ResponseFacts:
    """What the head of a response says.

    ``declined`` and ``has_proof`` tell whether the endpoint states that it did not run, or ran, the
    request; ``id_matches`` whether the response names the id of this attempt.
    """

    status: int
    declined: bool
    has_proof: bool
    id_matches: bool


def classify_response(answer: ResponseFacts) -> Verdict:
    """Return the verdict on a response, given its head.

    >>> facts = ResponseFacts(status=200, declined=False, has_proof=True, id_matches=True)
    >>> classify_response(facts).name
    'PASS_ON'
    >>> classify_response(attrs.evolve(facts, status=503, declined=True, has_proof=False)).name
    'NOT_RUN'
    >>> classify_response(attrs.evolve(facts, status=503)).name
    'MISLEADING'
    """
    if answer.declined or answer.status == MISDIRECTED:
        return Verdict.NOT_RUN
    if not answer.id_matches or answer.status in NOT_RUN_STATUSES:
        return Verdict.MISLEADING
    if answer.status in SUCCESS_STATUSES:
        return Verdict.PASS_ON if answer.has_proof else Verdict.MISLEADING
    return Verdict.FAILED if answer.status >= FIRST_SERVER_ERROR else Verdict.PASS_ON
