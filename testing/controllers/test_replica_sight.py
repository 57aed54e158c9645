"""The log lines of a replica controller, and its behavior after failed entries and writes."""

from __future__ import annotations

import errno
import json
import random

import pytest

from conftest import wait_until
from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.controllers import actors, proposals, replica, replica_standing
from croftpulley.core import replicated_state, submissions, suspect_messages
from croftpulley.core.replication import messages
from croftpulley.core.replication import state as states
from croftpulley.observe import events, metrics
from croftpulley.storage import files, replica_store
from croftpulley.transport import senders

UNREACHABLE = "127.0.0.1:1"
MEMBERS = (messages.Member("a", UNREACHABLE), messages.Member("b", UNREACHABLE))
REQUEST_TIMEOUT_S = 0.2


@pytest.fixture
def start(tmp_path):
    started = []

    def make(members=MEMBERS[:1], counters=None, open_file=files.DiskFile):
        state = replicated_state.ReplicatedState(submissions=submissions.HighestNumber())
        view = actors.View(replica_standing.ReplicaStatus())
        controller = replica.ReplicaController.start(
            replica.Identity(
                replica="a", address=UNREACHABLE, seed_addresses=(), first_members=members
            ),
            replica_store.ReplicaStore(tmp_path, open_file),
            states.Timing(election_s=0.05),
            senders.Senders(REQUEST_TIMEOUT_S, counters or metrics.Metrics()),
            state,
            view,
            clocks.SystemClock(),
            random.Random(1),
        )
        started.append((controller, actors.Ticker(controller, 0.01)))
        return controller, view, replica.ReplicatedLog(controller, state)

    yield make
    for controller, ticker in started:
        ticker.stop()
        controller.stop()


def records_of(caplog, event):
    return [each for each in caplog.records if getattr(each, "event", 0) == event.value]


def has_authority(view):
    return view.get().has_authority(clocks.SystemClock().monotonic_s())


def test_unanswered_request_is_logged_with_its_size_and_counted(start, caplog):
    caplog.set_level("INFO")
    counters = metrics.Metrics()
    start(MEMBERS, counters)
    wait_until(lambda: records_of(caplog, events.Event.REPLICA_UNANSWERED), "the request failed")
    (line, *_) = records_of(caplog, events.Event.REPLICA_UNANSWERED)
    assert line.address == UNREACHABLE
    assert line.size_bytes > 0
    assert line.took_s >= 0
    assert "NewConnectionError" in line.problem
    assert b'croftpulley_control_failures_total{kind="/v1/replica/requests"}' in counters.render()


def test_compaction_is_logged_with_snapshot_index_and_size(start, caplog):
    caplog.set_level("INFO")
    _, view, log = start()
    wait_until(lambda: view.get().role is states.Role.LEADER, "the replica leads")
    for number in range(replica.SNAPSHOT_AFTER_ENTRIES + 1):
        log.propose(replicated_state.GrantOwnership(f"engine-{number}", "a")).get(timeout=5)
    wait_until(lambda: records_of(caplog, events.Event.LOG_COMPACTED), "the log was compacted")
    (line, *_) = records_of(caplog, events.Event.LOG_COMPACTED)
    assert line.snapshot_index > 0
    assert line.size_bytes > 0


def test_state_above_the_size_limit_is_not_compacted_at_each_entry(start, caplog):
    caplog.set_level("INFO")
    _, view, log = start()
    wait_until(lambda: view.get().role is states.Role.LEADER, "the replica leads")
    # Random digits, which stay longer than the limit when compressed.
    document = json.dumps(random.Random(1).randbytes(replica.SNAPSHOT_AFTER_BYTES).hex())
    submission = submissions.Submission("operator", 1, document)
    log.propose(replicated_state.SubmitConfiguration(submission)).get(timeout=5)
    wait_until(lambda: records_of(caplog, events.Event.LOG_COMPACTED), "the log was compacted")
    for number in range(5):
        log.propose(replicated_state.GrantOwnership(f"engine-{number}", "a")).get(timeout=5)
    (line,) = records_of(caplog, events.Event.LOG_COMPACTED)
    assert line.size_bytes > replica.SNAPSHOT_AFTER_BYTES


def test_role_change_is_logged_with_last_and_commit_index(start, caplog):
    caplog.set_level("INFO")
    _, view, _ = start()
    wait_until(lambda: view.get().role is states.Role.LEADER, "the replica leads")
    line = records_of(caplog, events.Event.REPLICA_ROLE)[-1]
    assert (line.role, line.last_index, line.commit_index) == ("leader", 1, 1)


def test_entry_that_raises_does_not_stop_the_rest_of_its_batch(start, caplog, monkeypatch):
    """Guards against diverging states when applying the first entry of a batch raises.

    All entries of a batch count as taken before the first is applied, so an exception in one used
    to drop the others for good. Batches differ between control boxes, and a restarted one has all
    entries in one batch, so the states would have diverged.
    """
    apply = replicated_state.ReplicatedState.apply

    def apply_or_raise(state, command):
        if command == replicated_state.ForgetBox("raises"):
            raise ValueError("cannot be applied")
        return apply(state, command)

    monkeypatch.setattr(replicated_state.ReplicatedState, "apply", apply_or_raise)
    _, view, log = start()
    wait_until(lambda: has_authority(view), "the replica leads")
    failing = log.propose(replicated_state.ForgetBox("raises"))
    succeeding = log.propose(replicated_state.GrantOwnership("engine", "box"))
    assert succeeding.get(timeout=5).epoch == 1
    with pytest.raises(errors.CroftpulleyError, match="INTERNAL"):
        failing.get(timeout=5)
    (line,) = records_of(caplog, events.Event.ENTRY_NOT_APPLIED)
    assert line.index > 0


@pytest.fixture
def failing_disk():
    """Return a file class, and a function that makes its next writes fail a number of times."""
    remaining = [0]

    class FailingFile(files.DiskFile):
        def append(self, data):
            if remaining[0]:
                remaining[0] -= 1
                raise OSError(errno.ENOSPC, "no space left on device")
            super().append(data)

    def fail_next_writes(times):
        remaining[0] = times

    return FailingFile, fail_next_writes


def test_no_entry_is_applied_twice_after_a_failed_write(start, failing_disk):
    """Guards against applying the log twice when the disk is full for a moment.

    The box then reloads its log and applies it from the beginning. The state was reset if the log
    had a snapshot, but before the first one (128 entries) all entries were applied on top of the
    old state. Counters such as owner epochs and the trials of a suspect then differed between
    boxes: the epoch was 3 after two grants.
    """
    open_file, fail_next_writes = failing_disk
    _, view, log = start(open_file=open_file)
    wait_until(lambda: has_authority(view), "the replica leads")
    crashes = tuple(
        suspect_messages.Crash("f", "clinic", incarnation) for incarnation in ("e1", "e2")
    )
    for command in (
        replicated_state.GrantOwnership("engine", "box"),
        replicated_state.ReportSuspects(suspect_messages.Report(crashes=crashes), 0.0),
        replicated_state.BeginTrial("f", "t1", 5.0, 1.0),
        replicated_state.ReportSuspects(
            suspect_messages.Report(
                trial_ends=(suspect_messages.TrialEnd("f", "t1", was_sent=False),)
            ),
            2.0,
        ),
        replicated_state.BeginTrial("f", "t2", 5.0, 3.0),
        replicated_state.ReportSuspects(
            suspect_messages.Report(trial_ends=(suspect_messages.TrialEnd("f", "t2"),)), 4.0
        ),
    ):
        log.propose(command).get(timeout=5)
    fail_next_writes(1)
    with pytest.raises(errors.CroftpulleyError, match="NOT_LEADER"):
        log.propose(replicated_state.ForgetBox("nobody")).get(timeout=5)
    wait_until(lambda: has_authority(view), "the replica leads again")
    (suspect,) = log.read().suspects.all()
    assert suspect.trials == 1
    assert log.propose(replicated_state.GrantOwnership("engine", "box")).get(timeout=5).epoch == 2


def test_authority_is_withdrawn_before_proposals_fail_on_a_disk_error(
    start, failing_disk, monkeypatch
):
    """Guards against failing proposals before the loss of authority is published.

    A proposer then still saw a box with authority for a moment; the test above could have mistaken
    that for the regained one.
    """
    open_file, fail_next_writes = failing_disk
    _, view, log = start(open_file=open_file)
    wait_until(lambda: has_authority(view), "the replica leads")
    authority_at_failure = []
    fail = proposals.Proposal.fail

    def watched(proposal, *args):
        authority_at_failure.append(has_authority(view))
        fail(proposal, *args)

    monkeypatch.setattr(proposals.Proposal, "fail", watched)
    fail_next_writes(1)
    with pytest.raises(errors.CroftpulleyError, match="NOT_LEADER"):
        log.propose(replicated_state.ForgetBox("nobody")).get(timeout=5)
    assert authority_at_failure == [False]


# A status from before the failure was published again: the box seemed to lead until the reload.
def test_a_failed_compaction_ends_the_authority_until_the_log_is_loaded_again(start, monkeypatch):
    _, view, log = start()
    wait_until(lambda: has_authority(view), "the replica leads")
    happened = []
    publish = view.publish
    load = replica.ReplicaController._load

    def watched_publish(status):
        happened.append(status.role)
        publish(status)

    def watched_load(controller):
        happened.append("loaded")
        load(controller)

    def fail(_store, _stored):
        happened.append("failed")
        raise OSError(errno.ENOSPC, "no space left on device")

    monkeypatch.setattr(view, "publish", watched_publish)
    monkeypatch.setattr(replica.ReplicaController, "_load", watched_load)
    monkeypatch.setattr(replica_store.ReplicaStore, "needs_rewrite", lambda _store, _bytes: True)
    monkeypatch.setattr(replica_store.ReplicaStore, "rewrite", fail)
    log.propose(replicated_state.ForgetBox("nobody"))
    wait_until(lambda: "loaded" in happened, "the log is loaded again")
    since_failure = happened[happened.index("failed") + 1 : happened.index("loaded")]
    assert since_failure == [states.Role.FOLLOWER]
