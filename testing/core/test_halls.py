"""Which halls are evacuated, whatever order operators' orders come in."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import agreed, halls
from croftpulley.storage import commands, state_codec

ORDERS = st.lists(
    st.builds(
        lambda kind, hall: kind(hall),
        st.sampled_from((agreed.EvacuateHall, agreed.ReturnHall)),
        st.sampled_from("abc"),
    )
)


def applied(orders):
    state = agreed.AgreedState()
    for each in orders:
        state.apply(commands.decode(commands.encode(each)))
    return state


@given(ORDERS)
def test_the_last_order_about_a_hall_holds(orders):
    last = {each.hall: isinstance(each, agreed.EvacuateHall) for each in orders}
    evacuated = applied(orders).evacuated
    assert set(evacuated.names) == {hall for hall, is_evacuated in last.items() if is_evacuated}


@given(ORDERS, ORDERS)
def test_the_revision_grows_with_each_change_and_with_nothing_else(first, rest):
    state = applied(first)
    before = state.evacuated
    for each in rest:
        told = state.apply(each)
        assert told is state.evacuated
        assert told.revision - before.revision == (told.names != before.names)
        before = told


@given(ORDERS)
def test_a_snapshot_keeps_them(orders):
    state = applied(orders)
    restored = agreed.AgreedState(evacuated=halls.Evacuated(9, ("x",)))
    state_codec.restore(state_codec.encode(state), restored)
    assert restored.evacuated == state.evacuated


def test_a_snapshot_from_before_there_were_evacuations_has_none():
    text = state_codec.encode(agreed.AgreedState())
    older = text.replace(',"evacuated":{"revision":0,"names":[]}', "")
    assert older != text
    restored = agreed.AgreedState(evacuated=halls.Evacuated(9, ("x",)))
    state_codec.restore(older, restored)
    assert restored.evacuated == halls.Evacuated()
