"""Compression of long texts that are sent between boxes.

The hundreds of routes of a configuration are written much alike, so that it compresses to a
fraction of its size. A box compresses each version once, however many boxes it is sent to.
"""

from __future__ import annotations

import zlib

from croftpulley import codes, errors
from croftpulley.core import configuration_transfer

_FASTEST_LEVEL = 1
"""The fastest level of zlib; higher levels save little more on these texts."""


def pack(text: str) -> bytes:
    """Compress a text.

    >>> unpack(pack("a route " * 100)) == "a route " * 100, len(pack("a route " * 100)) < 50
    (True, True)
    """
    return zlib.compress(text.encode(), _FASTEST_LEVEL)


def unpack(packed: bytes) -> str:
    """Decompress a text that `pack` returned.

    Raises `errors.CroftpulleyError` (BAD_REQUEST) for data that is damaged, truncated or longer
    than `configuration_transfer.MAX_TEXT_SIZE_BYTES` when decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed, configuration_transfer.MAX_TEXT_SIZE_BYTES)
        if not decompressor.eof:
            raise errors.CroftpulleyError(
                codes.ResultCode.BAD_REQUEST,
                "compressed text is truncated or longer than "
                f"{configuration_transfer.MAX_TEXT_SIZE_BYTES} bytes",
            )
        return text.decode()
    except (zlib.error, UnicodeDecodeError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST,
            f"{len(packed)} bytes are not a compressed text: {failure}",
        ) from failure
