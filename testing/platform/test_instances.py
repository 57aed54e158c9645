"""The platform's list of endpoints, which other writers write to as well."""

from __future__ import annotations

import attrs
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from croftpulley import errors
from croftpulley.core import membership
from croftpulley.endpoints import lists
from croftpulley.platform import entries, instances, stand_ins

REQUIRED = ("id", "service", "address", "zone", "state")
ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63) | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=6,
)


@pytest.fixture
def fake():
    made = stand_ins.FakeInstances()
    made.start()
    yield made
    made.stop()


def endpoint(name, leaving=False, kind=membership.EndpointKind.WORKER, born_ms=None):
    return membership.Endpoint(
        name,
        kind,
        "desk",
        "127.0.0.1:1",
        "hall-a",
        name,
        leaving,
        born_ms,
        version=stand_ins.DEFAULT_VERSION,
    )


def entry(**changes):
    """Return a sound entry with other fields; ``None`` leaves a field out."""
    sound = stand_ins.entry(endpoint("spoiled"))
    return {name: value for name, value in {**sound, **changes}.items() if value is not None}


def defects(fake):
    return instances.InstanceList(fake.address).read().count_defects()


def test_all_pages_are_read(fake):
    engine = endpoint("e", kind=membership.EndpointKind.ENGINE)
    fake.listed = (*(endpoint(f"w-{n}", n == 3) for n in range(4)), engine)
    assert instances.InstanceList(fake.address).read().endpoints == fake.listed
    assert fake.calls == 3


def test_a_refusal_is_an_error(fake):
    fake.fails = True
    with pytest.raises(errors.CroftpulleyError, match="status 429"):
        instances.InstanceList(fake.address).read()


@pytest.mark.parametrize(("value", "wait_s"), [("2.5", 2.5), ("soon", 0.0), ("", 0.0)])
def test_a_refusal_says_when_the_list_may_be_read_again(fake, value, wait_s):
    fake.fails = True
    fake.retry_after = value
    with pytest.raises(lists.RetryLaterError) as caught:
        instances.InstanceList(fake.address).read()
    assert caught.value.wait_s == wait_s


@pytest.mark.parametrize(
    ("spoiled", "defect"),
    [
        *((orjson.dumps(entry(**{name: None})), lists.Defect.FIELD_MISSING) for name in REQUIRED),
        *((orjson.dumps(entry(**{name: 7})), lists.Defect.FIELD_TYPE) for name in REQUIRED),
        (orjson.dumps(entry(id="")), lists.Defect.FIELD_TYPE),
        (orjson.dumps(entry(slots="64")), lists.Defect.FIELD_TYPE),
        (orjson.dumps(entry(stage=3)), lists.Defect.FIELD_TYPE),
        (orjson.dumps(entry(state="asleep")), lists.Defect.UNKNOWN_STATE),
        (orjson.dumps(entry(address="elsewhere:80")), lists.Defect.BAD_ADDRESS),
        (orjson.dumps(entry(address="127.0.0.1")), lists.Defect.BAD_ADDRESS),
        (orjson.dumps(entry(address="127.0.0.1:99999999999")), lists.Defect.BAD_ADDRESS),
        (b"7", lists.Defect.NOT_AN_OBJECT),
        (b"null", lists.Defect.NOT_AN_OBJECT),
        (b'["id"]', lists.Defect.NOT_AN_OBJECT),
        (b'{"id":"\xff\xfe","service":"desk"}', lists.Defect.UNREADABLE),
        (b'{"id":"\\ud800","service":"desk"}', lists.Defect.UNREADABLE),
        (b'{"id":"a","service":nothing}', lists.Defect.UNREADABLE),
        (b'{"id":"a,]}","service":"\xff"}', lists.Defect.UNREADABLE),
    ],
)
def test_a_spoiled_entry_names_no_endpoint_and_the_others_hold(fake, spoiled, defect):
    fake.listed = tuple(endpoint(f"w-{n}") for n in range(3))
    fake.extra_entries = [spoiled]
    reading = instances.InstanceList(fake.address).read()
    assert reading.endpoints == fake.listed
    assert reading.count_defects() == {defect.value: 1}


@pytest.mark.parametrize("born", [1.5, "1", True, -1, [], 2**60])
def test_a_start_that_is_no_whole_number_spoils_its_entry(fake, born):
    fake.listed = (endpoint("w", born_ms=1000),)
    fake.extra_entries = [orjson.dumps(entry(born=born))]
    reading = instances.InstanceList(fake.address).read()
    assert reading.endpoints == fake.listed
    assert reading.count_defects() == {lists.Defect.FIELD_TYPE.value: 1}


@pytest.mark.parametrize(
    ("told_ms", "left_s"), [(2500, 2.5), (0.5, 0.0005), (0, None), (-7, None), (1e300, 60.0)]
)
def test_how_long_an_endpoint_is_cold_is_read_whatever_the_number(fake, told_ms, left_s):
    fake.listed = (endpoint("w"),)
    fake.cold_ms = {"w": told_ms}
    reading = instances.InstanceList(fake.address).read()
    assert reading.endpoints == fake.listed
    assert reading.cold_remaining_s.get("w") == left_s


@pytest.mark.parametrize("told_ms", ["7", None, True, [], {}])
def test_a_cold_time_that_is_no_number_spoils_its_entry_alone(fake, told_ms):
    fake.listed = (endpoint("w"),)
    fake.extra_entries = [orjson.dumps({**entry(), "coldRemainingMs": told_ms})]
    reading = instances.InstanceList(fake.address).read()
    assert reading.endpoints == fake.listed
    assert sum(reading.count_defects().values()) == 1


def test_an_entry_without_a_start_is_spoiled_once_the_list_tells_starts(fake):
    fake.listed = (endpoint("w"),)
    reader = instances.InstanceList(fake.address)
    assert reader.read().endpoints == fake.listed
    fake.listed = (endpoint("w"), endpoint("v", born_ms=1000))
    assert reader.read().endpoints == fake.listed[1:]
    fake.listed = (endpoint("w"),)
    assert reader.read().count_defects() == {lists.Defect.NO_START_TIME.value: 1}


def test_a_list_whose_pages_changed_is_read_from_its_first_page_again(fake):
    fake.listed = tuple(endpoint(f"w-{n}") for n in range(5))
    fake.refused_tokens = {"4"}
    assert instances.InstanceList(fake.address).read().endpoints == fake.listed
    assert fake.calls == 6


def test_a_list_that_refuses_its_pages_again_is_an_error(fake):
    fake.listed = tuple(endpoint(f"w-{n}") for n in range(5))
    fake.refused_tokens = {"2", "4"}
    with pytest.raises(errors.CroftpulleyError, match="status 400"):
        instances.InstanceList(fake.address).read()


def test_a_document_without_a_list_is_an_error():
    for body in (b"", b"[]", b"{}", b'{"instances":7}', b'{"instances":[1,', b"\xff"):
        with pytest.raises(errors.CroftpulleyError):
            entries.parse(body, "instances")


@given(
    names=st.lists(st.sampled_from("abc"), max_size=4),
    spoils=st.lists(
        st.tuples(
            st.sampled_from([*REQUIRED, "slots", "stage", "born", "entry"]),
            ANY_JSON | st.binary(max_size=6),
        ),
        max_size=4,
    ),
    order=st.randoms(use_true_random=False),
)
@settings(deadline=None)
def test_sound_entries_hold_whatever_the_others_are(names, spoils, order):
    sound = [stand_ins.entry(endpoint(name, born_ms=5)) for name in names]
    written = [orjson.dumps(each) for each in sound] + [_spoilt(*each) for each in spoils]
    order.shuffle(written)
    body = b'{"instances":[' + b",".join(written) + b'],"nextPageToken":null}'
    values = entries.parse(body, "instances").values
    reading = instances.decode(values, needs_start=True)
    assert len(values) == len(written)
    kept = [each for each in reading.endpoints if each.name in names]
    assert sorted(each.name for each in kept) == sorted(names)
    assert len(reading.endpoints) + len(reading.invalid_entries) == len(written)


def _spoilt(field, value):
    """Return an entry whose ``field`` is any JSON value, or a string of any bytes."""
    if isinstance(value, bytes):
        inner = value.replace(b"\\", b"").replace(b'"', b"")
        written = b'"' + inner + b'"'
    else:
        written = orjson.dumps(value)
    if field == "entry":
        return written
    rest = {**stand_ins.entry(endpoint("other", born_ms=5)), field: 0}
    del rest[field]
    return orjson.dumps(rest)[:-1] + b',"' + field.encode() + b'":' + written + b"}"


def test_the_sound_entries_of_a_long_list_are_in_use(fake):
    sound = [endpoint(f"w-{n}", born_ms=n) for n in range(1800)]
    spoils = (b"7", b'{"id":"\xff"}', orjson.dumps(entry(born=1, state="x")), b"[]", b'"a"')
    written = [orjson.dumps(stand_ins.entry(each)) for each in sound]
    for number in range(200):
        written.insert(number * 10, spoils[number % len(spoils)])
    body = b'{"instances":[' + b",".join(written) + b"]}"
    reading = instances.decode(entries.parse(body, "instances").values, needs_start=True)
    assert list(reading.endpoints) == sound
    assert len(reading.invalid_entries) == 200


def test_no_entry_is_shared_between_two_lives(fake):
    fake.listed = (endpoint("w", born_ms=1), attrs.evolve(endpoint("w", born_ms=2)))
    first, second = instances.InstanceList(fake.address).read().endpoints
    assert (first.name, first.incarnation) == (second.name, second.incarnation)
    assert first.key != second.key
