"""Streams of pools whose endpoints have two versions of their software side by side.

What users saw: streams held events from two versions, which do not fit together; 6 of them on a day
of theirs. One that broke off after 90 ms went on 2 ms later at an engine of another version, and
its caller got one whole answer. The cause: nobody read the version, neither where a stream went on
within one answer nor where its caller took it up, at whichever router.
"""

from __future__ import annotations

import http.client
import itertools

import attrs
import pytest

import cut_links
import held_streams
import site_of_routers as sites
from conftest import wait_until
from croftpulley.fakes import faults, forwarded

_NUMBERS = itertools.count()
NAMES = sites.names.VOCABULARY
STREAMS = 24
MOST_REFUSED = STREAMS // 10
"""A taken up stream may be refused, seldom; it may never be mixed."""


@attrs.define
class Stream(held_streams.Stream):
    """With how often it was refused."""

    refused: int = 0


@pytest.fixture
def site(make_site, links):
    made = make_site(routers=3, engines=6, workers=2, dialers=links, silence_s=1.0)
    give_versions(made, ["v1", "v1", "v1", "v2", "v2", "v2"])
    return made


def give_versions(site, versions):
    """Have the engines be of these versions, and wait until all routers know."""
    for each, version in zip(site.engines, versions, strict=True):
        each.version = version
    site.list_endpoints()
    wait_until_known(site)


def wait_until_known(site):
    listed = {each.name: each.version for each in site.instances.listed if each.version}

    def know():
        for router in site.routers:
            state = router._view.get()
            known = {each.name: each.version for each in state.endpoints if each.pool == "llm"}
            if known != listed or len(state.boxes) != len(site.routers):
                return False
        return True

    wait_until(know, "all routers know the list and each other")


def begin(site, router, path="/stream/note/x", events=2):
    """Begin a stream and leave after some events."""
    stream = Stream(f"request/{next(_NUMBERS)}", path)
    read_on(site, router, stream, stream.first_id, {}, events)
    return stream


def take_up(site, router, stream, events=forwarded.EVENTS):
    """Have the caller take a stream up behind the last event that it holds."""
    given = {NAMES.last_event_id: str(stream.numbers[-1]), NAMES.resumes: stream.first_id}
    read_on(site, router, stream, f"request/{next(_NUMBERS)}", given, events)


def read_on(site, router, stream, request_id, given, events):
    connection = site.connect(router.caller_address)
    try:
        connection.request("GET", stream.path, None, site.headers(request_id, given))
        response = connection.getresponse()
        if response.status != 200:
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 0
            stream.refused += 1
            return
        take_events(response, stream, events)
    finally:
        connection.close()


def take_events(response, stream, events):
    try:
        stream.read(response, events)
    except (http.client.HTTPException, OSError):
        # The answer broke off.
        return


def is_mixed(stream):
    return len(stream.writers) > 1


def test_a_stream_that_goes_on_within_its_answer_stays_at_its_version(site):
    """Streams that held events of two versions."""
    streams = []
    for _ in range(STREAMS):
        for each in site.engines:
            each.faults.add(faults.Fault.RESET_MID_STREAM)
        streams.append(begin(site, site.routers[0], events=forwarded.EVENTS))
    assert [each for each in streams if is_mixed(each)] == []
    assert [each for each in streams if len(each.numbers) < 2] == []


def test_a_stream_whose_version_has_no_endpoint_left_breaks_off(site):
    give_versions(site, ["v1", "v2", "v2", "v2", "v2", "v2"])
    site.engines[0].faults.add(faults.Fault.RESET_MID_STREAM)
    streams = []
    while not any(each.writers == {"v1"} for each in streams):
        streams.append(begin(site, site.routers[0], events=forwarded.EVENTS))
    assert [each for each in streams if is_mixed(each)] == []
    assert [each.is_whole for each in streams if each.writers == {"v1"}] == [False]


def test_a_stream_that_its_caller_takes_up_at_another_router_stays_at_its_version(site):
    streams = [begin(site, site.routers[n % 3]) for n in range(STREAMS)]
    for n, each in enumerate(streams):
        take_up(site, site.routers[(n + 1) % 3], each)
    assert [each for each in streams if is_mixed(each)] == []
    assert sum(not each.is_whole for each in streams) <= MOST_REFUSED


def test_a_stream_that_its_caller_takes_up_three_times_stays_at_its_version(site):
    streams = [begin(site, site.routers[n % 3], events=1) for n in range(STREAMS)]
    for tries, n in itertools.product((1, 2, 3), range(STREAMS)):
        take_up(site, site.routers[(n + tries) % 3], streams[n], events=1)
    assert [each for each in streams if is_mixed(each)] == []
    assert sum(len(each.numbers) < 4 for each in streams) <= MOST_REFUSED


def test_a_stream_whose_router_has_ended_stays_at_its_version(site):
    streams = [begin(site, site.routers[0]) for _ in range(STREAMS)]
    site.routers[0].stop()
    for n, each in enumerate(streams):
        take_up(site, site.routers[1 + n % 2], each)
    assert [each for each in streams if is_mixed(each)] == []
    assert sum(not each.is_whole for each in streams) <= STREAMS // 2


def test_a_stream_taken_up_at_a_router_that_reaches_no_engine_stays_at_its_version(site, links):
    streams = [begin(site, site.routers[1]) for _ in range(STREAMS)]
    links[0].cut = cut_links.Cut.REFUSED
    for each in streams:
        take_up(site, site.routers[0], each)
    assert [each for each in streams if is_mixed(each)] == []
    assert sum(not each.is_whole for each in streams) <= MOST_REFUSED


def test_a_stream_is_taken_up_without_control_at_its_version(site):
    streams = [begin(site, site.routers[n % 3]) for n in range(STREAMS)]
    site.stop_control(0)
    for n, each in enumerate(streams):
        take_up(site, site.routers[(n + 1) % 3], each)
    assert [each for each in streams if is_mixed(each)] == []


def split_over_two_services(site):
    """Have a route spread its streams over two services, three engines each; return its path."""
    route = next(each for each in sites.DOCUMENT["routes"] if each["name"] == "note")
    shares = [{"service": name, "weight": 50} for name in ("llm", "llm-next")]
    split = {
        **{name: value for name, value in route.items() if name != "service"},
        "name": "split",
        "pathPrefix": "/stream/split/",
        "trafficSplit": shares,
    }
    document = {
        **sites.DOCUMENT,
        "version": 2,
        "routes": [*sites.DOCUMENT["routes"], split],
        "services": [*sites.DOCUMENT["services"], {"name": "llm-next"}],
    }
    moved = {each.settings.name for each in site.engines if each.version == "v2"}
    site.instances.listed = tuple(
        attrs.evolve(each, pool="llm-next") if each.name in moved else each
        for each in site.instances.listed
    )
    assert site.operator.submit(document).status == 200

    def know():
        views = [router._view.get() for router in site.routers]
        pools = [[each.pool for each in state.endpoints] for state in views]
        versions = {state.configuration.version for state in views}
        return versions == {2} and {names.count("llm-next") for names in pools} == {3}

    wait_until(know, "all routers know the split")
    return "/stream/split/x"


def test_a_stream_of_a_split_route_is_taken_up_in_the_service_that_began_it(site):
    path = split_over_two_services(site)
    streams = [begin(site, site.routers[n % 3], path) for n in range(STREAMS)]
    for n, each in enumerate(streams):
        take_up(site, site.routers[(n + 1) % 3], each)
    assert {name for each in streams for name in each.writers} == {"v1", "v2"}
    assert [each for each in streams if is_mixed(each)] == []
    assert sum(not each.is_whole for each in streams) <= MOST_REFUSED


@pytest.fixture
def plain_site(make_site, links):
    made = make_site(routers=3, engines=2, workers=2, dialers=links, silence_s=1.0)
    for each in made.engines:
        each.version = "v1"
    made.list_endpoints()
    wait_until_settled(made)
    return made


def wait_until_settled(site):
    wait_until_known(site)

    def are_settled():
        views = [router._view.get() for router in site.routers]
        now_s = site.routers[0]._clock.monotonic_s()
        return all(state.settled_version("llm", now_s) is not None for state in views)

    wait_until(are_settled, "every router knows that the pool has one version")


def test_a_pool_of_one_version_needs_no_box_told(plain_site):
    for n in range(STREAMS):
        begin(plain_site, plain_site.routers[n % 3])
    assert [list(router._origins.all_announced()) for router in plain_site.routers] == [[], [], []]


def test_in_a_pool_of_one_version_a_stream_that_nobody_remembers_is_taken_up(plain_site):
    stream = begin(plain_site, plain_site.routers[0])
    plain_site.stop_all_processes()
    plain_site.start_all_processes()
    wait_until(plain_site.is_ready, "every router is ready")
    wait_until_settled(plain_site)
    take_up(plain_site, plain_site.routers[1], stream)
    assert stream.is_whole


def test_a_stream_that_began_before_another_version_came_is_taken_up(plain_site):
    streams = [begin(plain_site, plain_site.routers[0]) for _ in range(STREAMS)]
    newer = plain_site.start_engine("engine-newer")
    newer.version = "v2"
    plain_site.engines.append(newer)
    plain_site.list_endpoints()
    wait_until_known(plain_site)
    wait_until(lambda: not plain_site.routers[0]._origins._origins._unannounced, "others are told")
    plain_site.routers[0].stop()
    for n, each in enumerate(streams):
        take_up(plain_site, plain_site.routers[1 + n % 2], each)
    assert {name for each in streams for name in each.writers} == {"v1"}
    assert sum(not each.is_whole for each in streams) <= MOST_REFUSED


def test_what_nobody_remembers_is_refused_and_not_run(site):
    stream = Stream("request/never", "/stream/note/x", [2], {"v1"})
    before = len(site.runs())
    take_up(site, site.routers[0], stream)
    assert (stream.refused, len(site.runs())) == (1, before)


def test_after_all_processes_were_lost_a_stream_of_two_versions_is_refused(site):
    stream = begin(site, site.routers[0])
    site.stop_all_processes()
    site.start_all_processes()
    wait_until(site.is_ready, "every router is ready")
    wait_until_known(site)
    take_up(site, site.routers[1], stream)
    assert stream.refused == 1


def test_a_caller_that_names_no_earlier_request_is_refused(site):
    stream = begin(site, site.routers[0])
    given = {NAMES.last_event_id: str(stream.numbers[-1])}
    read_on(site, site.routers[0], stream, "request/names-none", given, 1)
    assert stream.refused == 1


@pytest.mark.parametrize(
    "resumes", ["", "x" * 500, "a, b", "\N{SNOWMAN}".encode().decode("latin-1")]
)
def test_whatever_a_caller_names_its_request_gets_an_answer(site, resumes):
    stream = Stream("request/odd", "/stream/note/x")
    given = {NAMES.last_event_id: "2", NAMES.resumes: resumes}
    read_on(site, site.routers[0], stream, f"request/{next(_NUMBERS)}", given, 1)
    assert stream.refused == 1


def test_an_id_alone_takes_no_stream_up(site):
    """Without the event to go on behind, the answer begins with the first one."""
    stream = Stream("request/none", "/stream/note/x")
    read_on(site, site.routers[0], stream, "request/fresh", {NAMES.resumes: "request/none"}, 5)
    assert stream.is_whole


def test_the_endpoint_is_told_what_the_caller_takes_up(site):
    stream = begin(site, site.routers[0])
    take_up(site, site.routers[1], stream)
    (run,) = [each for _, each in site.runs() if NAMES.last_event_id in each.headers]
    assert run.headers[NAMES.resumes] == stream.first_id
    assert run.headers[NAMES.last_event_id] == "2"


def test_an_id_that_two_streams_had_takes_neither_up(site):
    streams = []
    while {name for each in streams for name in each.writers} != {"v1", "v2"}:
        stream = Stream("request/twice", "/stream/note/x")
        read_on(site, site.routers[0], stream, stream.first_id, {}, 2)
        streams.append(stream)
    take_up(site, site.routers[1], streams[-1])
    assert streams[-1].refused == 1


def test_streams_are_taken_up_after_a_planned_stop_of_their_router_and_of_all_that_were_told(site):
    streams = [begin(site, site.routers[0]) for _ in range(STREAMS)]
    for position, router in enumerate(site.routers):
        router.drain()
        router.stop()
        site.routers[position] = site.start_router(f"router-{position}-again")
        wait_until(site.is_ready, "the new one is ready")
        wait_until(lambda: knows_only(site, site.routers), "it knows the others")
        wait_until(lambda: remembered(site, streams) > 1, "it was told")
    for n, each in enumerate(streams):
        take_up(site, site.routers[n % 3], each)
    assert [each for each in streams if is_mixed(each)] == []
    assert sum(not each.is_whole for each in streams) <= MOST_REFUSED


def knows_only(site, routers):
    names = {router._settings.box for router in routers}
    return all({box.name for box in router._view.get().boxes} == names for router in site.routers)


def remembered(site, streams):
    """Return by how many routers each of the streams is remembered, at least."""
    ids = {each.first_id for each in streams}
    found = [
        told.stream.request_id
        for router in site.routers
        for told in router._origins.all_announced()
    ]
    return min(found.count(each) for each in ids)
