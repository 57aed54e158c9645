"""What the leading control box tells a router with its lease."""

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
    """A state that knows the router."""

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
        """Keep what is proposed; a test commits it."""
        self.proposed.append(command)

    def commit(self):
        """Commit what was proposed."""
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
    """Return a controller of a box that has just come to lead, and its clock."""

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
            clock,
        )
        return controller, clock

    return make


@pytest.fixture
def told_after(make_leader):
    """Return what a router is told of endpoints, some time after the list was read."""

    def tell(age_s, known_version):
        controller, clock = make_leader()
        clock.advance(age_s)
        return controller.handle(report(known_version)).endpoints

    return tell


@pytest.mark.parametrize(
    ("age_s", "known_version", "told"),
    [
        (0.1, 0, (ENDPOINT,)),
        (0.1, 7, (ENDPOINT,)),
        (60.0, 7, None),
        (60.0, 0, (ENDPOINT,)),
    ],
)
def test_a_list_read_long_ago_is_told_only_to_a_router_that_has_none(
    told_after, age_s, known_version, told
):
    assert told_after(age_s, known_version) == told


def test_notes_that_come_before_the_first_renewal_of_a_leadership_are_told(make_leader):
    controller, _ = make_leader()
    controller.handle(sessions.PostNotes({"e": ("part",)}))
    assert controller.handle(report()).notes == {"e": ("part",)}


def test_a_note_of_a_life_that_is_not_listed_is_told_to_nobody(make_leader):
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


def test_a_box_that_comes_back_behind_has_no_lease_and_holds_up_no_acknowledgement(make_leader):
    controller, clock = make_leader(version=5)
    answer = controller.handle(report())
    assert (answer.lease_s, answer.configuration_version) == (0.0, 5)
    assert controller.handle(sessions.Status()).boxes == ()
    done = waits_for(controller, 5)
    # A leader that has just come counts a lease from the one before; none is added to that.
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


def test_who_waits_goes_on_waiting_through_a_moment_without_authority(make_leader):
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
    "standing",
    [
        attrs.evolve(NO_AUTHORITY, role=states.Role.FOLLOWER),
        attrs.evolve(NO_AUTHORITY, term=2),
    ],
)
def test_who_waits_is_told_when_another_may_lead(make_leader, standing):
    view = actors.View(LEADS)
    controller, _ = make_leader(version=5, view=view)
    controller.handle(report(configuration_version=5))
    done = waits_for(controller, 6)
    view.publish(standing)
    controller.handle(actors.Tick())
    with pytest.raises(errors.CroftpulleyError, match="NOT_LEADER"):
        done.get(timeout=0)


def test_routers_are_told_which_control_boxes_are_silent(make_leader):
    silent = attrs.evolve(LEADS, silent_addresses=("127.0.0.1:8",))
    controller, _ = make_leader(view=actors.View(silent))
    assert controller.handle(report()).silent_addresses == ("127.0.0.1:8",)


def test_the_loads_told_hold_what_the_router_has_just_reported(make_leader):
    # It takes its own part off them: a sum from before would leave it loads that nobody has.
    controller, clock = make_leader()
    for in_flight in ({"e": 2}, {}, {"e": 1}):
        clock.advance(0.001)
        answer = controller.handle(attrs.evolve(report(), in_flight=in_flight))
        assert answer.loads == tuple(in_flight.values())


OTHER = attrs.evolve(BOX, name="other")


def test_a_new_leader_tells_of_every_registered_box_though_it_has_heard_of_one(make_leader):
    controller, _ = make_leader()
    controller._command_log.read().apply(replicated_state.RegisterBox(OTHER))
    answer = controller.handle(report())
    assert (len(answer.boxes), answer.registered_boxes, answer.kept_s) == (1, 2, KEPT_S)


def after_silence(controller, clock, silent_s):
    """Let the time pass in which no box renews."""
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


def test_a_box_that_comes_back_as_it_is_forgotten_has_a_lease_once_it_is_registered(make_leader):
    # Granted before the log forgets the box, no next leader would wait for that lease to end.
    controller, clock = make_leader()
    controller.handle(report())
    after_silence(controller, clock, KEPT_S)
    assert controller.handle(report()).lease_s == 0.0
    controller._command_log.commit()
    assert controller.handle(report()).lease_s == 0.0
    controller._command_log.commit()
    answer = controller.handle(report())
    assert (answer.lease_s, answer.registered_boxes) == (LEASE_S, 1)


def test_a_new_leader_tells_no_loads_before_every_registered_box_has_told_its_own(make_leader):
    """Routers that took the sum of one box for that of all sent to endpoints that others filled.

    A leader that has just come knew of the loads of those alone that had renewed with it, up to a
    renewal (0.25 s) after the others, and told their sum as that of all.
    """
    controller, _ = make_leader()
    controller._command_log.read().apply(replicated_state.RegisterBox(OTHER))
    assert controller.handle(attrs.evolve(report(), in_flight={"e": 2})).loads is None
    theirs = attrs.evolve(report(), box=OTHER, in_flight={"e": 3})
    assert controller.handle(theirs).loads == (5,)
    assert controller.handle(attrs.evolve(report(), in_flight={"e": 2})).loads == (5,)


def test_a_box_that_is_gone_keeps_loads_back_for_a_moment_only(make_leader):
    controller, clock = make_leader()
    controller._command_log.read().apply(replicated_state.RegisterBox(OTHER))
    controller.handle(attrs.evolve(report(), in_flight={"e": 2}))
    clock.advance(sessions.LOADS_AWAITED_S)
    assert controller.handle(attrs.evolve(report(), in_flight={"e": 2})).loads == (2,)


def test_an_evacuation_is_in_force_once_every_box_has_said_that_it_obeys(make_leader):
    controller, _ = make_leader()
    controller.handle(report())
    controller._command_log.read().apply(replicated_state.EvacuateHall("hall-b"))
    done = pykka.ThreadingFuture()
    controller.handle(in_force.AwaitInForce(box_sessions.AppliedVersions(halls_revision=1), done))
    told = controller.handle(report()).evacuated
    assert (told.revision, told.names) == (1, ("hall-b",))
    assert not is_in_force(done)
    answer = controller.handle(attrs.evolve(report(), halls_revision=1))
    assert answer.evacuated is None
    assert is_in_force(done)


def test_an_evacuation_waits_for_the_lease_of_a_box_that_is_not_heard(make_leader):
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


def test_a_cold_endpoint_is_told_to_every_box_and_open_to_those_that_are_allotted_some(make_leader):
    controller, clock = make_leader()
    listed = listing.Listing(
        versions.Versioned((ENDPOINT,)), clock.monotonic_s(), {"e": clock.monotonic_s() + 60}
    )
    controller._endpoints.publish(listed)
    controller._cold_per_s = lambda: {"llm": 4.0}
    # What the leader before allotted must have run out first.
    assert controller.handle(report()).cold == (1,)
    clock.advance(2.5)
    controller.handle(report())
    controller.handle(actors.Tick())
    assert controller.handle(report()).cold == (5,)
    clock.advance(60)
    assert controller.handle(report()).cold == ()
