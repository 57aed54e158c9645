"""Each way to read a response's bytes has a bound, whoever asks."""

from __future__ import annotations

import io

import pytest

from croftpulley.endpoints import sockets


class Endless(io.RawIOBase):
    """Bytes without end; counts those that were read."""

    def __init__(self):
        self.read_bytes = 0

    def readable(self):
        return True

    def readinto(self, buffer):
        self.read_bytes += len(buffer)
        assert self.read_bytes <= 10 * sockets.MAX_LINE_BYTES
        buffer[:] = b"0" * len(buffer)
        return len(buffer)


@pytest.mark.parametrize(
    "read",
    [
        lambda reader: reader.readline(),
        lambda reader: reader.readline(-1),
        lambda reader: reader.readline(None),
        lambda reader: reader.readline(sockets.MAX_LINE_BYTES + 1),
        lambda reader: next(reader),
        lambda reader: list(reader),
        lambda reader: reader.readlines(),
        lambda reader: reader.readlines(1),
        lambda reader: reader.read(),
        lambda reader: reader.read(-1),
        lambda reader: reader.read(None),
    ],
)
def test_a_read_that_nothing_bounds_is_refused(read):
    with pytest.raises((sockets.SpoiltResponseError, ValueError)):
        read(sockets.BoundedReader(Endless()))


@pytest.mark.parametrize(
    "read",
    [
        lambda reader: reader.peek(),
        lambda reader: reader.read1(),
        lambda reader: reader.read1(-1),
        lambda reader: reader.read(100),
        lambda reader: reader.readline(100),
        lambda reader: reader.readinto(bytearray(100)),
    ],
)
def test_other_reads_take_no_more_than_a_buffer(read):
    raw = Endless()
    read(sockets.BoundedReader(raw))
    assert raw.read_bytes <= io.DEFAULT_BUFFER_SIZE
