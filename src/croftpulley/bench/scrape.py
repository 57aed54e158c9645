"""Reading of a daemon's metrics and a stand-in's record over HTTP."""

from __future__ import annotations

from typing import Any

import orjson
import urllib3
from prometheus_client import parser

from croftpulley.endpoints import sockets

_POOL = sockets.strict_pools(retries=False, timeout=urllib3.Timeout(10.0))


def get_json(address: str, path: str) -> Any:
    """Read a JSON document."""
    return orjson.loads(_POOL.request("GET", f"http://{address}{path}").data)


def metrics(operator_address: str) -> list[Any]:
    """Read all samples of a daemon's metrics."""
    return parse(_POOL.request("GET", f"http://{operator_address}/metrics").data)


def parse(text: bytes) -> list[Any]:
    """Read all samples of a rendered registry."""
    families = parser.text_string_to_metric_families(text.decode())
    return [sample for family in families for sample in family.samples]


def total(samples: list[Any], name: str, **labels: str) -> float:
    """Add up the samples called ``name`` that have these labels."""
    return sum(
        float(sample.value)
        for sample in samples
        if sample.name == name and labels.items() <= sample.labels.items()
    )
