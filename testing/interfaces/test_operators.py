"""Documents of operators that are no configuration."""

from __future__ import annotations

import orjson
import pytest

from croftpulley import codes, errors
from croftpulley.http import operator_app
from croftpulley.interfaces import operators
from croftpulley.platform import documents

DEPTHS = (300, 1000)


def nested(depth):
    return b'{"a":' * depth + b"1" + b"}" * depth


def code_of(function, body):
    with pytest.raises(errors.CroftpulleyError) as raised:
        function(body)
    return raised.value.code


@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("parse", [operators._parse_submission, operator_app._parse_submission])
def test_a_deeply_nested_document_is_an_invalid_configuration(parse, depth):
    body = b'{"operator": "a", "number": 1, "document": ' + nested(depth) + b"}"
    assert code_of(parse, body) is codes.ResultCode.CONFIGURATION_INVALID


@pytest.mark.parametrize("depth", DEPTHS)
@pytest.mark.parametrize("field", ["version", "routes", "services"])
def test_a_deeply_nested_field_of_the_platform_is_an_invalid_configuration(field, depth):
    document = orjson.dumps({"version": 1, field: orjson.Fragment(nested(depth))}).decode()
    function = documents.PlatformDocuments().parse
    assert code_of(function, document) is codes.ResultCode.CONFIGURATION_INVALID


@pytest.mark.parametrize("version", ["1e300", "-1e300", "18446744073709551616"])
def test_a_version_that_no_log_entry_holds_is_an_invalid_configuration(version):
    code = code_of(documents.number, f'{{"version": {version}}}')
    assert code is codes.ResultCode.CONFIGURATION_INVALID
