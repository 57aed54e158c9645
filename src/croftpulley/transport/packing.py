"""Long texts made short for the links between boxes.

A configuration names hundreds of routes in much the same words; packed it is a fraction of its
length. A box packs each version once, whatever the number of boxes that it goes to.
"""

from __future__ import annotations

import zlib

from croftpulley import codes, errors
from croftpulley.core import configuration_transfer

_FAST = 1
"""The level of zlib that takes least time; the others save little on these texts."""


def pack(text: str) -> bytes:
    """Return a text packed.

    >>> unpack(pack("a route " * 100)) == "a route " * 100, len(pack("a route " * 100)) < 50
    (True, True)
    """
    return zlib.compress(text.encode(), _FAST)


def unpack(packed: bytes) -> str:
    """Return the text; raises `errors.CroftpulleyError` (BAD_REQUEST) for what is no packed one."""
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(packed, configuration_transfer.MAX_TEXT_SIZE_BYTES)
        if not unpacker.eof:
            raise errors.CroftpulleyError(
                codes.ResultCode.BAD_REQUEST,
                "got a packed text that is cut or longer than "
                f"{configuration_transfer.MAX_TEXT_SIZE_BYTES} bytes",
            )
        return text.decode()
    except (zlib.error, UnicodeDecodeError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST, f"got {len(packed)} bytes that are no text: {failure}"
        ) from failure
