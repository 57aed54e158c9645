"""What a leading control box spends on each router, by the number of routers.

Runs the session controller and the codec in this process, without sockets, so that the figures
are those of the decisions and messages alone.
"""

from __future__ import annotations

import hashlib
import pathlib
import tempfile
import time

import attrs
import pykka

from croftpulley import clock as clocks
from croftpulley.bench import table
from croftpulley.controllers import (
    actors,
    agreement,
    configuration_parts,
    listing,
    replica_standing,
    sessions,
)
from croftpulley.core import (
    configuration_transfer,
    membership,
    replicated_state,
    retry_budget,
    submissions,
    versions,
)
from croftpulley.core.replication import messages
from croftpulley.core.replication import state as states
from croftpulley.storage import commands, replica_store
from croftpulley.transport import box_messages, json_codec

SIZES = ((12, 40), (50, 60), (79, 70), (200, 200), (790, 2000))
"""Routers and endpoints: of today, between, of the grown sites, between, of the two-year size."""
ROUNDS = 4
"""Rounds of renewals that are measured, after those in which the routers learn everything."""
STARTING_ROUNDS = 3
"""One to be registered, one to be leased, one to learn of all others."""
ROUTES = 120
FETCHED_ROUTES = (120, 1400, 2800)
"""Routes of the configurations that a router fetches in parts."""
_RENEW_INTERVAL_S = 0.25
_LOADED_ENDPOINTS = 20
"""How many endpoints a router has requests at, at one moment."""
LOG_LENGTHS = (100, 1000, 5000)
_LEASE_S = 3.0
_MARGIN_S = 0.2
_FAR_S = 1e9
_ADDRESS = "10.11.12.13:8080"


class _Applied(agreement.CommandLog):
    """Applies what is proposed at once, as if it were durable everywhere."""

    def __init__(self, routes: int) -> None:
        self._state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
        self._state.submissions.submit(submissions.Submission("bench", 1, _document(routes)))

    def propose(self, command: replicated_state.Command) -> pykka.Future[replicated_state.Result]:
        result: pykka.Future[replicated_state.Result] = pykka.ThreadingFuture()
        result.set(self._state.apply(command))
        return result

    def read(self) -> replicated_state.ReplicatedState:
        return self._state


@attrs.define
class _Spent:
    """Processor time and bytes of some renewals."""

    renewals: int = 0
    decide_s: float = 0.0
    codec_s: float = 0.0
    asked_bytes: int = 0
    answered_bytes: int = 0


class _Fleet:
    """A leading session controller and the routers that renew with it."""

    def __init__(self, routers: int, endpoints: int, routes: int) -> None:
        self._clock = clocks.ManualClock()
        listed = tuple(_endpoint(number) for number in range(endpoints))
        step = max(1, endpoints // _LOADED_ENDPOINTS)
        self._load = {each.name: 2 for each in listed[::step]}
        status = replica_standing.ReplicaStatus(
            states.Role.LEADER, term=1, leader_address=_ADDRESS, authority_until_s=_FAR_S
        )
        self._controller = sessions.SessionController(
            _Applied(routes),
            actors.View(status),
            actors.View(listing.Listing(versions.Versioned(listed), 0.0)),
            dict,
            lambda keys: None,
            _LEASE_S,
            _MARGIN_S,
            retry_budget.Allowance().counted_s,
            actors.View(()),
            self._clock,
        )
        self._known = {
            box: box_messages.BoxReportAnswer()
            for box in (
                membership.Box(f"router-{number}", "hall-a", _ADDRESS, _ADDRESS)
                for number in range(routers)
            )
        }

    def round(self) -> _Spent:
        """Have each router renew once, spread over one interval."""
        spent = _Spent()
        for box in self._known:
            self._renew(box, spent)
            self._clock.advance(_RENEW_INTERVAL_S / len(self._known))
        began_s = time.process_time()
        self._controller.handle(actors.Tick())
        spent.decide_s += time.process_time() - began_s
        return spent

    def _renew(self, box: membership.Box, spent: _Spent) -> None:
        known = self._known[box]
        report = json_codec.encode(self._report(box, known))
        began_s = time.process_time()
        decoded = json_codec.decode(report, box_messages.BoxReport)
        decoded_s = time.process_time()
        answer = self._controller.handle(decoded)
        decided_s = time.process_time()
        body = json_codec.encode(answer)
        spent.codec_s += decoded_s - began_s + time.process_time() - decided_s
        spent.decide_s += decided_s - decoded_s
        spent.renewals += 1
        spent.asked_bytes += len(report)
        spent.answered_bytes += len(body)
        self._known[box] = json_codec.decode(body, box_messages.BoxReportAnswer)

    def _report(
        self, box: membership.Box, known: box_messages.BoxReportAnswer
    ) -> box_messages.BoxReport:
        return box_messages.BoxReport(
            box=box,
            configuration_version=known.configuration_version,
            boxes_version=known.boxes_version,
            endpoints_version=known.endpoints_version,
            in_flight=self._load,
            reading_tokens=self._load,
            next_note=known.next_note,
            outcomes={name: (2, 0) for name in self._load},
        )


def run() -> list[table.Row]:
    """Measure every size, and restarts by the length of the log."""
    rows = [row for routers, endpoints in SIZES for row in measure(routers, endpoints)]
    rows += [row for routes in FETCHED_ROUTES for row in fetch(routes)]
    return rows + [restart(entries) for entries in LOG_LENGTHS]


def fetch(routes: int) -> list[table.Row]:
    """Measure how one router fetches a configuration from a control box that has packed it."""
    served = configuration_parts.ConfigurationParts(_Applied(routes))
    gathering = configuration_transfer.ConfigurationDownload()
    gathering.set_target(1)
    exchanged_bytes: list[int] = []
    # Packing and what the codec prepares once are not counted.
    first = served.answer(configuration_transfer.ConfigurationRequest(version=1, offset=0))
    json_codec.decode(json_codec.encode(first), configuration_transfer.ConfigurationPart)
    json_codec.decode(
        json_codec.encode(gathering.request()), configuration_transfer.ConfigurationRequest
    )
    spent_s = 0.0
    while (request := gathering.request()) is not None:
        asked = json_codec.encode(request)
        began_s = time.process_time()
        decoded = json_codec.decode(asked, configuration_transfer.ConfigurationRequest)
        body = json_codec.encode(served.answer(decoded))
        spent_s += time.process_time() - began_s
        exchanged_bytes.append(len(asked) + len(body))
        gathering.add_part(json_codec.decode(body, configuration_transfer.ConfigurationPart))
    key = f"fetch_{routes}_routes"
    return [
        table.Row(f"{key}_parts", len(exchanged_bytes)),
        table.Row(f"{key}_bytes", sum(exchanged_bytes)),
        table.Row(f"{key}_longest_bytes", max(exchanged_bytes)),
        table.Row(f"{key}_control_us", round(spent_s * 1e6, 1)),
    ]


def restart(entries: int) -> table.Row:
    """Time the reading of a log of so many submissions, and applying them, after a restart.

    A real replica writes its log anew after 128 entries or 2 MB; this is without that.
    """
    with tempfile.TemporaryDirectory() as folder:
        store = replica_store.ReplicaStore(pathlib.Path(folder))
        store.load(messages.Stored())
        for index in range(1, entries + 1):
            command = replicated_state.SubmitConfiguration(
                submissions.Submission("bench", index, "{}")
            )
            payload = commands.encode(command).decode()
            entry = messages.Entry(1, messages.EntryKind.COMMAND, payload, None)
            store.write(messages.Write(1, "bench", index, (entry,)))
        store.close()
        began_s = time.perf_counter()
        stored = store.load(messages.Stored())
        state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
        for entry in stored.entries:
            state.apply(commands.decode(entry.payload.encode()))
        spent_s = time.perf_counter() - began_s
        store.close()
    return table.Row(f"restart_{entries}_entries_ms", round(spent_s * 1000, 1))


def measure(routers: int, endpoints: int, routes: int = ROUTES) -> list[table.Row]:
    """Measure one size; the first rounds are those of a fleet that has just started."""
    fleet = _Fleet(routers, endpoints, routes)
    started = [fleet.round() for _ in range(STARTING_ROUNDS)]
    steady = [fleet.round() for _ in range(ROUNDS)]
    return [
        *_rows(f"start_{routers}_routers", started),
        *_rows(f"renew_{routers}_routers", steady),
    ]


def _rows(key: str, rounds: list[_Spent]) -> list[table.Row]:
    renewals = sum(each.renewals for each in rounds)
    per_s = 1 / _RENEW_INTERVAL_S
    decide_us = sum(each.decide_s for each in rounds) / renewals * 1e6
    codec_us = sum(each.codec_s for each in rounds) / renewals * 1e6
    asked = sum(each.asked_bytes for each in rounds) / renewals
    answered = sum(each.answered_bytes for each in rounds) / renewals
    routers = renewals / len(rounds)
    return [
        table.Row(f"{key}_decide_us_each", round(decide_us, 1)),
        table.Row(f"{key}_codec_us_each", round(codec_us, 1)),
        table.Row(f"{key}_leader_cores", round((decide_us + codec_us) * per_s * routers / 1e6, 4)),
        table.Row(f"{key}_bytes_per_s_per_router", round((asked + answered) * per_s)),
    ]


def _endpoint(number: int) -> membership.Endpoint:
    name = f"engine-{number:06}"
    return membership.Endpoint(
        name, membership.EndpointKind.ENGINE, "llm", _ADDRESS, "hall-a", name
    )


def _document(routes: int) -> str:
    """Return a text as long as a configuration with so many routes; its paths pack badly."""
    route = '{"name":"route-%06d","host":"desk.example","path_prefix":"/%s/","pool":"llm",'
    route += '"kind":"stream","time_limit_s":6.0,"objective_s":0.5,"attempts":2,"priority":1}'
    paths = [hashlib.sha256(b"%d" % number).hexdigest()[:32] for number in range(routes)]
    return "[" + ",".join(route % (number, path) for number, path in enumerate(paths)) + "]"
