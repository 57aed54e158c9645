"""The promises of docs/PROMISES.md, checked on what callers, operators and endpoints saw."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping, Sequence

import shared_budget
from croftpulley.core import retry_budget
from croftpulley.fakes import forwarded
from soak import fleet, records

End = records.End
Runs = Mapping[str, Sequence[str]]
"""Where each request ran, by its id."""
_NOT_RUN = (408, 421, 429, 503)
"""Statuses that promise that the request has not run and never will."""
_WRITTEN_BY = re.compile(rb" (v\d+)\n")
"""What endpoints of a version end the data of their events with."""
_NOT_KNOWN = (401, 404)
_UNREPEATABLE = ("once", "chat")


def broken(book: records.Book, runs: Runs) -> list[str]:
    """Return a line for each promise that was not kept."""
    return [
        *_run_more_than_once(book, runs),
        *_not_run_but_ran(book, runs),
        *_wrong_answers(book),
        *_mixed_answers(book),
        *_outside_of_any_configuration(book, runs),
        *_older_read_back(book),
        *_late_acceptances(book),
        *_planned_stops(book),
    ]


def _run_more_than_once(book: records.Book, runs: Runs) -> Iterator[str]:
    for each in book.asked:
        ran = runs.get(each.request_id, ())
        if each.kind in _UNREPEATABLE and len(ran) > 1:
            yield f"{each.request_id} ({each.kind}) ran at {list(ran)}"


def _not_run_but_ran(book: records.Book, runs: Runs) -> Iterator[str]:
    for each in book.asked:
        ran = runs.get(each.request_id, ())
        told = each.end is End.WHOLE and each.status in _NOT_RUN
        if told and each.kind in _UNREPEATABLE and ran:
            yield f"{each.request_id} was told {each.status} and ran at {list(ran)}"


def _wrong_answers(book: records.Book) -> Iterator[str]:
    for each in book.asked:
        if each.status != 200:
            continue
        expected = expected_body(each)
        if each.echoed_id != each.request_id:
            yield f"{each.request_id} got the answer of {each.echoed_id!r}"
        elif not each.has_proof:
            yield f"{each.request_id} got a success without proof"
        elif each.end is End.WHOLE and _unmarked(each.body) != expected:
            yield f"{each.request_id} got {each.body!r} as whole, expected {expected!r}"
        elif not expected.startswith(_unmarked(each.body)):
            yield f"{each.request_id} got {each.body!r}, no beginning of {expected!r}"


def _unmarked(body: bytes) -> bytes:
    """Return an answer without the versions that wrote it."""
    return _WRITTEN_BY.sub(b"\n", body)


def _mixed_answers(book: records.Book) -> Iterator[str]:
    for each in book.asked:
        versions = set(_WRITTEN_BY.findall(each.body))
        if len(versions) > 1:
            yield f"{each.request_id} holds events of {sorted(versions)}"


def expected_body(asked: records.Asked) -> bytes:
    """Return the whole answer of an endpoint."""
    path = fleet.path_of(asked.route_version, asked.kind, asked.request_id)
    if asked.kind not in fleet.STREAMS:
        return f"ran POST {path} body".encode()
    numbers = range(1, forwarded.EVENTS + 1)
    return b"".join(f"id: {number}\ndata: {path} {number}\n\n".encode() for number in numbers)


def _outside_of_any_configuration(book: records.Book, runs: Runs) -> Iterator[str]:
    """Find what no configuration allows that may have held between sending and end."""
    for each in book.asked:
        # What came to no end may have run later, under a version that was submitted since.
        ended = each.end is End.WHOLE
        newest = each.submitted_version if ended else book.submitted_version
        allowed = [_allows(version, each) for version in range(each.accepted_version, newest + 1)]
        if runs.get(each.request_id) and not any(allowed):
            yield f"{_described(each)} ran"
        if each.status in _NOT_KNOWN and all(allowed):
            yield f"{_described(each)} was told {each.status}"


def _allows(version: int, asked: records.Asked) -> bool:
    live = (version - 1, version)
    return asked.route_version in live and asked.key_version in live


def _described(asked: records.Asked) -> str:
    return (
        f"{asked.request_id} at router-{asked.router} by route {asked.route_version} with key "
        f"{asked.key_version}, versions {asked.accepted_version} to {asked.submitted_version},"
    )


def _older_read_back(book: records.Book) -> Iterator[str]:
    for each in book.reads:
        if each.version is not None and each.version < each.accepted_version:
            yield f"version {each.version} was read back after {each.accepted_version}"


def _late_acceptances(book: records.Book) -> Iterator[str]:
    for each in book.acceptances:
        if each.took_s is None or each.took_s > each.limit_s:
            took = "given up" if each.took_s is None else f"took {each.took_s:.1f} s"
            yield (
                f"version {each.version} was not accepted and read back "
                f"within {each.limit_s:.0f} s ({took})"
            )


def _planned_stops(book: records.Book) -> Iterator[str]:
    for program, code in book.exits:
        if code != 0:
            yield f"{program} ended a planned stop with {code}"


def repeats_beyond_the_budget(
    book: records.Book,
    arrivals: Mapping[str, Sequence[forwarded.Arrival]],
    allowance: retry_budget.Allowance,
) -> list[str]:
    """Return the worst window of each pool whose endpoints got more repeats than all may send.

    ``arrivals`` are those at all endpoints of each pool, whether or not they ran the request.
    """
    found = []
    for pool, arrived in sorted(arrivals.items()):
        requests_s = [each.sent_s for each in book.asked if fleet.pool_of(each.kind) == pool]
        excess = shared_budget.worst_excess(allowance, requests_s, beyond_the_first(arrived))
        if excess is not None:
            found.append(
                f"{pool} got {excess.repeats} repeats within {allowance.window_s} s "
                f"from {excess.from_s:.3f}, {excess.allowed:.1f} are allowed"
            )
    return found


def beyond_the_first(arrived: Sequence[forwarded.Arrival]) -> list[float]:
    """Return the times of all arrivals but the first of each request."""
    seen = set()
    repeats_s = []
    for each in sorted(arrived, key=lambda one: one.at_s):
        if each.request_id in seen:
            repeats_s.append(each.at_s)
        seen.add(each.request_id)
    return repeats_s


def lost(book: records.Book, runs: Runs) -> list[str]:
    """Return the requests that ran and whose answer did not come whole.

    Holds where all that happened was planned: stops, reloads, changes, endpoints that leave.
    """
    return [
        f"{each.request_id} ({each.kind}) at router-{each.router} ran and ended as {each.end.value}"
        for each in book.asked
        if each.end is not End.WHOLE and runs.get(each.request_id)
    ]
