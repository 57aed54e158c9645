"""The connections of a listening address: what is read from them, refused and answered."""

from __future__ import annotations

import logging
import math
import re
import socket
import threading
import time
from typing import Any

import waitress.channel
import waitress.parser
import waitress.receiver
import waitress.task
import waitress.utilities

from croftpulley import codes, errors
from croftpulley.core import request_room
from croftpulley.endpoints import sockets
from croftpulley.http import wsgi
from croftpulley.observe import events

_LOG = logging.getLogger(__name__)
_CODES_BY_STATUS = {
    413: codes.ResultCode.BODY_TOO_LARGE,
    431: codes.ResultCode.HEADER_TOO_LARGE,
}
_MAX_CHUNK_LINE_BYTES = 1024
"""The line before a chunk, with what a client may add to its size."""
_MAX_FRAMING_RATIO = 8
"""What may frame the chunks of a body, by the limit on bodies: five bytes for a chunk of one."""
_MAX_LENGTH_DIGITS = 18
_VERSIONS = ("1.0", "1.1")
_LINE_END = b"\r\n"
_CONTROL = re.compile(r"[\x00-\x20\x7f]")
_MAX_HEADER_REPEATS = 4
"""Header lines, by the limit on headers, which counts those of one name once."""
_LINGER_S = 2.0
"""How long a refused client may go on sending, so that it gets its answer: a connection that is
closed with unread data is reset."""
_LINGER_BYTES = 262_144
"""How much of that is taken, and dropped."""


class _Refusal(waitress.utilities.Error):
    """Why a request is refused before any application sees it."""

    def __init__(self, code: codes.ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.result_code = code
        self.code = codes.INFO[code].http_status


def max_header_lines(header_count: int) -> int:
    """Return how many header lines a request may have that may have so many headers."""
    return header_count * _MAX_HEADER_REPEATS


def _error_of(refused: Any) -> errors.CroftpulleyError:
    """Return the error for what the library or a `_Refusal` says."""
    fallback = codes.ResultCode.INTERNAL if refused.code >= 500 else codes.ResultCode.BAD_REQUEST
    code = getattr(refused, "result_code", _CODES_BY_STATUS.get(refused.code, fallback))
    return errors.CroftpulleyError(code, str(refused.body))


class _CodedErrorTask(waitress.task.ErrorTask):
    """Answers what is refused before any application sees it, with a result code."""

    def execute(self) -> None:
        refused: Any = self.request.error  # type: ignore[attr-defined]
        response = wsgi.error_response(_error_of(refused))
        body = response.body if isinstance(response.body, bytes) else b""
        self.status = wsgi.status_line(refused.code)
        self.response_headers = [
            ("Content-Type", response.content_type or wsgi.JSON),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            *response.headers,
        ]
        self.close_on_finish = True
        self.content_length = len(body)
        self.write(body)


class _StrictParser(waitress.parser.HTTPRequestParser):
    """One request as it comes; its bytes count against the room for all requests.

    Refuses what two readers of one request could understand differently.
    """

    path = ""
    """The library names it in its log, also where the first line could not be read."""

    def __init__(self, adj: Any, channel: Channel) -> None:
        super().__init__(adj)
        self._channel = channel
        self._held = request_room.HeldRequest(time.monotonic(), self._ask_to_give_up)
        self._framing_bytes = 0
        self._refusal: _Refusal | None = None
        self.has_to_give_up = False

    @property
    def held_bytes(self) -> int:
        """What this request takes in memory, about."""
        body_bytes = len(self.body_rcv) if self.body_rcv is not None else 0
        return self.header_bytes_received + body_bytes

    def received(self, data: bytes) -> int:
        """Take what comes next; return how much of it belongs to this request.

        What follows a request that is refused belongs to it too: nobody reads it.
        """
        if self.has_to_give_up:
            self.give_up(dropped_bytes=len(data))
            return len(data)
        if not (self.header_plus or self.headers_finished):
            request_bytes = len(data.lstrip(_LINE_END))
            if request_bytes < len(data):
                return self._skip(len(data) - request_bytes, data)
        consumed = self._parse(data)
        if self._refusal is not None:
            self.error = self._refusal
        if self.error is not None:
            self._refuse(len(data) - consumed)
        if self.empty:
            # The library forgets it, and closes it not.
            self.close()
        else:
            room = self._channel.server.room
            room.grow(self._held, self.held_bytes, time.monotonic(), is_complete=self.completed)
        if self.has_to_give_up and self.error is None:
            self.give_up(dropped_bytes=len(data) - consumed)
        return consumed if self.error is None else len(data)

    def give_up(self, dropped_bytes: int = 0) -> None:
        """End a request that is not complete, for want of room.

        ``dropped_bytes`` is what has come of it and was not parsed.
        """
        detail = f"gave way at {self.held_bytes} bytes, not complete"
        self._log_given_up()
        self.error = _Refusal(codes.ResultCode.BOX_FULL, detail)
        self._refuse(dropped_bytes)

    def close(self) -> None:
        """Give the memory back; called by the library when the request is over."""
        self._channel.server.room.release(self._held)
        super().close()

    def parse_header(self, header_plus: bytes) -> None:
        """Read the head; raises the library's errors."""
        names, codings = [], []
        for line in header_plus.split(b"\r\n")[1:]:
            if line[:1] in (b" ", b"\t"):
                raise waitress.parser.ParsingError("A header is folded")
            name, _, value = line.partition(b":")
            names.append(name.strip().lower())
            if names[-1] == b"transfer-encoding":
                codings.append(value.strip(b" \t").lower())
            if names[-1] == b"content-length" and len(value.strip()) > _MAX_LENGTH_DIGITS:
                raise waitress.parser.ParsingError("A length has too many digits")
        limits: Any = self.adj
        if len(names) > limits.max_header_lines:
            detail = f"got {len(names)} lines, allowed are {limits.max_header_lines}"
            self._refusal = _Refusal(codes.ResultCode.TOO_MANY_HEADERS, detail)
            raise waitress.parser.ParsingError(detail)
        if b"content-length" in names and b"transfer-encoding" in names:
            raise waitress.parser.ParsingError("Both lengths are given")
        for name in limits.single_headers:
            if names.count(name) > 1:
                raise waitress.parser.ParsingError(f"{name.decode()} is given twice")
        super().parse_header(header_plus)
        if self.version not in _VERSIONS:
            raise waitress.parser.ParsingError(f"The version is {self.version!r:.20}")
        if codings and (codings != [b"chunked"] or self.version != _VERSIONS[-1]):
            raise waitress.parser.ParsingError("Its transfer coding says not where a body ends")
        if _CONTROL.search(self.request_uri):  # type: ignore[attr-defined]
            raise waitress.parser.ParsingError("The target holds a control character")

    def _skip(self, blank_bytes: int, data: bytes) -> int:
        """Take blank lines before a request; all at once, as each would be an empty request."""
        if blank_bytes < len(data):
            return blank_bytes + self.received(data[blank_bytes:])
        self.empty = True
        self.completed = True
        return blank_bytes

    def _parse(self, data: bytes) -> int:
        chunks = self.body_rcv if self.chunked else None
        if chunks is None:
            return int(super().received(data))
        before_bytes = len(chunks)
        # The library counts what frames the chunks as well; `_check_chunks` counts the body.
        self.body_bytes_received = before_bytes - len(data)
        consumed = int(super().received(data))
        self._framing_bytes += consumed - (len(chunks) - before_bytes)
        self._check_chunks(chunks)
        return consumed

    def _check_chunks(self, chunks: Any) -> None:
        limits: Any = self.adj
        limit_bytes = limits.max_request_body_size
        if len(chunks) >= limit_bytes:
            self.error = waitress.utilities.RequestEntityTooLarge(f"exceeds {limit_bytes - 1}")
        elif len(chunks.control_line) > _MAX_CHUNK_LINE_BYTES:
            self.error = waitress.utilities.BadRequest("The line before a chunk is too long")
        elif len(chunks.trailer) >= limits.max_request_header_size:
            self.error = waitress.utilities.RequestHeaderFieldsTooLarge("The trailers are too long")
        elif self._framing_bytes > _MAX_FRAMING_RATIO * limit_bytes:
            self.error = waitress.utilities.RequestEntityTooLarge("The chunks are too small")

    def _refuse(self, dropped_bytes: int) -> None:
        """Have the request answered with its error, and drop what it has sent."""
        self.completed = True
        self._channel.refuse(self._missing_bytes() - dropped_bytes)
        if self.body_rcv is not None:
            self.body_rcv.getbuf().close()
        self.body_rcv = None

    def _missing_bytes(self) -> float:
        """Return how much of the request has not been parsed; infinite if nothing tells."""
        if isinstance(self.body_rcv, waitress.receiver.FixedStreamReceiver):
            return float(self.body_rcv.remain)
        return math.inf

    def _ask_to_give_up(self) -> None:
        self.has_to_give_up = True
        self._channel.server.give_up_soon(self._channel)

    def _log_given_up(self) -> None:
        events.emit(
            _LOG,
            events.Event.REQUEST_GAVE_WAY,
            level=logging.WARNING,
            caller=str(self._channel.addr),
            size_bytes=self.held_bytes,
            since_s=round(time.monotonic() - self._held.since_s, 3),
            held_bytes=self._channel.server.room.held_bytes,
        )


class _Task(waitress.task.WSGITask):
    """Keeps the connection after an answer of unknown length, and ends it in a planned stop.

    An answer that breaks off although only the connection's end would end it ends with a reset.
    """

    def execute(self) -> None:
        try:
            super().execute()
        except BaseException:
            if self.wrote_header and not self.chunked_response and self.content_length is None:
                _reset_on_close(self.channel.socket)
            raise

    def build_response_header(self) -> bytes:
        server: Any = self.channel.server
        if server.closes_connections:
            self.set_close_on_finish()
        return super().build_response_header()

    def set_close_on_finish(self) -> None:
        # The library closes after every answer in chunks, although its last chunk ends it.
        if not self.chunked_response or self.wrote_header:
            super().set_close_on_finish()


def _reset_on_close(sock: socket.socket | None) -> None:
    if sock is None:
        return
    try:
        sockets.reset_on_close(sock)
    except OSError:
        # The caller's connection is closed already.
        return


class Channel(waitress.channel.HTTPChannel):
    """A connection that knows by the steady clock when it was last used."""

    error_task_class = _CodedErrorTask
    task_class = _Task
    # The library's types leave these out, or are narrower than its code.
    server: Any
    requests: Any
    requests_lock: threading.Lock
    socket: Any

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.used_at_s = time.monotonic()
        self.taken_at_s = self.used_at_s
        """When the caller last took something, or something first waited for it."""
        self.is_refused = False
        """One of its requests was refused: what comes after it is dropped."""
        self._lingers_until_s = math.inf
        self._linger_left_bytes = _LINGER_BYTES
        self._missing_bytes = math.inf
        """What a refused client has still to send of its request."""
        super().__init__(*args, **kwargs)

    def parser_class(self, adj: Any) -> _StrictParser:  # type: ignore[override]
        """Make the parser of one request."""
        return _StrictParser(adj, self)

    def refuse(self, missing_bytes: float) -> None:
        """Drop what comes from now on; so much of the refused request has not come yet."""
        self.is_refused = True
        self._missing_bytes = missing_bytes

    def received(self, data: bytes) -> bool:
        """Take what has come; false if nobody is to read it."""
        if self.is_refused:
            self._linger_left_bytes -= len(data)
            self._missing_bytes -= len(data)
            self.will_close = self.will_close or self._has_lingered()
            return False
        # The beginning of a request counts, not each piece of it: its headers have a time limit.
        if self.request is None and data.strip(_LINE_END):
            self.used_at_s = time.monotonic()
        return bool(super().received(data))

    def readable(self) -> bool:
        """Tell whether more is to be read."""
        return self.server.reads and bool(super().readable())

    def handle_read(self) -> None:
        """Read what has come, unless the server stops."""
        with self.server.read_lock:
            if self.server.reads:
                super().handle_read()

    def send_continue(self) -> None:
        """Ask for the body that a client announces, unless it has none or is refused."""
        request: Any = self.request
        if request.completed:
            request.expect_continue = False
            return
        super().send_continue()

    def give_up(self) -> None:
        """Refuse the request that is being received if it has to give way; in the loop's thread."""
        with self.requests_lock:
            request: Any = self.request
            if request is None or not request.has_to_give_up:
                return
            request.give_up()
            self.request = None
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def service(self) -> None:
        """Answer one request; in a thread of its own."""
        super().service()
        self.used_at_s = time.monotonic()

    def handle_write(self) -> None:
        """Send what waits; after the answer to a refused request its client may still send."""
        lingers = self.is_refused and self.close_when_flushed and self._missing_bytes != 0
        if lingers:
            self.close_when_flushed = False
        super().handle_write()
        if lingers and self.total_outbufs_len:
            self.close_when_flushed = True
        elif lingers and self.connected:
            self._linger()

    def del_channel(self, map: Any = None) -> None:
        """Forget the connection, and what has come of a request."""
        super().del_channel(map)
        if self.request is not None:
            self.request.close()

    def write_soon(self, data: Any) -> int:
        """Have something sent."""
        if not self.total_outbufs_len:
            self.taken_at_s = time.monotonic()
        return int(super().write_soon(data))

    def _flush_some(self, do_close: bool = True) -> bool:
        has_sent = bool(super()._flush_some(do_close))  # type: ignore[misc]
        if has_sent:
            self.taken_at_s = time.monotonic()
        return has_sent

    def _linger(self) -> None:
        self._lingers_until_s = time.monotonic() + _LINGER_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            # The client has ended the connection.
            self.will_close = True

    def _has_lingered(self) -> bool:
        is_answered = self._lingers_until_s < math.inf
        return is_answered and (self._linger_left_bytes < 0 or self._missing_bytes == 0)

    @property
    def is_resting(self) -> bool:
        """Tell whether closing this connection now takes nobody's answer away."""
        return not (self.is_owing or self.will_close)

    @property
    def is_owing(self) -> bool:
        """Tell whether its caller has still to be answered, or to take a part of the answer."""
        return bool(self.requests or self.total_outbufs_len) and not self.will_close

    def is_unread(self, unread_s: float) -> bool:
        """Tell whether the caller has taken nothing of what waits for it for so long."""
        waits = bool(self.total_outbufs_len)
        return waits and time.monotonic() >= self.taken_at_s + unread_s

    def ends_at_s(self, header_wait_s: float, idle_s: float) -> float:
        """Return when this connection should be closed if nothing happens until then."""
        if self.requests or self.total_outbufs_len:
            return math.inf
        if self.is_refused:
            return self._lingers_until_s
        if self.request is not None and not self.request.headers_finished:
            return self.used_at_s + header_wait_s
        return self.used_at_s + idle_s


def cut(channel: Channel) -> None:
    """End a connection whose caller takes nothing; whoever writes to it is told so at once."""
    log_cut(channel)
    # A connection that takes nothing is never reported as one that may be written to.
    channel.handle_close()


def log_cut(channel: Channel) -> None:
    """Log that a connection ends before its caller has taken all of its answer."""
    events.emit(
        _LOG,
        events.Event.CALLER_CUT,
        level=logging.WARNING,
        caller=str(channel.addr),
        unread_bytes=channel.total_outbufs_len,
        unread_s=round(time.monotonic() - channel.taken_at_s, 3),
    )
