from __future__ import annotations

import pytest

from croftpulley import codes
from croftpulley.core import claims, membership, replicated_state, submissions, suspect_messages
from croftpulley.storage import state_codec

CRASH = suspect_messages.Crash("f", "clinic", "e1")
BOX = membership.Box("box-1", "hall-a", "127.0.0.1:1", "127.0.0.1:2")


@pytest.mark.parametrize("register", [submissions.Submissions, submissions.HighestNumber])
def test_a_state_survives_encoding(register):
    state = replicated_state.ReplicatedState(submissions=register())
    outcome = claims.Outcome(codes.RunState.RAN, 200, "x/y", b"\xff\x00")
    for command in (
        replicated_state.SubmitConfiguration(submissions.Submission("aigerim", 7, '{"a": 1}')),
        replicated_state.RegisterBox(BOX),
        replicated_state.GrantOwnership("e", "box-1"),
        replicated_state.ClaimCall("clinic", "k", "digest", "c-1", 12.5),
        replicated_state.RecordOutcome("clinic", "k", outcome),
    ):
        state.apply(command)
    restored = replicated_state.ReplicatedState()
    state_codec.restore(state_codec.encode(state), restored)
    assert restored == state


@pytest.mark.parametrize("register", [submissions.Submissions, submissions.HighestNumber])
def test_an_empty_text_is_the_state_before_the_first_command(register):
    state = replicated_state.ReplicatedState(submissions=register())
    state.apply(replicated_state.SubmitConfiguration(submissions.Submission("aigerim", 7, "{}")))
    state.apply(replicated_state.RegisterBox(BOX))
    state.apply(replicated_state.GrantOwnership("e", "box-1"))
    state.apply(replicated_state.ClaimCall("clinic", "k", "digest", "c-1", 12.5))
    state.apply(replicated_state.ReportSuspects(suspect_messages.Report(crashes=(CRASH,)), 1.0))
    state_codec.restore("", state)
    assert state == replicated_state.ReplicatedState(submissions=register())


def test_a_text_that_holds_no_state_is_refused():
    with pytest.raises(ValueError, match="holds no state"):
        state_codec.restore('{"boxes": 3}', replicated_state.ReplicatedState())


def test_a_snapshot_in_the_older_format_is_read_without_loss():
    # Written before the document and its version became one field.
    text = (
        '{"register": {"rule": "HighestNumber", "version": 9, "document_json": "{}9", '
        '"current": {"operator": "", "number": 9, "digest": "d", "version": 9}}, '
        '"claims": [], "boxes": [], "owners": []}'
    )
    state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
    state_codec.restore(text, state)
    assert state.submissions.held == submissions.VersionedDocument(9, "{}9")
    assert state.submissions.history()[0].number == 9


def test_a_register_in_an_unknown_format_is_refused():
    text = '{"register": {"rule": "HighestNumber"}, "claims": [], "boxes": [], "owners": []}'
    with pytest.raises(ValueError, match="holds no state"):
        state_codec.restore(text, replicated_state.ReplicatedState())
