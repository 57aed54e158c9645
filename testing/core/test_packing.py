"""Compression of texts."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from croftpulley import codes, errors
from croftpulley.core import configuration_transfer


@given(st.text())
def test_unpack_restores_any_packed_text(text):
    assert configuration_transfer.unpack(configuration_transfer.pack(text)) == text


@pytest.mark.parametrize(
    "damaged",
    [
        b"",
        b"no packed text",
        configuration_transfer.pack("a text" * 100)[:-5],
        configuration_transfer.pack("a\u00e4")[:4],
    ],
)
def test_damaged_data_is_rejected(damaged):
    with pytest.raises(errors.CroftpulleyError) as raised:
        configuration_transfer.unpack(damaged)
    assert raised.value.code is codes.ResultCode.BAD_REQUEST


def test_text_over_the_size_limit_is_rejected(monkeypatch):
    monkeypatch.setattr(configuration_transfer, "MAX_TEXT_SIZE_BYTES", 100)
    with pytest.raises(errors.CroftpulleyError, match="longer than 100 bytes"):
        configuration_transfer.unpack(configuration_transfer.pack("a" * 101))
