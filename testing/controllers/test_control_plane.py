"""What a control box answers operators around a moment without authority."""

from __future__ import annotations

import threading

import attrs
import pytest

from croftpulley import clock as clocks
from croftpulley.controllers import (
    actors,
    agreement,
    control_plane,
    replica_standing,
    suspect_register,
)
from croftpulley.core import agreed, submissions
from croftpulley.core.replication import state as states
from croftpulley.settings import formats

FAR_S = 1e9
LEADS = replica_standing.Standing(states.Role.LEADER, 1, "127.0.0.1:9", FAR_S)
NO_AUTHORITY = attrs.evolve(LEADS, authority_until_s=float("-inf"))
FOLLOWS = replica_standing.Standing(states.Role.FOLLOWER, 1, "127.0.0.1:7")


class Applied(agreement.Agreement):
    """A state that this box has applied so far."""

    def __init__(self):
        self.state = agreed.AgreedState(submissions=submissions.HighestNumber())
        self.on_read = lambda: None

    def apply(self, version):
        submitted = submissions.Submission("", version, "{}")
        self.state.apply(agreed.SubmitConfiguration(submitted))

    def propose(self, command):
        raise NotImplementedError

    def read(self):
        self.on_read()
        return self.state


@pytest.fixture
def applied():
    return Applied()


@pytest.fixture
def view():
    return actors.View(NO_AUTHORITY)


@pytest.fixture
def register(applied, view):
    return suspect_register.SuspectRegister(applied, view, clocks.SystemClock())


@pytest.fixture
def plane(applied, view, register):
    return control_plane.ControlPlane(
        applied, view, None, register, formats.OwnFormat(), frozenset(), 1.0, clocks.SystemClock()
    )


@pytest.fixture
def waits(monkeypatch):
    """Have a call wait for authority until the test gives it."""
    monkeypatch.setattr(control_plane, "AUTHORITY_WAIT_S", 20.0)
    began = threading.Event()
    wait_for = actors.View.wait_for

    def watched(view, holds, timeout_s):
        began.set()
        return wait_for(view, holds, timeout_s)

    monkeypatch.setattr(actors.View, "wait_for", watched)
    return began


def test_a_configuration_is_read_after_authority_came_and_not_before(plane, applied, view, waits):
    # A box that has just started, and then leads, has applied nothing yet when the call comes.
    answers = []
    call = threading.Thread(target=lambda: answers.append(plane.read().version))
    call.start()
    assert waits.wait(20.0)
    applied.apply(3)
    view.publish(LEADS)
    call.join(20.0)
    assert answers == [3]


@pytest.mark.parametrize("before", [NO_AUTHORITY, attrs.evolve(LEADS, term=0)], ids=["none", "old"])
def test_what_was_read_before_a_leadership_began_is_not_told(
    plane, applied, view, monkeypatch, before
):
    """A box whose disk refused a write applies its log anew, and leads again meanwhile.

    Nobody has seen it; found at the read of what tells that a state was read under authority. It
    was looked at after the reading only: a call that had waited in vain, or under a leadership that
    had ended, read a state that was being made anew, and told it as the newest if the box came to
    lead before the look.
    """
    monkeypatch.setattr(control_plane, "AUTHORITY_WAIT_S", 0.0)
    applied.on_read = lambda: view.publish(LEADS)
    for read in (plane.read, plane.suspects):
        view.publish(before)
        with pytest.raises(control_plane.NotLeaderError):
            read()


def test_a_box_that_does_not_lead_names_who_does_at_once(plane, view):
    view.publish(FOLLOWS)
    with pytest.raises(control_plane.NotLeaderError) as failure:
        plane.read()
    assert failure.value.leader_address == "127.0.0.1:7"


def test_a_leader_that_stays_without_authority_names_nobody(plane, monkeypatch):
    monkeypatch.setattr(control_plane, "AUTHORITY_WAIT_S", 0.0)
    with pytest.raises(control_plane.NotLeaderError) as failure:
        plane.read()
    assert failure.value.leader_address == ""
