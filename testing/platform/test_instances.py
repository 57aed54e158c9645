"""The platform's list of endpoints."""

from __future__ import annotations

import pytest

from croftpulley import errors
from croftpulley.core import membership
from croftpulley.platform import instances, stand_ins


@pytest.fixture
def fake():
    made = stand_ins.FakeInstances()
    made.start()
    yield made
    made.stop()


def endpoint(name, leaving=False, kind=membership.EndpointKind.WORKER):
    return membership.Endpoint(name, kind, "desk", "127.0.0.1:1", "hall-a", name, leaving)


def test_all_pages_are_read(fake):
    engine = endpoint("e", kind=membership.EndpointKind.ENGINE)
    fake.listed = (*(endpoint(f"w-{n}", n == 3) for n in range(4)), engine)
    assert instances.InstanceList(fake.address).read() == fake.listed
    assert fake.calls == 3


def test_a_refusal_is_an_error(fake):
    fake.fails = True
    with pytest.raises(errors.CroftpulleyError, match="status 429"):
        instances.InstanceList(fake.address).read()
