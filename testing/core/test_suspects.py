"""What control boxes agree on of requests under which endpoints end."""

from __future__ import annotations

import attrs
import hypothesis
import pytest
from hypothesis import strategies

from croftpulley.core import agreed, suspect_messages, suspect_rules, suspects
from croftpulley.storage import commands, state_codec

NAMES = ("a", "b", "part-a", "part-b")
LIVES = ("e1", "e2", "e3", "e4", "e5")
LIMIT_S = 5.0
PART = "part-a"
OTHER = "part-b"
CLINIC = suspect_messages.Asker("clinic")


@pytest.fixture
def state():
    return agreed.AgreedState()


def crash(state, fingerprint, *lives, at_s=0.0, workspace="clinic"):
    """Report that endpoints ended under a request."""
    crashes = tuple(suspect_messages.Crash(fingerprint, workspace, life) for life in lives)
    return state.apply(agreed.ReportSuspects(suspect_messages.Report(crashes=crashes), at_s))


def ask(state, fingerprint, trial, at_s=0.0, asker=CLINIC):
    """Ask for a trial."""
    return state.apply(agreed.BeginTrial(fingerprint, trial, LIMIT_S, at_s, asker))


def refuse(state, asker=CLINIC):
    """Have a part be refused after two trials."""
    crash(state, PART, "e1", "e2")
    for trial, life in (("t1", "e3"), ("t2", "e4")):
        ask(state, PART, trial, asker=asker)
        crash(state, PART, life)
        end(state, PART, trial)


def end(state, fingerprint, trial, at_s=0.0, *, was_sent=True):
    """Report that a trial is over."""
    ends = (suspect_messages.TrialEnd(fingerprint, trial, was_sent),)
    state.apply(agreed.ReportSuspects(suspect_messages.Report(trial_ends=ends), at_s))


def clear(state, *fingerprints, at_s=0.0):
    """Report that requests were answered whole."""
    state.apply(agreed.ReportSuspects(suspect_messages.Report(cleared=fingerprints), at_s))


def told(state, revision=0, at_s=0.0):
    """Return what a router is told."""
    return state.suspects.bulletin.since(revision, at_s)


def test_one_end_says_nothing_and_is_not_told(state):
    assert crash(state, "f", "e1") == ()
    assert ask(state, "f", "t").verdict is suspect_messages.Verdict.FREE
    assert told(state) is None


def test_an_end_that_several_routers_report_counts_once(state):
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


def test_a_verdict_is_asked_while_the_log_is_applied(state):
    # Threads that answer routers must not see a suspect between its removal and its return.
    crash(state, "f", "e1", "e2")
    ask(state, "f", "t1")
    state.suspects._by_fingerprint.clear()
    assert state.suspects.verdict("f", "t2", 0.0).verdict is suspect_messages.Verdict.BUSY


def test_a_trial_whose_router_says_nothing_more_ends_with_its_time(state):
    crash(state, "f", "e1", "e2")
    ask(state, "f", "t1", at_s=10.0)
    assert ask(state, "f", "t2", at_s=10.0 + LIMIT_S).verdict is suspect_messages.Verdict.GRANTED


def test_one_whose_trials_end_endpoints_rests_and_is_then_tried_once_more(state):
    crash(state, "f", "e1", "e2")
    for trial, life in (("t1", "e3"), ("t2", "e4")):
        assert ask(state, "f", trial).verdict is suspect_messages.Verdict.GRANTED
        crash(state, "f", life, at_s=1.0)
        end(state, "f", trial, at_s=1.0)
    refused = ask(state, "f", "t3", at_s=2.0)
    assert refused == suspect_messages.TrialAnswer(
        suspect_messages.Verdict.REFUSED, 4, suspect_rules.REST_S - 1.0
    )
    assert told(state, at_s=2.0).suspects == (
        suspect_messages.Told("f", 4, suspect_rules.REST_S - 1.0),
    )
    rested_s = 1.0 + suspect_rules.REST_S
    assert ask(state, "f", "t3", at_s=rested_s).verdict is suspect_messages.Verdict.GRANTED
    end(state, "f", "t3", at_s=rested_s)
    later_s = rested_s + suspect_rules.REST_S
    assert ask(state, "f", "t4", at_s=later_s).verdict is suspect_messages.Verdict.REFUSED


def test_a_trial_counts_although_nothing_is_heard_of_it_again(state):
    # Its router may have been killed with what it met.
    crash(state, "f", "e1", "e2")
    for number in range(suspect_rules.MOST_TRIALS):
        asked = ask(state, "f", f"t{number}", at_s=number * LIMIT_S)
        assert asked.verdict is suspect_messages.Verdict.GRANTED
    late_s = suspect_rules.MOST_TRIALS * LIMIT_S
    refused = ask(state, "f", "late", at_s=late_s)
    assert refused.verdict is suspect_messages.Verdict.REFUSED
    assert refused.wait_s == suspect_rules.UNPROVEN_REST_S - LIMIT_S


@pytest.mark.parametrize(("ends", "trials"), [(2, 2), (3, 2), (4, 1), (5, 0), (9, 0)])
def test_the_more_endpoints_ended_at_once_the_fewer_trials_there_are(state, ends, trials):
    crash(state, "f", *(f"e{number}" for number in range(ends)))
    granted = 0
    for number in range(9):
        asked = ask(state, "f", f"t{number}")
        granted += asked.verdict is suspect_messages.Verdict.GRANTED
        end(state, "f", f"t{number}")
    assert granted == trials


def test_one_that_was_unlucky_three_times_is_cleared_by_a_whole_answer(state):
    crash(state, "f", "e1", "e2")
    assert ask(state, "f", "t1").verdict is suspect_messages.Verdict.GRANTED
    crash(state, "f", "e3")
    end(state, "f", "t1")
    assert ask(state, "f", "t2").verdict is suspect_messages.Verdict.GRANTED
    known = state.suspects.revision
    clear(state, "f")
    assert ask(state, "f", "t3").verdict is suspect_messages.Verdict.FREE
    assert told(state, known).removed == ("f",)


@pytest.mark.parametrize("repeats", [1, 2])
def test_a_trial_that_reached_no_endpoint_does_not_count(state, repeats):
    crash(state, "f", "e1", "e2", "e3")
    for number in range(suspect_rules.MOST_TRIALS + 1):
        assert ask(state, "f", f"t{number}").verdict is suspect_messages.Verdict.GRANTED
        for _ in range(repeats):
            end(state, "f", f"t{number}", was_sent=False)
    (known,) = state.suspects.all()
    assert known.trials == 0


def test_thousands_of_different_ones_of_one_workspace_drive_out_no_other(state):
    crash(state, "theirs", "e1", "e2", "e3", workspace="shop")
    for number in range(suspects.MOST_SUSPECTS + 200):
        crash(state, f"f{number}", "e1", "e2", "e3", at_s=1.0)
    assert len(state.suspects.all()) == suspects.MOST_SUSPECTS
    assert "theirs" in {each.fingerprint for each in state.suspects.all()}


def test_those_under_which_fewest_endpoints_ended_are_forgotten_first(state):
    crash(state, "first", "e1", "e2")
    for number in range(suspects.MOST_SUSPECTS):
        crash(state, f"f{number}", "e1", at_s=1.0)
    kept = {each.fingerprint for each in state.suspects.all()}
    assert "first" in kept
    assert "f0" not in kept


def test_what_is_old_is_forgotten(state):
    crash(state, "f", "e1", "e2", "e3")
    crash(state, "g", "e1", at_s=suspect_rules.KEPT_S)
    assert {each.fingerprint for each in state.suspects.all()} == {"g"}


def test_a_router_that_lacks_too_much_is_told_all(state):
    crash(state, "kept", "e1", "e2")
    for number in range(suspects.MOST_REMOVED + 1):
        crash(state, f"f{number}", "e1", "e2")
        clear(state, f"f{number}")
    change = told(state, revision=2)
    assert change.is_whole
    assert [each.fingerprint for each in change.suspects] == ["kept"]


def test_a_router_that_knows_a_later_revision_is_told_all(state):
    # All disks were lost, and the fleet began anew.
    crash(state, "f", "e1", "e2")
    assert told(state, revision=99).is_whole


class TestParts:
    """What differs for a part of prompts, which others share."""

    def test_the_first_end_is_told_and_holds_nothing_back(self, state):
        assert crash(state, PART, "e1") == ()
        (known,) = told(state).suspects
        assert (known.crashes, known.accused) == (1, ("clinic",))
        assert ask(state, PART, "t").verdict is suspect_messages.Verdict.FREE

    def test_two_trials_that_end_endpoints_refuse_it(self, state):
        crash(state, PART, "e1", "e2")
        for trial, life in (("t1", "e3"), ("t2", "e4")):
            assert ask(state, PART, trial).verdict is suspect_messages.Verdict.GRANTED
            crash(state, PART, life)
            end(state, PART, trial)
        refused = ask(state, PART, "t3")
        assert refused == suspect_messages.TrialAnswer(
            suspect_messages.Verdict.REFUSED, 4, suspect_rules.REST_S
        )

    def test_ends_at_one_moment_alone_refuse_nothing(self, state):
        # A hall loses its power, and it was under way in each endpoint.
        crash(state, PART, *(f"e{number}" for number in range(9)))
        assert ask(state, PART, "t1").verdict is suspect_messages.Verdict.GRANTED

    def test_trials_that_come_to_nothing_are_spaced_and_refuse_for_no_longer(self, state):
        crash(state, PART, "e1", "e2")
        at_s = 0.0
        for blank, rest_s in enumerate(suspect_rules.BLANK_RESTS_S[1:]):
            assert (
                ask(state, PART, f"t{blank}", at_s=at_s).verdict is suspect_messages.Verdict.GRANTED
            )
            end(state, PART, f"t{blank}", at_s=at_s)
            refused = ask(state, PART, "early", at_s=at_s)
            assert refused == suspect_messages.TrialAnswer(
                suspect_messages.Verdict.REFUSED, 2, rest_s
            )
            at_s += rest_s

    def test_a_workspace_under_which_none_ended_has_one_trial_of_its_own(self, state):
        refuse(state)
        other = suspect_messages.Asker("shop")
        assert ask(state, PART, "t3").verdict is suspect_messages.Verdict.REFUSED
        assert ask(state, PART, "t4", asker=other).verdict is suspect_messages.Verdict.GRANTED
        end(state, PART, "t4")
        assert ask(state, PART, "t5", asker=other).verdict is suspect_messages.Verdict.REFUSED
        assert not told(state).suspects[0].has_own_trial

    def test_so_has_a_request_without_a_part_that_was_there_each_time(self, state):
        refuse(state, suspect_messages.Asker("clinic", (OTHER, "part-c")))
        with_it = suspect_messages.Asker("clinic", (OTHER, "part-c"))
        assert ask(state, PART, "t3", asker=with_it).verdict is suspect_messages.Verdict.REFUSED
        without = suspect_messages.Asker("clinic", ("part-c",))
        assert ask(state, PART, "t4", asker=without).verdict is suspect_messages.Verdict.GRANTED

    def test_a_survival_clears_it_for_all(self, state):
        refuse(state)
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
    def test_one_that_ends_all_is_sent_three_times_at_most_after_the_fifth_end(self, steps):
        state, at_s, ends, late = agreed.AgreedState(), 0.0, 0, 0
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
            late += ends >= suspect_rules.BORNE_CRASHES
            if is_reported or answer.verdict is suspect_messages.Verdict.FREE:
                # The end under a trial may be lost with its router.
                crash(state, PART, f"e{number}", at_s=at_s, workspace=workspace)
            ends += 1
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
    strategies.builds(agreed.ReportSuspects, _REPORT, strategies.floats(0, 2000)),
    strategies.builds(
        agreed.BeginTrial,
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
    """Learns what it is told, as routers do."""

    def __init__(self):
        self.revision = 0
        self.known = {}

    def renew(self, state):
        change = told(state, self.revision)
        if change is None:
            return
        if change.is_whole:
            self.known.clear()
        for each in change.removed:
            self.known.pop(each, None)
        self.known |= {each.fingerprint: each for each in change.suspects}
        self.revision = change.revision


@hypothesis.given(strategies.lists(strategies.tuples(_COMMAND, strategies.booleans()), max_size=40))
def test_a_router_that_renews_now_and_then_knows_what_one_knows_that_has_just_come(steps):
    state, router = agreed.AgreedState(), _Router()
    for command, renews in steps:
        state.apply(command)
        if renews:
            router.renew(state)
    late = _Router()
    router.renew(state)
    late.renew(state)
    assert router.known == late.known


@hypothesis.given(strategies.lists(strategies.tuples(_COMMAND, strategies.booleans()), max_size=40))
def test_a_control_box_that_starts_again_comes_to_the_same(steps):
    state, restarted = agreed.AgreedState(), agreed.AgreedState()
    for command, starts_again in steps:
        written = commands.encode(command)
        assert state.apply(command) == restarted.apply(commands.decode(written))
        if starts_again:
            text = state_codec.encode(restarted)
            restarted = agreed.AgreedState()
            state_codec.restore(text, restarted)
    assert restarted.suspects.all() == state.suspects.all()
    assert restarted.suspects.revision == state.suspects.revision


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.booleans(), strategies.floats(0, 30)), max_size=60
    )
)
def test_a_request_that_ends_every_endpoint_is_granted_no_more_than_its_trials(steps):
    state, now_s, granted = agreed.AgreedState(), 0.0, 0
    crash(state, "f", "e1", "e2")
    for number, (is_reported, pause_s) in enumerate(steps):
        now_s += pause_s
        if ask(state, "f", f"t{number}", now_s).verdict is suspect_messages.Verdict.GRANTED:
            granted += 1
            if is_reported:
                crash(state, "f", f"later-{number}", at_s=now_s)
    # A rest that is short where no third end is known may pass.
    assert granted <= suspect_rules.MOST_TRIALS + 1


def test_a_snapshot_without_suspects_is_read(state):
    text = state_codec.encode(state)
    restored = agreed.AgreedState()
    crash(restored, "f", "e1")
    state_codec.restore(text, restored)
    assert restored.suspects.all() == ()
    assert attrs.fields(state_codec._Document).suspects.default == ()
