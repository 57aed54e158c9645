"""Messages between replicas: their paths, and their unions, registered with `json_codec`."""

from __future__ import annotations

from typing import Any

from cattrs import strategies

from croftpulley.core.replication import messages
from croftpulley.transport import json_codec

REQUEST_PATH = "/v1/replica/requests"
JOIN_PATH = "/v1/replica/joins"

REQUEST: Any = messages.Request
"""Type of any request from one replica to another."""
REPLY: Any = messages.Reply
"""Type of any reply of one replica to another."""

for _union in (REQUEST, REPLY):
    strategies.configure_tagged_union(_union, json_codec.CONVERTER, tag_name="kind")
