"""Answers to operators by a control box that lacks or gains authority."""

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
from croftpulley.core import replicated_state, submissions
from croftpulley.core.replication import state as states
from croftpulley.interfaces import base

FAR_S = 1e9
LEADER = replica_standing.ReplicaStatus(states.Role.LEADER, 1, "127.0.0.1:9", FAR_S)
NO_AUTHORITY = attrs.evolve(LEADER, authority_until_s=float("-inf"))
FOLLOWER = replica_standing.ReplicaStatus(states.Role.FOLLOWER, 1, "127.0.0.1:7")


class FakeLog(agreement.CommandLog):
    """A command log; ``on_read`` is called before each read of its state."""

    def __init__(self):
        self.state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
        self.on_read = lambda: None

    def apply(self, version):
        submitted = submissions.Submission("", version, "{}")
        self.state.apply(replicated_state.SubmitConfiguration(submitted))

    def propose(self, command):
        raise NotImplementedError

    def read(self):
        self.on_read()
        return self.state


@pytest.fixture
def fake_log():
    return FakeLog()


@pytest.fixture
def view():
    return actors.View(NO_AUTHORITY)


@pytest.fixture
def register(fake_log, view):
    return suspect_register.SuspectRegister(fake_log, view, clocks.SystemClock())


@pytest.fixture
def plane(fake_log, view, register):
    return control_plane.ControlPlane(
        fake_log,
        view,
        None,
        register,
        base.NativeFormat(),
        frozenset(),
        1.0,
        clocks.SystemClock(),
    )


@pytest.fixture
def call_waits(monkeypatch):
    """Make calls wait long for authority; return an event that is set when one starts to wait."""
    monkeypatch.setattr(control_plane, "AUTHORITY_WAIT_S", 20.0)
    is_waiting = threading.Event()
    wait_for = actors.View.wait_for

    def watched(view, predicate, timeout_s):
        is_waiting.set()
        return wait_for(view, predicate, timeout_s)

    monkeypatch.setattr(actors.View, "wait_for", watched)
    return is_waiting


def test_configuration_is_read_only_after_authority_is_gained(plane, fake_log, view, call_waits):
    # The call arrives when the box has just started and applied nothing; then it becomes leader.
    answers = []
    call = threading.Thread(target=lambda: answers.append(plane.read_configuration().version))
    call.start()
    assert call_waits.wait(20.0)
    fake_log.apply(3)
    view.publish(LEADER)
    call.join(20.0)
    assert answers == [3]


@pytest.mark.parametrize(
    "before", [NO_AUTHORITY, attrs.evolve(LEADER, term=0)], ids=["none", "old"]
)
def test_value_read_before_leadership_began_is_not_returned(
    plane, fake_log, view, monkeypatch, before
):
    """Guards against returning a state that is being rebuilt as the newest one.

    After a failed disk write a box replays its log and may become leader again meanwhile. When
    authority was checked only after the read, a call that had timed out waiting for authority, or
    that began in an earlier term, returned the partly rebuilt state if the box became leader before
    the check.
    """
    monkeypatch.setattr(control_plane, "AUTHORITY_WAIT_S", 0.0)
    fake_log.on_read = lambda: view.publish(LEADER)
    for read in (plane.read_configuration, plane.suspects):
        view.publish(before)
        with pytest.raises(control_plane.NotLeaderError):
            read()


def test_follower_names_the_leader_immediately(plane, view):
    view.publish(FOLLOWER)
    with pytest.raises(control_plane.NotLeaderError) as failure:
        plane.read_configuration()
    assert failure.value.leader_address == "127.0.0.1:7"


def test_leader_without_authority_names_no_leader(plane, monkeypatch):
    monkeypatch.setattr(control_plane, "AUTHORITY_WAIT_S", 0.0)
    with pytest.raises(control_plane.NotLeaderError) as failure:
        plane.read_configuration()
    assert failure.value.leader_address == ""
