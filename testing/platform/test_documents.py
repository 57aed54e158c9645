"""The platform's form of a configuration, and what is invalid in it."""

from __future__ import annotations

import copy

import orjson
import pytest

from croftpulley import codes, errors
from croftpulley.platform import documents
from croftpulley.settings import fleet
from site_of_routers import DOCUMENT, HOST


def parse(document):
    return documents.PlatformDocuments().parse(orjson.dumps(document).decode())


def changed(change):
    document = copy.deepcopy(DOCUMENT)
    change(document)
    return document


def test_a_route_is_decoded():
    route = parse(DOCUMENT).routes[1]
    assert route == fleet.Route(
        name="note",
        host=HOST,
        path_prefix="/stream/note/",
        kind=fleet.RouteKind.STREAM,
        shares=(fleet.Share(pool="llm"),),
        time_limit_ms=10_000,
        objective_ms=10_000,
        gap_ms=10_000,
        attempts=2,
        sticky=True,
        resumable=True,
    )


def test_workspaces_and_limits_are_decoded():
    configuration = parse(DOCUMENT)
    assert configuration.workspaces == (
        fleet.Workspace(name="clinic", keys=("a-key",), priority=1),
    )
    assert configuration.limits == fleet.WireLimits(
        header_size_bytes=4096, body_size_bytes=200_000, header_wait_ms=3000, idle_ms=15_000
    )


def test_weights_keep_their_proportion_also_as_fractions():
    def split(document):
        parts = [{"service": "llm", "weight": 0.9}, {"service": "desk", "weight": 0.1}]
        document["routes"][0]["trafficSplit"] = parts
        del document["routes"][0]["service"]

    shares = parse(changed(split)).routes[0].shares
    assert shares == (fleet.Share(pool="llm", weight=900), fleet.Share(pool="desk", weight=100))


def test_unknown_fields_are_passed_over():
    parse(changed(lambda document: document.update(novelty={"a": 1})))


def route_field(name, value):
    return lambda document: document["routes"][0].update({name: value})


def second_place(document):
    document["routes"][1].update(pathPrefix="/stream/chat/")


def no_weight(document):
    document["routes"][0]["trafficSplit"] = [{"service": "llm", "weight": 0}]


def shared_key(document):
    document["tenants"].append({"name": "other", "apiKeys": ["a-key"]})


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        (route_field("service", "nowhere"), "pool 'nowhere'"),
        (second_place, "another route has"),
        (no_weight, "weights that sum to 0"),
        (route_field("timeoutMs", 0), "got 0"),
        (route_field("timeoutMs", "soon"), "expected a number"),
        (route_field("pathPrefix", "no-slash"), "begins and ends with a slash"),
        (route_field("kind", "novel"), "got kind 'novel'"),
        (route_field("name", None), "expected a string"),
        (shared_key, "workspace 'clinic' has too"),
        (lambda document: document.update(routes={}), "expected a list"),
        (lambda document: document.pop("version"), "expected a number"),
    ],
)
def test_an_invalid_document_is_refused_with_place_and_reason(change, problem):
    with pytest.raises(errors.CroftpulleyError, match=problem) as caught:
        parse(changed(change))
    assert caught.value.code is codes.ResultCode.CONFIGURATION_INVALID


@pytest.mark.parametrize("text", ["", "{", "[]", '"x"', '{"version": 1'])
def test_a_document_that_is_cut_short_is_refused(text):
    with pytest.raises(errors.CroftpulleyError) as caught:
        documents.PlatformDocuments().parse(text)
    assert caught.value.code is codes.ResultCode.CONFIGURATION_INVALID


def test_operators_programs_stand_beside_the_platforms_fields():
    arms = [{"name": "spread", "weight": 2, "score": "return load", "acts": False}]
    read = parse(DOCUMENT | {"arms": arms})
    assert read.arms == (fleet.Arm(name="spread", weight=2, score="return load", acts=False),)


def test_a_program_that_is_not_in_the_language_makes_the_document_invalid():
    with pytest.raises(errors.CroftpulleyError, match="line 1: got 'loaf'"):
        parse(DOCUMENT | {"arms": [{"name": "a", "score": "return loaf"}]})
