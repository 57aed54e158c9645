"""The replicated state about requests that may crash endpoints."""

from __future__ import annotations

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from croftpulley.core import replicated_state, suspect_messages, suspect_rules, suspects
from croftpulley.storage import commands, state_codec

NAMES = ("a", "b", "part-a", "part-b")
LIVES = ("e1", "e2", "e3", "e4", "e5")
LIMIT_S = 5.0
PART = "part-a"
OTHER = "part-b"
CLINIC = suspect_messages.Asker("clinic")


@pytest.fixture
def state():
    return replicated_state.ReplicatedState()


def crash(state, fingerprint, *lives, at_s=0.0, workspace="clinic"):
    """Report that endpoints crashed while they had a request."""
    crashes = tuple(
        suspect_messages.Crash(fingerprint, workspace, incarnation) for incarnation in lives
    )
    return state.apply(
        replicated_state.ReportSuspects(suspect_messages.Report(crashes=crashes), at_s)
    )


def ask(state, fingerprint, trial, at_s=0.0, asker=CLINIC):
    """Ask for a trial."""
    return state.apply(replicated_state.BeginTrial(fingerprint, trial, LIMIT_S, at_s, asker))


def make_refused(state, asker=CLINIC):
    """Crash endpoints in two trials, so that the part is refused."""
    crash(state, PART, "e1", "e2")
    for trial, incarnation in (("t1", "e3"), ("t2", "e4")):
        ask(state, PART, trial, asker=asker)
        crash(state, PART, incarnation)
        end(state, PART, trial)


def end(state, fingerprint, trial, at_s=0.0, *, was_sent=True):
    """Report that a trial is over."""
    trial_ends = (suspect_messages.TrialEnd(fingerprint, trial, was_sent),)
    state.apply(
        replicated_state.ReportSuspects(suspect_messages.Report(trial_ends=trial_ends), at_s)
    )


def clear(state, *fingerprints, at_s=0.0):
    """Report complete responses to requests."""
    state.apply(
        replicated_state.ReportSuspects(suspect_messages.Report(cleared=fingerprints), at_s)
    )


def update_for(state, revision=0, at_s=0.0):
    """Return the update that a router at ``revision`` receives."""
    return state.suspects.published.changes_since(revision, at_s)


def test_one_crash_makes_no_suspect_and_is_not_published(state):
    assert crash(state, "f", "e1") == ()
    assert ask(state, "f", "t").verdict is suspect_messages.Verdict.FREE
    assert update_for(state) is None


def test_a_crash_that_several_routers_report_counts_once(state):
    for _ in range(3):
        crash(state, "f", "e1")
    assert ask(state, "f", "t").verdict is suspect_messages.Verdict.FREE


def test_a_suspect_is_tried_at_one_endpoint_at_a_time(state):
    crash(state, "f", "e1", "e2")
    assert ask(state, "f", "t1").verdict is suspect_messages.Verdict.GRANTED
    assert ask(state, "f", "t2") == suspect_messages.TrialAnswer(
        suspect_messages.Verdict.BUSY, 2, LIMIT_S
    )
    end(state, "f", "t1")
    assert ask(state, "f", "t2").verdict is suspect_messages.Verdict.GRANTED


def test_a_verdict_does_not_depend_on_state_being_changed(state):
    # Threads that serve routers ask while the log is applied. They must not miss a suspect
    # while its entry is being replaced.
    crash(state, "f", "e1", "e2")
    ask(state, "f", "t1")
    state.suspects._by_fingerprint.clear()
    assert state.suspects.verdict("f", "t2", 0.0).verdict is suspect_messages.Verdict.BUSY


def test_a_trial_that_is_never_reported_as_ended_times_out(state):
    crash(state, "f", "e1", "e2")
    ask(state, "f", "t1", at_s=10.0)
    assert ask(state, "f", "t2", at_s=10.0 + LIMIT_S).verdict is suspect_messages.Verdict.GRANTED


def test_after_two_trials_that_crash_there_is_a_cooldown_and_one_more_trial(state):
    crash(state, "f", "e1", "e2")
    for trial, incarnation in (("t1", "e3"), ("t2", "e4")):
        assert ask(state, "f", trial).verdict is suspect_messages.Verdict.GRANTED
        crash(state, "f", incarnation, at_s=1.0)
        end(state, "f", trial, at_s=1.0)
    refused = ask(state, "f", "t3", at_s=2.0)
    assert refused == suspect_messages.TrialAnswer(
        suspect_messages.Verdict.REFUSED, 4, suspect_rules.TRIAL_COOLDOWN_S - 1.0
    )
    assert update_for(state, at_s=2.0).suspects == (
        suspect_messages.SuspectSummary("f", 4, suspect_rules.TRIAL_COOLDOWN_S - 1.0),
    )
    cooled_down_s = 1.0 + suspect_rules.TRIAL_COOLDOWN_S
    assert ask(state, "f", "t3", at_s=cooled_down_s).verdict is suspect_messages.Verdict.GRANTED
    end(state, "f", "t3", at_s=cooled_down_s)
    later_s = cooled_down_s + suspect_rules.TRIAL_COOLDOWN_S
    assert ask(state, "f", "t4", at_s=later_s).verdict is suspect_messages.Verdict.REFUSED


def test_a_trial_counts_even_if_its_end_is_never_reported(state):
    # The router may be killed before it reports.
    crash(state, "f", "e1", "e2")
    for number in range(suspect_rules.MAX_TRIALS):
        asked = ask(state, "f", f"t{number}", at_s=number * LIMIT_S)
        assert asked.verdict is suspect_messages.Verdict.GRANTED
    after_last_s = suspect_rules.MAX_TRIALS * LIMIT_S
    refused = ask(state, "f", "late", at_s=after_last_s)
    assert refused.verdict is suspect_messages.Verdict.REFUSED
    assert refused.wait_s == suspect_rules.UNCONFIRMED_COOLDOWN_S - LIMIT_S


@pytest.mark.parametrize(("crash_count", "trials"), [(2, 2), (3, 2), (4, 1), (5, 0), (9, 0)])
def test_more_simultaneous_crashes_leave_fewer_trials(state, crash_count, trials):
    crash(state, "f", *(f"e{number}" for number in range(crash_count)))
    granted = 0
    for number in range(9):
        asked = ask(state, "f", f"t{number}")
        granted += asked.verdict is suspect_messages.Verdict.GRANTED
        end(state, "f", f"t{number}")
    assert granted == trials


def test_a_complete_response_clears_a_request_after_three_crashes(state):
    crash(state, "f", "e1", "e2")
    assert ask(state, "f", "t1").verdict is suspect_messages.Verdict.GRANTED
    crash(state, "f", "e3")
    end(state, "f", "t1")
    assert ask(state, "f", "t2").verdict is suspect_messages.Verdict.GRANTED
    known = state.suspects.revision
    clear(state, "f")
    assert ask(state, "f", "t3").verdict is suspect_messages.Verdict.FREE
    assert update_for(state, known).removed == ("f",)


@pytest.mark.parametrize("repeats", [1, 2])
def test_a_trial_that_was_never_sent_does_not_count(state, repeats):
    crash(state, "f", "e1", "e2", "e3")
    for number in range(suspect_rules.MAX_TRIALS + 1):
        assert ask(state, "f", f"t{number}").verdict is suspect_messages.Verdict.GRANTED
        for _ in range(repeats):
            end(state, "f", f"t{number}", was_sent=False)
    (known,) = state.suspects.all()
    assert known.trials == 0


def test_thousands_of_suspects_of_one_workspace_evict_none_of_another(state):
    crash(state, "theirs", "e1", "e2", "e3", workspace="shop")
    for number in range(suspects.MAX_SUSPECTS + 200):
        crash(state, f"f{number}", "e1", "e2", "e3", at_s=1.0)
    assert len(state.suspects.all()) == suspects.MAX_SUSPECTS
    assert "theirs" in {each.fingerprint for each in state.suspects.all()}


def test_features_with_the_fewest_crashes_are_evicted_first(state):
    crash(state, "first", "e1", "e2")
    for number in range(suspects.MAX_SUSPECTS):
        crash(state, f"f{number}", "e1", at_s=1.0)
    kept = {each.fingerprint for each in state.suspects.all()}
    assert "first" in kept
    assert "f0" not in kept


def test_old_features_are_forgotten(state):
    crash(state, "f", "e1", "e2", "e3")
    crash(state, "g", "e1", at_s=suspect_rules.SUSPECT_TTL_S)
    assert {each.fingerprint for each in state.suspects.all()} == {"g"}


def test_a_router_that_is_too_far_behind_gets_everything(state):
    crash(state, "kept", "e1", "e2")
    for number in range(suspects.MAX_REMOVALS + 1):
        crash(state, f"f{number}", "e1", "e2")
        clear(state, f"f{number}")
    change = update_for(state, revision=2)
    assert change.is_whole
    assert [each.fingerprint for each in change.suspects] == ["kept"]


def test_a_router_with_a_later_revision_gets_everything(state):
    # All disks were lost, and the control boxes started with an empty state.
    crash(state, "f", "e1", "e2")
    assert update_for(state, revision=99).is_whole


class TestParts:
    """What differs for prompt parts, which several requests share."""

    def test_the_first_crash_is_published_but_needs_no_trial(self, state):
        assert crash(state, PART, "e1") == ()
        (known,) = update_for(state).suspects
        assert (known.crashes, known.accused) == (1, ("clinic",))
        assert ask(state, PART, "t").verdict is suspect_messages.Verdict.FREE

    def test_a_part_is_refused_after_two_trials_that_crash(self, state):
        crash(state, PART, "e1", "e2")
        for trial, incarnation in (("t1", "e3"), ("t2", "e4")):
            assert ask(state, PART, trial).verdict is suspect_messages.Verdict.GRANTED
            crash(state, PART, incarnation)
            end(state, PART, trial)
        refused = ask(state, PART, "t3")
        assert refused == suspect_messages.TrialAnswer(
            suspect_messages.Verdict.REFUSED, 4, suspect_rules.TRIAL_COOLDOWN_S
        )

    def test_simultaneous_crashes_alone_do_not_refuse_a_part(self, state):
        # A data hall loses power while each of its endpoints runs a request with the part.
        crash(state, PART, *(f"e{number}" for number in range(9)))
        assert ask(state, PART, "t1").verdict is suspect_messages.Verdict.GRANTED

    def test_inconclusive_trials_have_growing_cooldowns_and_refuse_no_longer(self, state):
        crash(state, PART, "e1", "e2")
        at_s = 0.0
        for number, cooldown_s in enumerate(suspect_rules.INCONCLUSIVE_TRIAL_COOLDOWNS_S[1:]):
            assert (
                ask(state, PART, f"t{number}", at_s=at_s).verdict
                is suspect_messages.Verdict.GRANTED
            )
            end(state, PART, f"t{number}", at_s=at_s)
            refused = ask(state, PART, "early", at_s=at_s)
            assert refused == suspect_messages.TrialAnswer(
                suspect_messages.Verdict.REFUSED, 2, cooldown_s
            )
            at_s += cooldown_s

    def test_an_unaccused_workspace_has_one_trial_of_its_own(self, state):
        make_refused(state)
        other = suspect_messages.Asker("shop")
        assert ask(state, PART, "t3").verdict is suspect_messages.Verdict.REFUSED
        assert ask(state, PART, "t4", asker=other).verdict is suspect_messages.Verdict.GRANTED
        end(state, PART, "t4")
        assert ask(state, PART, "t5", asker=other).verdict is suspect_messages.Verdict.REFUSED
        assert not update_for(state).suspects[0].has_own_trial

    def test_a_request_without_a_part_present_at_each_trial_has_one_too(self, state):
        make_refused(state, suspect_messages.Asker("clinic", (OTHER, "part-c")))
        with_it = suspect_messages.Asker("clinic", (OTHER, "part-c"))
        assert ask(state, PART, "t3", asker=with_it).verdict is suspect_messages.Verdict.REFUSED
        without = suspect_messages.Asker("clinic", ("part-c",))
        assert ask(state, PART, "t4", asker=without).verdict is suspect_messages.Verdict.GRANTED

    def test_a_success_clears_a_part_for_all_workspaces(self, state):
        make_refused(state)
        clear(state, PART)
        assert ask(state, PART, "t3").verdict is suspect_messages.Verdict.FREE

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("clinic", "shop", "spa")),
                strategies.sampled_from(((), (OTHER,))),
                strategies.floats(0.0, 30.0),
                strategies.booleans(),
            ),
            max_size=60,
        )
    )
    def test_a_part_that_always_crashes_is_sent_at_most_three_times_after_the_fifth_crash(
        self, steps
    ):
        state, at_s, crash_count, late = replicated_state.ReplicatedState(), 0.0, 0, 0
        for number, (workspace, others, pause_s, is_reported) in enumerate(steps):
            at_s += pause_s
            answer = ask(
                state, PART, f"t{number}", at_s, asker=suspect_messages.Asker(workspace, others)
            )
            if answer.verdict not in (
                suspect_messages.Verdict.FREE,
                suspect_messages.Verdict.GRANTED,
            ):
                continue
            late += crash_count >= suspect_rules.TOLERATED_CRASHES
            if is_reported or answer.verdict is suspect_messages.Verdict.FREE:
                # The crash in a trial may be lost with its router.
                crash(state, PART, f"e{number}", at_s=at_s, workspace=workspace)
            crash_count += 1
            end(state, PART, f"t{number}", at_s=at_s)
        assert late <= 3


_CRASH = strategies.builds(
    suspect_messages.Crash,
    strategies.sampled_from(NAMES),
    strategies.sampled_from(("w", "v")),
    strategies.sampled_from(LIVES),
    strategies.sampled_from(("p", "q")),
)
_REPORT = strategies.builds(
    suspect_messages.Report,
    crashes=strategies.lists(_CRASH, max_size=3).map(tuple),
    trial_ends=strategies.lists(
        strategies.builds(
            suspect_messages.TrialEnd,
            strategies.sampled_from(NAMES),
            strategies.sampled_from("123"),
            strategies.booleans(),
        ),
        max_size=1,
    ).map(tuple),
    cleared=strategies.lists(strategies.sampled_from(NAMES), max_size=1).map(tuple),
)
_COMMAND = strategies.one_of(
    strategies.builds(replicated_state.ReportSuspects, _REPORT, strategies.floats(0, 2000)),
    strategies.builds(
        replicated_state.BeginTrial,
        strategies.sampled_from(NAMES),
        strategies.sampled_from("123456"),
        strategies.just(LIMIT_S),
        strategies.floats(0, 2000),
        strategies.builds(
            suspect_messages.Asker,
            strategies.sampled_from(("w", "v")),
            strategies.sampled_from(((), ("part-a",), ("part-b",))),
        ),
    ),
)


class _Router:
    """Applies the updates that it receives, as routers do."""

    def __init__(self):
        self.revision = 0
        self.known = {}

    def update(self, state):
        change = update_for(state, self.revision)
        if change is None:
            return
        if change.is_whole:
            self.known.clear()
        for each in change.removed:
            self.known.pop(each, None)
        self.known |= {each.fingerprint: each for each in change.suspects}
        self.revision = change.revision


@hypothesis.given(strategies.lists(strategies.tuples(_COMMAND, strategies.booleans()), max_size=40))
def test_incremental_updates_give_the_same_as_a_full_one(steps):
    state, router = replicated_state.ReplicatedState(), _Router()
    for command, is_updated in steps:
        state.apply(command)
        if is_updated:
            router.update(state)
    late = _Router()
    router.update(state)
    late.update(state)
    assert router.known == late.known


@hypothesis.given(strategies.lists(strategies.tuples(_COMMAND, strategies.booleans()), max_size=40))
def test_a_restarted_control_box_computes_the_same_state(steps):
    state, restarted = replicated_state.ReplicatedState(), replicated_state.ReplicatedState()
    for command, starts_again in steps:
        written = commands.encode(command)
        assert state.apply(command) == restarted.apply(commands.decode(written))
        if starts_again:
            text = state_codec.encode(restarted)
            restarted = replicated_state.ReplicatedState()
            state_codec.restore(text, restarted)
    assert restarted.suspects.all() == state.suspects.all()
    assert restarted.suspects.revision == state.suspects.revision


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.floats(0, 30)), max_size=60
    )
)
def test_a_request_that_always_crashes_gets_a_limited_number_of_trials(steps):
    state, now_s, granted = replicated_state.ReplicatedState(), 0.0, 0
    crash(state, "f", "e1", "e2")
    for number, (is_reported, pause_s) in enumerate(steps):
        now_s += pause_s
        if ask(state, "f", f"t{number}", now_s).verdict is suspect_messages.Verdict.GRANTED:
            granted += 1
            if is_reported:
                crash(state, "f", f"later-{number}", at_s=now_s)
    # Without a third crash the cooldown is short and may expire, which allows one more trial.
    assert granted <= suspect_rules.MAX_TRIALS + 1


def test_a_snapshot_without_suspects_can_be_restored(state):
    text = state_codec.encode(state)
    restored = replicated_state.ReplicatedState()
    crash(restored, "f", "e1")
    state_codec.restore(text, restored)
    assert restored.suspects.all() == ()
    assert attrs.fields(state_codec._Document).suspects.default == ()
