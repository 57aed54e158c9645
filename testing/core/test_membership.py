"""Leases, placement of engines, the leaving flag, and the order of engines and boxes."""

from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import leases, membership, placement, rendezvous


def engine(name, leaving=False, incarnation="1"):
    kind = membership.EndpointKind.ENGINE
    return membership.Endpoint(name, kind, "llm", "127.0.0.1:1", "a", incarnation, leaving)


def box(name, draining=False):
    return membership.Box(name, "a", f"127.0.0.1:{name}", "127.0.0.1:1", draining)


@given(
    delay_s=st.floats(0, 100),
    drift=st.floats(-0.05, 0.05),
    lease_s=st.floats(1, 60),
)
def test_the_holder_stops_before_the_grantor_reassigns(delay_s, drift, lease_s):
    """Holds for any delay of the answer while drift over a lease is below the margins."""
    margin_s = 0.05 * lease_s
    held = leases.HeldLease(margin_s)
    granted = leases.GrantedLeases(lease_s, margin_s)
    granted.renew("box", delay_s)
    held.record_renewal(0.0, lease_s)
    last_use_in_true_time_s = held.until_s / (1 + drift)
    assert not held.is_valid(held.until_s)
    assert granted.may_be_valid("box", last_use_in_true_time_s) or last_use_in_true_time_s < delay_s


def test_an_older_renewal_does_not_shorten_a_lease():
    held = leases.HeldLease(0.5)
    held.record_renewal(10.0, 4.0)
    held.record_renewal(5.0, 4.0)
    assert held.until_s == 13.5


def test_a_restarted_grantor_waits_for_leases_to_end():
    granted = leases.GrantedLeases(4.0, 0.2)
    granted.assume_granted("box", 100.0)
    assert granted.may_be_valid("box", 104.1)
    assert granted.remove_expired(104.2) == ["box"]


def test_engines_are_balanced_and_owned_ones_stay():
    owners = {"e-0": "a", "e-1": "a"}
    engines = tuple(f"e-{number}" for number in range(6))
    grants = placement.plan_grants(engines, ("a", "b"), owners, frozenset())
    assert sorted(grant.engine for grant in grants) == ["e-2", "e-3", "e-4", "e-5"]
    assert sum(grant.box == "b" for grant in grants) == 3


def test_an_engine_moves_only_after_its_owners_lease_has_ended():
    owners = {"e-0": "gone"}
    assert placement.plan_grants(("e-0",), ("a",), owners, frozenset()) == []
    moved = placement.plan_grants(("e-0",), ("a",), owners, frozenset({"e-0"}))
    assert moved == [placement.Grant("e-0", "a")]


def test_a_box_gives_up_its_surplus_engines_and_a_draining_box_all():
    owners = tuple(membership.Ownership(f"e-{n}", "a", 1) for n in range(4))
    directory = membership.Directory(boxes=(box("a"), box("b")), owners=owners)
    assert placement.engines_to_release("a", directory, draining=False) == ("e-2", "e-3")
    assert len(placement.engines_to_release("a", directory, draining=True)) == 4


def test_leaving_is_sticky_until_the_endpoint_restarts():
    known = {"e": engine("e", leaving=True)}
    assert membership.carry_over_leaving_flags(known, (engine("e"),))[0].leaving
    assert not membership.carry_over_leaving_flags(known, (engine("e", incarnation="2"),))[
        0
    ].leaving


def test_removing_an_engine_moves_only_its_own_chats():
    names = [f"e-{number}" for number in range(10)]
    moved = 0
    for number in range(500):
        before = rendezvous.rendezvous_order(f"chat-{number}", names)
        after = rendezvous.rendezvous_order(f"chat-{number}", names[1:])
        assert after == [name for name in before if name != "e-0"]
        moved += before[0] == "e-0"
    assert moved < 100


def test_a_chat_without_an_id_keeps_its_key_as_it_grows():
    first = [{"role": "system", "content": "s"}, {"role": "user", "content": "q"}]
    later = [*first, {"role": "assistant", "content": "a"}, {"role": "user", "content": "r"}]
    key = rendezvous.chat_key("clinic", "m", "", first)
    assert key == rendezvous.chat_key("clinic", "m", "", later)
    assert key != rendezvous.chat_key("clinic", "m", "", later[2:])


def test_the_owner_of_a_chats_engine_comes_first_and_a_draining_box_never():
    owners = (membership.Ownership("e", "b", 1),)
    boxes = (box("a"), box("b"), box("c"))
    directory = membership.Directory(1, boxes, (engine("e"),), owners)
    assert rendezvous.entry_boxes("chat", "llm", directory)[0].name == "b"
    draining = attrs.evolve(directory, boxes=(box("a"), box("b", draining=True), box("c")))
    assert {each.name for each in rendezvous.entry_boxes("chat", "llm", draining)} == {"a", "c"}
