"""Faults that a test or an operator can ask a stand-in for."""

from __future__ import annotations

import enum
import threading


class Fault(enum.Enum):
    """What a stand-in does wrong with one request."""

    REFUSE = "refuse"
    RESET_BEFORE_ANSWER = "reset_before_answer"
    RESET_AFTER_RUN = "reset_after_run"
    DIE_MID_STREAM = "die_mid_stream"
    RESET_MID_STREAM = "reset_mid_stream"
    HALF_EVENT = "half_event"
    SILENT = "silent"
    SILENT_MID_STREAM = "silent_mid_stream"
    SLOW_HEADERS = "slow_headers"
    DUPLICATED = "duplicated"
    REORDERED = "reordered"
    OVERLAPPING = "overlapping"
    WRONG_TOTAL = "wrong_total"
    WRONG_LENGTH = "wrong_length"
    NOT_JSON = "not_json"
    ERROR = "error"
    ERROR_UNRUN = "error_unrun"
    """Answer 500 as if it had run, before it begins to."""
    DECLINE = "decline"
    MISDIRECTED = "misdirected"
    EMPTY_ERROR = "empty_error"
    """Answer 500 without a body."""
    UNMARKED_503 = "unmarked_503"
    NO_PROOF = "no_proof"
    WRONG_ID = "wrong_id"
    SURPLUS = "surplus"
    SPOILT_LENGTH = "spoilt_length"
    """Say wrongly where the answer ends."""
    SPOILT_NAME = "spoilt_name"
    """Write the name of that header wrongly."""
    NO_FIELD = "no_field"
    """Send a line before it that is no header."""
    NO_STATUS = "no_status"
    """Answer with status 000."""
    UNFRAMED = "unframed"
    """Answer without a length: only the connection's end ends it."""
    UNFRAMED_SLOWLY = "unframed_slowly"
    """The same, piece by piece, with a pause before each."""
    UNFRAMED_SILENT = "unframed_silent"
    """Begin such an answer and then say nothing more."""
    ENDLESS_STATUS_LINE = "endless_status_line"
    """This and the next ones are sent until the caller closes (`fakes.endless`)."""
    ENDLESS_INTERIM_HEADS = "endless_interim_heads"
    ENDLESS_INTERIM_FIELDS = "endless_interim_fields"
    ENDLESS_FIELD_NAME = "endless_field_name"
    ENDLESS_FIELD_VALUE = "endless_field_value"
    ENDLESS_HEADERS = "endless_headers"
    ENDLESS_SHORT_HEADERS = "endless_short_headers"
    ENDLESS_BODY = "endless_body"
    """Of an answer without a length."""
    ENDLESS_LENGTH = "endless_length"
    """A body whose length is a number beyond all measure."""
    ENDLESS_CHUNKS = "endless_chunks"
    ENDLESS_SMALL_CHUNKS = "endless_small_chunks"
    """Of one byte each."""
    ENDLESS_CHUNK = "endless_chunk"
    """One chunk of such a length."""
    ENDLESS_CHUNK_SIZE = "endless_chunk_size"
    """The size of a chunk as a number that never ends."""
    ENDLESS_CHUNK_EXTENSION = "endless_chunk_extension"
    """What follows the size of a chunk in its line."""
    ENDLESS_CHUNK_END = "endless_chunk_end"
    """Where the line should end after a chunk."""
    ENDLESS_TRAILERS = "endless_trailers"
    """After the last chunk of a whole answer."""
    ENDLESS_TRAILER = "endless_trailer"
    ENDLESS_LINES = "endless_lines"
    """Of an event stream, with no event in them."""
    ENDLESS_EVENT_LINE = "endless_event_line"
    ENDLESS_EVENTS = "endless_events"
    ENDLESS_COMMENTS = "endless_comments"
    ENDLESS_EMPTY_LINES = "endless_empty_lines"
    ANSWER_EARLY = "answer_early"


class FaultQueue:
    """The faults still to happen, one a request."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._queue: list[Fault] = []

    def add(self, *faults: Fault) -> None:
        """Have the next requests meet these faults, one each."""
        with self._lock:
            self._queue.extend(faults)

    def clear(self) -> None:
        """Have no more faults happen."""
        with self._lock:
            self._queue.clear()

    def take(self) -> Fault | None:
        """Return the fault for this request."""
        with self._lock:
            return self._queue.pop(0) if self._queue else None

    def take_if(self, fault: Fault) -> bool:
        """Take the next fault if it is this one; return whether it was."""
        with self._lock:
            if not self._queue or self._queue[0] is not fault:
                return False
            self._queue.pop(0)
            return True
