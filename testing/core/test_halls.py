"""Evacuated halls, for any sequence of operators' orders."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from croftpulley.core import halls, replicated_state
from croftpulley.storage import commands, state_codec

ORDERS = st.lists(
    st.builds(
        lambda kind, hall: kind(hall),
        st.sampled_from((replicated_state.EvacuateHall, replicated_state.ReturnHall)),
        st.sampled_from("abc"),
    )
)


def state_after(orders):
    state = replicated_state.ReplicatedState()
    for each in orders:
        state.apply(commands.decode(commands.encode(each)))
    return state


@given(ORDERS)
def test_the_last_order_for_a_hall_decides(orders):
    last = {each.hall: isinstance(each, replicated_state.EvacuateHall) for each in orders}
    evacuated = state_after(orders).evacuated
    assert set(evacuated.names) == {hall for hall, is_evacuated in last.items() if is_evacuated}


@given(ORDERS, ORDERS)
def test_the_revision_grows_by_one_with_each_change_and_only_then(first, rest):
    state = state_after(first)
    previous = state.evacuated
    for each in rest:
        result = state.apply(each)
        assert result is state.evacuated
        assert result.revision - previous.revision == (result.names != previous.names)
        previous = result


@given(ORDERS)
def test_a_snapshot_keeps_the_evacuated_halls(orders):
    state = state_after(orders)
    restored = replicated_state.ReplicatedState(evacuated=halls.EvacuatedHalls(9, ("x",)))
    state_codec.restore(state_codec.encode(state), restored)
    assert restored.evacuated == state.evacuated


def test_a_snapshot_without_the_evacuated_field_restores_to_no_evacuated_halls():
    text = state_codec.encode(replicated_state.ReplicatedState())
    old_text = text.replace(',"evacuated":{"revision":0,"names":[]}', "")
    assert old_text != text
    restored = replicated_state.ReplicatedState(evacuated=halls.EvacuatedHalls(9, ("x",)))
    state_codec.restore(old_text, restored)
    assert restored.evacuated == halls.EvacuatedHalls()
