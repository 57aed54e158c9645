"""Submitted documents: decoded one at a time, and not kept."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import threading
import weakref

import pytest

from croftpulley import codes, errors
from croftpulley.interfaces import base
from croftpulley.settings import decoding, schema


def test_no_two_documents_are_decoded_at_the_same_time():
    running = threading.Semaphore(1)
    others_begin = threading.Barrier(8)

    def parse(document):
        assert running.acquire(blocking=False)
        result = sum(itertools.repeat(1, 10_000)) + int(document)
        running.release()
        return result

    def decode(number):
        others_begin.wait()
        return [decoding.decode(parse, str(number)) for _ in range(50)]

    with concurrent.futures.ThreadPoolExecutor(8) as threads:
        results = list(threads.map(decode, range(8)))
    assert results == [[10_000 + number] * 50 for number in range(8)]


@pytest.mark.parametrize("kind", [str, bytes])
def test_a_document_of_very_many_values_is_not_decoded(kind):
    text = "[" + "{}," * (decoding.MOST_VALUES // 2) + "{}]"
    document = text if kind is str else text.encode()
    with pytest.raises(errors.CroftpulleyError, match="values") as caught:
        decoding.decode(lambda _: pytest.fail("it was decoded"), document)
    assert caught.value.code is codes.ResultCode.CONFIGURATION_INVALID


def test_a_configuration_of_nearly_eight_mebibytes_has_not_too_many_values():
    route = {
        "name": "r-12345",
        "host": "ward.example",
        "path_prefix": "/r-12345/",
        "kind": "once",
        "shares": [{"pool": "pool-12"}],
        "time_limit_ms": 4000.0,
    }
    text = json.dumps({"routes": [route] * 60_000, "pools": []}, separators=(",", ":"))
    assert 8_000_000 <= len(text) <= schema.OPERATOR_BODY_SIZE_BYTES
    assert decoding.decode(len, text) == len(text)


class Decoded:
    pass


def test_an_error_keeps_nothing_that_was_decoded():
    kept = []

    def fail(decoded):
        raise ValueError("a cause")

    def parse(document):
        decoded = Decoded()
        kept.append(weakref.ref(decoded))
        try:
            fail(decoded)
        except ValueError as cause:
            raise errors.SettingsErrorGroup("not valid", [ValueError(document)]) from cause

    with pytest.raises(errors.SettingsErrorGroup) as raised:
        decoding.decode(parse, "text")
    assert [each() for each in kept] == [None]
    assert [str(each) for each in raised.value.exceptions] == ["text"]


def test_an_invalid_configuration_says_what_is_wrong():
    with pytest.raises(errors.CroftpulleyError, match="pools"):
        decoding.decode(base.NativeFormat().parse, '{"pools": 1}')
