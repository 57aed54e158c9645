"""Forwarded requests over real sockets: what endpoints receive and what callers get."""

from __future__ import annotations

import copy
import http.client
import itertools
import socket

import orjson
import pytest

from conftest import wait_until
from croftpulley.fakes import faults, forwarded
from croftpulley.forwarding import ownership
from croftpulley.platform import names
from site_of_routers import DOCUMENT, HOST

Fault = faults.Fault
NAMES = names.VOCABULARY
SPOILT_HEADS = [Fault.SPOILT_LENGTH, Fault.SPOILT_NAME, Fault.NO_FIELD, Fault.NO_STATUS]
OF_THE_FLEET = [
    name for name, owner in ownership.owners(NAMES).items() if owner is ownership.Owner.FLEET
]


@pytest.fixture
def site(make_site):
    return make_site()


def only_run(site):
    ((name, run),) = site.runs()
    return name, run


class TestPassingOn:
    """Requests and responses are forwarded unchanged."""

    def test_method_path_query_and_body_arrive_as_sent(self, site):
        path = "/cancel/a%2Fb//c;d?q=%20x&&y="
        answer = site.ask("PUT", path, body=b"\x00\xff body")
        _, run = only_run(site)
        assert (run.method, run.path, run.body) == ("PUT", path, b"\x00\xff body")
        assert answer.status == 200
        assert answer.body == b"ran PUT " + path.encode() + b" \x00\xff body"
        assert answer.headers[NAMES.proof] == forwarded.PROOF
        assert answer.headers[NAMES.request_id] == "request-1"

    def test_end_to_end_headers_arrive_without_the_key(self, site):
        own = {
            "X-Custom": "a, b",
            "Connection": "X-Hop",
            "X-Hop": "1",
            "X-Forwarded-For": "1.2.3.4",
        }
        site.ask("GET", "/cancel/x", headers=own)
        _, run = only_run(site)
        assert run.headers["x-custom"] == "a, b"
        assert run.headers["host"] == HOST
        assert run.headers["x-forwarded-for"] == "1.2.3.4"
        assert run.headers[NAMES.workspace] == "clinic"
        assert "x-hop" not in run.headers
        assert NAMES.key not in run.headers
        assert "user-agent" not in run.headers
        assert 4000 < int(run.headers[NAMES.budget_ms]) <= 5000

    @pytest.mark.parametrize("header", OF_THE_FLEET)
    @pytest.mark.parametrize("spell", [str.lower, str.upper, str.title])
    def test_a_fleet_header_sent_by_the_caller_is_not_forwarded(self, site, header, spell):
        connection = site.connect()
        connection.putrequest("POST", "/stream/chat/x", skip_host=True)
        own = site.headers("r-1")
        for name, value in own.items():
            if name.lower() != header:
                connection.putheader(name, value)
        key = next((value for name, value in own.items() if name.lower() == header), "987654")
        # Duplicates of these headers are ambiguous, so such a request is refused.
        copies = 1 if header in (NAMES.key, NAMES.budget_ms) else 2
        for _ in range(copies):
            connection.putheader(spell(header), key)
        connection.putheader("Content-Length", "0")
        connection.endheaders()
        answer = connection.getresponse()
        text = answer.read()
        connection.close()
        assert answer.status == 200, text
        assert key not in only_run(site)[1].headers.get(header, "")

    def test_a_workspace_that_the_caller_claims_is_replaced(self, site):
        site.ask("GET", "/cancel/x", headers={NAMES.workspace: "another"})
        assert only_run(site)[1].headers[NAMES.workspace] == "clinic"

    def test_a_chunked_body_arrives_complete(self, site):
        connection = site.connect()
        blocks = iter([b"one ", b"two"])
        connection.request("POST", "/cancel/x", blocks, site.headers("r"), encode_chunked=True)
        assert connection.getresponse().status == 200
        connection.close()
        assert only_run(site)[1].body == b"one two"

    def test_a_long_body_arrives_complete(self, site):
        body = bytes(range(256)) * 700
        site.ask("POST", "/cancel/x", body=body)
        assert only_run(site)[1].body == body

    def test_all_events_arrive_and_the_callers_connection_stays_open(self, site):
        engine = site.engines[0]
        site.engines[1].faults.add(*[Fault.DECLINE] * 3)
        connection = site.connect()
        for number in range(2):
            connection.request("POST", "/stream/chat/x", b"", site.headers(f"r-{number}"))
            response = connection.getresponse()
            body = response.read()
            assert body.count(b"data:") == forwarded.EVENTS
        connection.close()
        assert len(engine.runs) + len(site.engines[1].runs) == 2

    def test_a_response_without_a_length_is_complete(self, site):
        for each in site.workers:
            each.faults.add(Fault.UNFRAMED)
        answer = site.ask("POST", "/confirm/x", body=b"b")
        assert (answer.status, answer.body) == (200, b"ran POST /confirm/x b")

    def test_bytes_after_a_complete_response_are_discarded(self, site):
        for each in site.workers:
            each.faults.add(Fault.SURPLUS)
        connection = site.connect()
        for number in range(2):
            connection.request("POST", "/confirm/x", b"b", site.headers(f"r-{number}"))
            assert connection.getresponse().read() == b"ran POST /confirm/x b"
        connection.close()


class TestRoutesAndKeys:
    """Which requests are routed and authorized."""

    @pytest.mark.parametrize(
        ("path", "headers", "status"),
        [
            ("/nowhere/x", {}, 404),
            ("/cancel", {}, 404),
            ("/cancel/x", {"Host": "other.example"}, 404),
            ("/cancel/x", {NAMES.key: ""}, 401),
            ("/cancel/x", {NAMES.key: "wrong"}, 401),
            ("/open/x", {NAMES.key: ""}, 200),
        ],
    )
    def test_unknown_routes_and_invalid_keys_are_refused(self, site, path, headers, status):
        assert site.ask("GET", path, headers=headers).status == status
        assert len(site.runs()) == (1 if status == 200 else 0)

    def test_a_request_past_its_time_limit_gets_504(self, site):
        for each in site.workers:
            each.faults.add(Fault.SILENT)
        answer = site.ask("GET", "/open/x")
        assert answer.status == 504
        assert answer.headers["x-run-state"] == "unknown"

    def test_a_new_configuration_replaces_the_routes(self, site):
        changed = copy.deepcopy(DOCUMENT)
        changed["version"] = 2
        changed["routes"] = changed["routes"][:3]
        assert site.operator.submit(changed).status == 200
        assert site.ask("GET", "/cancel/x").status == 404

    def test_a_removed_key_is_refused_once_the_change_is_acknowledged(self, site):
        changed = copy.deepcopy(DOCUMENT)
        changed["version"] = 2
        changed["tenants"][0]["apiKeys"] = ["another"]
        assert site.operator.submit(changed).status == 200
        assert site.ask("GET", "/cancel/x").status == 401
        assert site.ask("GET", "/cancel/x", headers={NAMES.key: "another"}).status == 200


class TestFailures:
    """Requests to endpoints that fail or decline them."""

    @pytest.mark.parametrize("fault", [Fault.DECLINE, Fault.MISDIRECTED])
    @pytest.mark.parametrize("path", ["/confirm/x", "/cancel/x", "/stream/chat/x"])
    def test_a_declined_request_runs_at_another_endpoint(self, site, fault, path):
        first = site.engines if path.startswith("/stream") else site.workers
        for each in first:
            each.faults.add(fault)
        first[0].faults.take()
        assert site.ask("POST", path).status == 200
        assert len(site.runs()) == 1

    @pytest.mark.parametrize("fault", [Fault.DECLINE, Fault.MISDIRECTED])
    def test_a_request_that_all_endpoints_decline_gets_503_and_has_not_run(self, site, fault):
        for each in site.workers:
            each.faults.add(fault)
        answer = site.ask("POST", "/confirm/x")
        assert answer.status == 503
        assert answer.headers["x-run-state"] == "not_run"
        assert float(answer.headers["retry-after"]) > 0
        assert answer.headers[NAMES.request_id] == "request-1"
        assert site.runs() == []

    @pytest.mark.parametrize(
        "fault",
        [
            Fault.RESET_AFTER_RUN,
            Fault.WRONG_LENGTH,
            Fault.NO_PROOF,
            Fault.WRONG_ID,
            Fault.UNMARKED_503,
            *SPOILT_HEADS,
        ],
    )
    def test_a_non_repeatable_request_runs_once_and_its_failure_is_not_signed(self, site, fault):
        for each in site.workers:
            each.faults.add(fault)
        answer = site.ask("POST", "/confirm/x")
        assert answer.status == 502
        assert answer.headers["x-run-state"] in ("unknown", "ran")
        assert NAMES.proof not in answer.headers
        assert len(site.runs()) == 1

    @pytest.mark.parametrize(
        "fault",
        [
            Fault.RESET_AFTER_RUN,
            Fault.RESET_BEFORE_ANSWER,
            Fault.WRONG_LENGTH,
            Fault.NO_PROOF,
            Fault.WRONG_ID,
            Fault.UNMARKED_503,
            Fault.ERROR,
            *SPOILT_HEADS,
        ],
    )
    def test_a_repeatable_request_is_answered_by_another_endpoint(self, site, fault):
        for each in site.workers:
            each.faults.add(fault)
        site.workers[0].faults.take()
        answer = site.ask("GET", "/cancel/x")
        assert (answer.status, answer.body) == (200, b"ran GET /cancel/x ")

    def test_an_endpoints_error_response_is_returned_unchanged(self, site):
        for each in site.workers:
            each.faults.add(Fault.ERROR)
        answer = site.ask("POST", "/confirm/x")
        assert (answer.status, answer.body) == (500, b"broken")
        assert answer.headers[NAMES.proof] == forwarded.PROOF

    def test_an_early_response_to_a_long_body_is_handled(self, site):
        for each in site.workers:
            each.faults.add(Fault.ANSWER_EARLY)
        site.workers[0].faults.take()
        answer = site.ask("POST", "/confirm/x", body=b"b" * 150_000)
        assert answer.status == 200
        assert len(site.runs()) == 1

    def test_no_request_fails_when_an_endpoint_has_stopped(self, site):
        site.workers[0].stop()
        answers = [site.ask("POST", "/confirm/x", request_id=f"r-{n}").status for n in range(8)]
        assert answers == [200] * 8


class TestStreams:
    """Event streams that break off, or whose head is spoilt."""

    @pytest.mark.parametrize("fault", SPOILT_HEADS)
    def test_a_stream_with_a_spoilt_head_is_none(self, site, fault):
        for each in site.engines:
            each.faults.add(fault)
        answer = site.ask("POST", "/stream/chat/x")
        assert answer.status == 502
        assert NAMES.proof not in answer.headers
        assert len(site.runs()) == 1

    @pytest.mark.parametrize("fault", SPOILT_HEADS)
    def test_a_resumable_stream_with_a_spoilt_head_comes_from_another_endpoint(self, site, fault):
        for each in site.engines:
            each.faults.add(fault)
        site.engines[0].faults.take()
        answer = site.ask("POST", "/stream/note/x")
        assert (answer.status, answer.whole) == (200, True)
        (run,) = site.engines[0].runs
        events = [forwarded.event_of(run, number) for number in range(1, forwarded.EVENTS + 1)]
        assert answer.body == b"".join(events)

    @pytest.mark.parametrize("fault", [Fault.HALF_EVENT, Fault.RESET_MID_STREAM])
    def test_a_resumable_stream_is_resumed_at_another_endpoint_in_the_same_response(
        self, site, fault
    ):
        for each in site.engines:
            each.faults.add(fault)
        site.engines[0].faults.take()
        answer = site.ask("POST", "/stream/note/x")
        events = (
            b"".join(
                forwarded.event_of(site.engines[0].runs[0], number)
                for number in range(1, forwarded.EVENTS + 1)
            )
            if site.engines[0].runs
            else b""
        )
        assert answer.whole
        assert answer.body == events

    @pytest.mark.parametrize("fault", [Fault.ERROR, Fault.EMPTY_ERROR, Fault.UNMARKED_503])
    def test_the_response_is_truncated_if_its_stream_cannot_be_resumed(self, site, fault):
        # Guards against reading an error response to the resumption as the rest of the stream: the
        # caller's response then ended as if it were complete.
        # Both engines share one queue of faults: the first one tried breaks off, the other fails.
        first, second = site.engines
        second.faults = first.faults
        first.faults.add(Fault.RESET_MID_STREAM, fault)
        answer = site.ask("POST", "/stream/note/x")
        begun, resumed = sorted(
            (run for _, run in site.runs()), key=lambda run: NAMES.last_event_id in run.headers
        )
        assert NAMES.last_event_id not in begun.headers
        assert resumed.headers[NAMES.last_event_id] == "1"
        assert not answer.whole
        assert answer.body == forwarded.event_of(begun, 1)

    @pytest.mark.parametrize("fault", [Fault.HALF_EVENT, Fault.RESET_MID_STREAM])
    def test_a_stream_that_is_not_resumable_is_truncated_and_runs_once(self, site, fault):
        for each in site.engines:
            each.faults.add(fault)
        answer = site.ask("POST", "/stream/chat/x")
        assert not answer.whole
        assert answer.body.count(b"\n\n") == 1
        assert len(site.runs()) == 1

    def test_the_callers_last_event_id_is_forwarded(self, site):
        state = site.routers[0]._view
        wait_until(
            lambda: state.get().settled is not None and state.get().mixed_pools() == [],
            "each pool has a single version",
        )
        answer = site.ask("POST", "/stream/note/x", headers={"Last-Event-ID": "3"})
        assert answer.body.startswith(b"id: 4\n")


def test_a_running_request_is_cancelled_when_its_caller_disconnects(site):
    for each in site.workers:
        each.faults.add(Fault.SILENT)
    connection = site.connect()
    connection.request("POST", "/confirm/x", b"", site.headers("gone"))
    wait_until(lambda: site.runs(), "the request runs")
    connection.close()
    wait_until(
        lambda: any("gone" in each.cancelled for each in site.workers), "the request is cancelled"
    )


def test_a_paused_stream_is_cancelled_when_its_caller_disconnects(make_site):
    site = make_site(routers=1, engines=1, silence_s=60.0)
    (engine,) = site.engines
    engine.may_go_on.clear()
    connection = site.connect()
    connection.request("POST", "/stream/chat/x", b"", site.headers("gone"))
    wait_until(lambda: engine.running, "the stream runs")
    connection.close()
    wait_until(lambda: not site.routers[0]._streams.open_count(), "the router has ended it")
    engine._loop.call_soon_threadsafe(engine.may_go_on.set)


class TestWire:
    """Malformed, ambiguous and oversized requests."""

    @pytest.mark.parametrize(
        "head",
        [
            b"POST /cancel/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"POST /cancel/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n",
            b"GET /cancel/x HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n folded\r\n\r\n",
            b"GET /cancel/x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
            b"GET /cancel/x HTTP/1.1\r\nHost: h\r\ncroftpulley-credential: a\r\n"
            b"croftpulley-credential: b\r\n\r\n",
            b"POST /cancel/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"GET http://h/cancel/x HTTP/1.1\r\nHost: h\r\n\r\n",
        ],
    )
    def test_an_ambiguous_request_is_refused_and_nothing_runs(self, site, head):
        assert status_of(raw(site, head)) == b"400"
        assert site.runs() == []

    @pytest.mark.parametrize(
        ("head", "status"),
        [
            (b"GET /cancel/x HTTP/1.1\r\nHost: h\r\nX-A: %b\r\n\r\n" % (b"a" * 5000), b"431"),
            (b"POST /cancel/x HTTP/1.1\r\nHost: h\r\nContent-Length: 200001\r\n\r\n", b"413"),
        ],
    )
    def test_configured_size_limits_are_enforced(self, site, head, status):
        wait_until(lambda: status_of(raw(site, head)) == status, "limits are in use")

    def test_a_body_of_exactly_the_limit_is_accepted(self, site):
        assert site.ask("POST", "/cancel/x", body=b"b" * 200_000).status == 200


def raw(site, head):
    """Send bytes and return the first data received, empty after a timeout."""
    host, _, port = site.routers[0].caller_address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=1) as sock:
        sock.sendall(head)
        try:
            return sock.recv(65_536)
        except TimeoutError:
            # The limits are not in use yet, and the server still waits for the body.
            return b""


def status_of(answer):
    return answer.split(b" ")[1] if answer else b""


class TestHoldingOff:
    """An endpoint that fails more requests than its peers is held off."""

    def test_failures_at_two_routers_are_summed_and_both_hold_off_the_endpoint(self, make_site):
        site = make_site(workers=3, routers=2)
        bad = site.workers[0]
        for _ in range(500):
            bad.faults.add(Fault.ERROR)
        numbers = itertools.count()

        def ask(router):
            address = site.routers[router].caller_address
            number = next(numbers)
            return site.ask("POST", "/confirm/x", address=address, request_id=f"r-{number}")

        def is_held_off():
            ask(0)
            ask(1)
            return all(bad.incarnation in held_off(each) for each in site.routers)

        wait_until(is_held_off, "both routers hold it off")
        before = len(bad.runs)
        statuses = [ask(number % 2).status for number in range(20)]
        assert statuses == [200] * 20
        assert len(bad.runs) == before


def held_off(router):
    host, _, port = router.metrics_address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    connection.request("GET", "/v1/status")
    return orjson.loads(connection.getresponse().read())["held_off"]


class TestPrompts:
    """Placement of requests with a shared prompt prefix."""

    @staticmethod
    def ask(site, number, prompt="first:900,rest:600,own:10", router=0):
        address = site.routers[router].caller_address
        headers = {NAMES.prompt_parts: prompt}
        return site.ask(
            "POST", "/stream/chat/x", address=address, request_id=f"r-{number}", headers=headers
        )

    def test_all_routers_send_a_shared_prefix_to_the_same_engine(self, make_site):
        site = make_site(engines=4, routers=2)
        for number in range(8):
            assert self.ask(site, number, router=number % 2).status == 200
        assert sorted(len(each.runs) for each in site.engines) == [0, 0, 0, 8]

    def test_an_engine_without_the_prefix_gets_the_address_of_one_that_has_it(self, make_site):
        site = make_site(engines=2)
        self.ask(site, 0)
        first = next(each for each in site.engines if each.runs)
        other = next(each for each in site.engines if not each.runs)
        site.list_endpoints(leaving=(first.settings.name,))
        wait_until(lambda: self.ask(site, len(site.runs())) and other.runs, "the other is used")
        assert other.runs[0].headers[NAMES.cache_from] == first.address
        self.ask(site, 100)
        assert NAMES.cache_from not in other.runs[-1].headers

    def test_a_cache_address_sent_by_the_caller_is_not_forwarded(self, site):
        site.ask("POST", "/stream/chat/x", headers={NAMES.cache_from: "10.0.0.1:1"})
        assert NAMES.cache_from not in only_run(site)[1].headers
