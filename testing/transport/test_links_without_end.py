"""Answers of other boxes that never end: a box may be another one's address by now."""

from __future__ import annotations

import contextlib
import socket
import threading

import pytest

from croftpulley import codes, errors
from croftpulley.cli import ctl
from croftpulley.fakes import endless, faults
from croftpulley.observe import metrics
from croftpulley.transport import links

OK = b"HTTP/1.1 200 OK\r\n"
TIMEOUT_S = 0.2


@pytest.fixture
def send_without_end():
    """Return a function that listens, answers with a part that never ends, and counts its bytes."""
    listeners, threads, sent_bytes = [], [], []

    def serve(listener, part, block, pause):
        with contextlib.suppress(OSError):
            sock, _ = listener.accept()
            sock.recv(65_536)
            sock.sendall((OK if part.has_head else b"") + part.framing)
            while not pause.wait(0.02 if len(block) < endless.BLOCK_BYTES // 2 else 0):
                sock.sendall(block)
                sent_bytes.append(len(block))

    def listen(fault, *, is_slow=False):
        part = endless.PARTS[fault]
        listeners.append(socket.create_server(("127.0.0.1", 0)))
        arguments = (listeners[-1], part, part.block(is_slow=is_slow), threading.Event())
        threads.append((threading.Thread(target=serve, args=arguments), arguments[-1]))
        threads[-1][0].start()
        return f"127.0.0.1:{listeners[-1].getsockname()[1]}", sent_bytes

    yield listen
    for (thread, stopped), listener in zip(threads, listeners, strict=True):
        stopped.set()
        with contextlib.suppress(OSError):
            listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join()


@pytest.mark.parametrize("fault", endless.PARTS)
def test_an_answer_of_another_box_that_never_ends_is_none(send_without_end, fault):
    address, sent_bytes = send_without_end(fault)
    link = links.Link(address, TIMEOUT_S, metrics.Metrics())
    with pytest.raises(errors.CroftpulleyError) as caught:
        link.post("/x", b"{}")
    assert caught.value.code is codes.ResultCode.CONTROL_UNREACHABLE
    assert sum(sent_bytes) < 10 * links.MAX_MESSAGE_BYTES
    link.close()


@pytest.mark.parametrize("fault", [faults.Fault.ENDLESS_HEADERS, faults.Fault.ENDLESS_LENGTH])
def test_an_answer_in_slow_pieces_that_never_ends_is_given_up(send_without_end, fault):
    address, sent_bytes = send_without_end(fault, is_slow=True)
    link = links.Link(address, TIMEOUT_S, metrics.Metrics())
    with pytest.raises(errors.CroftpulleyError) as caught:
        link.post("/x", b"{}")
    assert caught.value.code is codes.ResultCode.CONTROL_UNREACHABLE
    assert len(sent_bytes) > 1
    link.close()


@pytest.mark.parametrize("fault", endless.PARTS)
def test_an_answer_to_the_command_line_that_never_ends_is_none(send_without_end, fault):
    address, sent_bytes = send_without_end(fault)
    operator = ctl.Operator((address,), None, as_json=True)
    with pytest.raises(errors.CroftpulleyError) as caught:
        operator.ask("GET", "/v1/status")
    assert caught.value.code is codes.ResultCode.CONTROL_UNREACHABLE
    assert sum(sent_bytes) < 10 * ctl.MAX_ANSWER_BYTES
