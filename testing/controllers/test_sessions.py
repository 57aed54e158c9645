"""What the leading control box sends to a router with its lease."""

from __future__ import annotations

import attrs
import pykka
import pytest

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors, agreement, in_force, listing, replica_standing, sessions
from croftpulley.core import membership, pool_versions, replicated_state, submissions, versions
from croftpulley.core import sessions as box_sessions
from croftpulley.core.replication import state as states
from croftpulley.transport import box_messages

BOX = membership.Box("router", "hall-a", "127.0.0.1:1", "127.0.0.1:2")
ENDPOINT = membership.Endpoint(
    "e", membership.EndpointKind.ENGINE, "llm", "127.0.0.1:3", "hall-a", "e"
)
FAR_S = 1e9
LEASE_S = 3.0
MARGIN_S = 0.1
KEPT_S = 12.0
LEADS = replica_standing.ReplicaStatus(states.Role.LEADER, 1, "127.0.0.1:9", FAR_S)
NO_AUTHORITY = attrs.evolve(LEADS, authority_until_s=0.0)


class Applied(agreement.CommandLog):
    """A command log with the router in its state, which applies commands when a test commits."""

    def __init__(self, version):
        self.proposed = []
        self._state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
        self._state.apply(replicated_state.RegisterBox(BOX))
        listed = pool_versions.PoolVersion(ENDPOINT.pool, ENDPOINT.version)
        self._state.apply(replicated_state.NoteVersions((listed,), 0.0))
        if version:
            submitted = submissions.Submission("", version, "{}")
            self._state.apply(replicated_state.SubmitConfiguration(submitted))

    def propose(self, command):
        """Store a command until `commit`."""
        self.proposed.append(command)

    def commit(self):
        """Apply the proposed commands."""
        while self.proposed:
            self._state.apply(self.proposed.pop(0))

    def read(self):
        return self._state


def report(known_version=0, configuration_version=0, *, holds_lease=False):
    return box_messages.BoxReport(
        box=BOX,
        configuration_version=configuration_version,
        holds_lease=holds_lease,
        boxes_version=0,
        endpoints_version=known_version,
        in_flight={},
    )


@pytest.fixture
def make_leader():
    """Return a function that makes the controller of a new leader, and its clock."""

    def make(version=0, view=None):
        clock = clocks.ManualClock()
        listed = listing.Listing(versions.Versioned((ENDPOINT,)), clock.monotonic_s())
        controller = sessions.SessionController(
            Applied(version),
            view or actors.View(LEADS),
            actors.View(listed),
            dict,
            lambda keys: None,
            LEASE_S,
            MARGIN_S,
            KEPT_S,
            actors.View(()),
            clock,
        )
        return controller, clock

    return make


@pytest.fixture
def endpoints_after(make_leader):
    """Return a function: the endpoints sent to a router at a given age of the list."""

    def send(age_s, known_version):
        controller, clock = make_leader()
        clock.advance(age_s)
        return controller.handle(report(known_version)).endpoints

    return send


@pytest.mark.parametrize(
    ("age_s", "known_version", "sent"),
    [
        (0.1, 0, (ENDPOINT,)),
        (0.1, 7, (ENDPOINT,)),
        (60.0, 7, None),
        (60.0, 0, (ENDPOINT,)),
    ],
)
def test_an_old_list_is_sent_only_to_a_router_without_one(
    endpoints_after, age_s, known_version, sent
):
    assert endpoints_after(age_s, known_version) == sent


def test_notes_that_arrive_before_the_first_renewal_of_a_term_are_sent(make_leader):
    controller, _ = make_leader()
    controller.handle(sessions.PostNotes({"e": ("part",)}))
    assert controller.handle(report()).notes == {"e": ("part",)}


def test_notes_of_unlisted_incarnations_are_not_sent(make_leader):
    controller, _ = make_leader()
    controller.handle(sessions.PostNotes({"e": ("part",), "e@1": ("old",), "x": ("other",)}))
    assert controller.handle(report()).notes == {"e": ("part",)}


def waits_for(controller, version):
    done = pykka.ThreadingFuture()
    controller.handle(in_force.AwaitInForce(box_sessions.AppliedVersions(version), done))
    return done


def is_in_force(done):
    try:
        return done.get(timeout=0)
    except pykka.Timeout:
        return False


def test_a_box_that_returns_with_an_old_version_gets_no_lease_and_delays_no_wait(make_leader):
    controller, clock = make_leader(version=5)
    answer = controller.handle(report())
    assert (answer.lease_s, answer.configuration_version) == (0.0, 5)
    assert controller.handle(sessions.Status()).boxes == ()
    done = waits_for(controller, 5)
    # A new leader assumes a lease from the leader before it. The renewals below must not extend it.
    assert not is_in_force(done)
    for _ in range(4):
        clock.advance(1.0)
        assert controller.handle(report()).lease_s == 0.0
    controller.handle(actors.Tick())
    assert is_in_force(done)
    assert controller.handle(report(configuration_version=5)).lease_s == 3.0


def test_a_box_with_a_lease_keeps_it_while_it_fetches_a_newer_configuration(make_leader):
    controller, clock = make_leader(version=5)
    controller.handle(report(configuration_version=5))
    newer = submissions.Submission("", 6, "{}")
    controller._command_log.read().apply(replicated_state.SubmitConfiguration(newer))
    done = waits_for(controller, 6)
    for _ in range(10):
        clock.advance(1.0)
        answer = controller.handle(report(configuration_version=5, holds_lease=True))
        assert answer.lease_s == 3.0
    assert not is_in_force(done)
    controller.handle(report(configuration_version=6))
    assert is_in_force(done)


def test_a_wait_continues_through_a_moment_without_authority(make_leader):
    view = actors.View(LEADS)
    controller, _ = make_leader(version=5, view=view)
    controller.handle(report(configuration_version=5))
    controller._command_log.read().apply(
        replicated_state.SubmitConfiguration(submissions.Submission("", 6, "{}"))
    )
    done = waits_for(controller, 6)
    view.publish(NO_AUTHORITY)
    controller.handle(actors.Tick())
    view.publish(LEADS)
    controller.handle(actors.Tick())
    assert not is_in_force(done)
    controller.handle(report(configuration_version=6))
    assert is_in_force(done)


@pytest.mark.parametrize(
    "replica_status",
    [
        attrs.evolve(NO_AUTHORITY, role=states.Role.FOLLOWER),
        attrs.evolve(NO_AUTHORITY, term=2),
    ],
)
def test_a_wait_fails_when_another_box_may_lead(make_leader, replica_status):
    view = actors.View(LEADS)
    controller, _ = make_leader(version=5, view=view)
    controller.handle(report(configuration_version=5))
    done = waits_for(controller, 6)
    view.publish(replica_status)
    controller.handle(actors.Tick())
    with pytest.raises(errors.CroftpulleyError, match="NOT_LEADER"):
        done.get(timeout=0)


def test_routers_get_the_addresses_of_silent_control_boxes(make_leader):
    silent = attrs.evolve(LEADS, silent_addresses=("127.0.0.1:8",))
    controller, _ = make_leader(view=actors.View(silent))
    assert controller.handle(report()).silent_addresses == ("127.0.0.1:8",)


def test_the_loads_sent_contain_what_the_router_has_just_reported(make_leader):
    # The router subtracts its own loads; with an older sum, loads that no box has would remain.
    controller, clock = make_leader()
    for in_flight in ({"e": 2}, {}, {"e": 1}):
        clock.advance(0.001)
        answer = controller.handle(attrs.evolve(report(), in_flight=in_flight))
        assert answer.loads == tuple(in_flight.values())


OTHER = attrs.evolve(BOX, name="other")


def test_a_new_leader_counts_registered_boxes_that_it_has_not_heard_from(make_leader):
    controller, _ = make_leader()
    controller._command_log.read().apply(replicated_state.RegisterBox(OTHER))
    answer = controller.handle(report())
    assert (len(answer.boxes), answer.registered_boxes, answer.kept_s) == (1, 2, KEPT_S)


def after_silence(controller, clock, silent_s):
    """Let the leases expire and then ``silent_s`` pass, without renewals."""
    clock.advance(LEASE_S + MARGIN_S)
    controller.handle(actors.Tick())
    clock.advance(silent_s)
    controller.handle(actors.Tick())


def test_a_box_stays_registered_while_its_repeats_count(make_leader):
    controller, clock = make_leader()
    controller.handle(report())
    after_silence(controller, clock, KEPT_S - 0.1)
    assert controller._command_log.proposed == []
    clock.advance(0.1)
    controller.handle(actors.Tick())
    assert controller._command_log.proposed == [replicated_state.ForgetBox(BOX.name)]


def test_a_box_that_returns_during_its_removal_gets_a_lease_once_registered_again(make_leader):
    # No next leader would wait for a lease that was granted before the log removes the box.
    controller, clock = make_leader()
    controller.handle(report())
    after_silence(controller, clock, KEPT_S)
    assert controller.handle(report()).lease_s == 0.0
    controller._command_log.commit()
    assert controller.handle(report()).lease_s == 0.0
    controller._command_log.commit()
    answer = controller.handle(report())
    assert (answer.lease_s, answer.registered_boxes) == (LEASE_S, 1)


def test_a_new_leader_sends_no_loads_before_every_registered_box_has_reported_its_own(make_leader):
    """Guards against routers that take the loads of some boxes for those of all.

    A new leader knew only the loads of the boxes that had renewed with it, others up to a renewal
    (0.25 s) later, and sent their sum as that of all. Routers then sent to endpoints that other
    boxes filled.
    """
    controller, _ = make_leader()
    controller._command_log.read().apply(replicated_state.RegisterBox(OTHER))
    assert controller.handle(attrs.evolve(report(), in_flight={"e": 2})).loads is None
    theirs = attrs.evolve(report(), box=OTHER, in_flight={"e": 3})
    assert controller.handle(theirs).loads == (5,)
    assert controller.handle(attrs.evolve(report(), in_flight={"e": 2})).loads == (5,)


def test_an_absent_box_delays_loads_only_for_a_limited_time(make_leader):
    controller, clock = make_leader()
    controller._command_log.read().apply(replicated_state.RegisterBox(OTHER))
    controller.handle(attrs.evolve(report(), in_flight={"e": 2}))
    clock.advance(sessions.LOADS_WAIT_S)
    assert controller.handle(attrs.evolve(report(), in_flight={"e": 2})).loads == (2,)


def test_an_evacuation_is_in_force_once_every_box_has_reported_its_revision(make_leader):
    controller, _ = make_leader()
    controller.handle(report())
    controller._command_log.read().apply(replicated_state.EvacuateHall("hall-b"))
    done = pykka.ThreadingFuture()
    controller.handle(in_force.AwaitInForce(box_sessions.AppliedVersions(halls_revision=1), done))
    evacuated = controller.handle(report()).evacuated
    assert (evacuated.revision, evacuated.names) == (1, ("hall-b",))
    assert not is_in_force(done)
    answer = controller.handle(attrs.evolve(report(), halls_revision=1))
    assert answer.evacuated is None
    assert is_in_force(done)


def test_an_evacuation_waits_until_the_lease_of_an_unheard_box_expires(make_leader):
    controller, clock = make_leader()
    controller._command_log.read().apply(replicated_state.EvacuateHall("hall-b"))
    done = pykka.ThreadingFuture()
    controller.handle(in_force.AwaitInForce(box_sessions.AppliedVersions(halls_revision=1), done))
    clock.advance(LEASE_S)
    controller.handle(actors.Tick())
    assert not is_in_force(done)
    clock.advance(2 * MARGIN_S)
    controller.handle(actors.Tick())
    assert is_in_force(done)


def test_a_cold_endpoint_gets_a_quota_once_those_of_the_previous_leader_expired(make_leader):
    controller, clock = make_leader()
    listed = listing.Listing(
        versions.Versioned((ENDPOINT,)), clock.monotonic_s(), {"e": clock.monotonic_s() + 60}
    )
    controller._endpoints.publish(listed)
    controller._cold_per_s = lambda: {"llm": 4.0}
    # The quotas of the previous leader must expire first. Encoded quotas are one more: 1 means 0.
    assert controller.handle(report()).cold == (1,)
    clock.advance(2.5)
    controller.handle(report())
    controller.handle(actors.Tick())
    assert controller.handle(report()).cold == (5,)
    clock.advance(60)
    assert controller.handle(report()).cold == ()
