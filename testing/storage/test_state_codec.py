from __future__ import annotations

import pytest

from croftpulley import codes
from croftpulley.core import agreed, claims, membership, submissions, suspect_messages
from croftpulley.storage import state_codec

CRASH = suspect_messages.Crash("f", "clinic", "e1")
BOX = membership.Box("box-1", "hall-a", "127.0.0.1:1", "127.0.0.1:2")


@pytest.mark.parametrize("register", [submissions.Submissions, submissions.HighestNumber])
def test_a_state_survives_encoding(register):
    state = agreed.ReplicatedState(submissions=register())
    outcome = claims.Outcome(codes.RunState.RAN, 200, "x/y", b"\xff\x00")
    for command in (
        agreed.SubmitConfiguration(submissions.Submission("aigerim", 7, '{"a": 1}')),
        agreed.RegisterBox(BOX),
        agreed.GrantOwnership("e", "box-1"),
        agreed.ClaimCall("clinic", "k", "digest", "c-1", 12.5),
        agreed.RecordOutcome("clinic", "k", outcome),
    ):
        state.apply(command)
    restored = agreed.ReplicatedState()
    state_codec.restore(state_codec.encode(state), restored)
    assert restored == state


@pytest.mark.parametrize("register", [submissions.Submissions, submissions.HighestNumber])
def test_an_empty_text_is_the_state_before_the_first_command(register):
    state = agreed.ReplicatedState(submissions=register())
    state.apply(agreed.SubmitConfiguration(submissions.Submission("aigerim", 7, "{}")))
    state.apply(agreed.RegisterBox(BOX))
    state.apply(agreed.GrantOwnership("e", "box-1"))
    state.apply(agreed.ClaimCall("clinic", "k", "digest", "c-1", 12.5))
    state.apply(agreed.ReportSuspects(suspect_messages.Report(crashes=(CRASH,)), 1.0))
    state_codec.restore("", state)
    assert state == agreed.ReplicatedState(submissions=register())


def test_a_text_that_holds_no_state_is_refused():
    with pytest.raises(ValueError, match="holds no state"):
        state_codec.restore('{"boxes": 3}', agreed.ReplicatedState())


def test_a_snapshot_in_the_older_format_is_read_without_loss():
    # Written before the document and its version became one field.
    text = (
        '{"register": {"rule": "HighestNumber", "version": 9, "document_json": "{}9", '
        '"current": {"operator": "", "number": 9, "digest": "d", "version": 9}}, '
        '"claims": [], "boxes": [], "owners": []}'
    )
    state = agreed.ReplicatedState(submissions=submissions.HighestNumber())
    state_codec.restore(text, state)
    assert state.submissions.held == submissions.VersionedDocument(9, "{}9")
    assert state.submissions.history()[0].number == 9


def test_a_register_in_an_unknown_format_is_refused():
    text = '{"register": {"rule": "HighestNumber"}, "claims": [], "boxes": [], "owners": []}'
    with pytest.raises(ValueError, match="holds no state"):
        state_codec.restore(text, agreed.ReplicatedState())
