"""The platform's list of endpoints, page by page."""

from __future__ import annotations

import urllib.parse

from croftpulley import codes, errors
from croftpulley.core import membership
from croftpulley.endpoints import connection, lists
from croftpulley.platform import fields

_PATH = "/instances"
_TIMEOUT_S = 0.8
"""The list answers within milliseconds; its reader must not miss its next turn."""
_MOST_PAGES = 200
"""At 50 entries a page more than the largest fleet that is built for."""
_READY = "ready"


class InstanceList(lists.PlatformList):
    """Reads the list over HTTP."""

    def __init__(self, address: str) -> None:
        self._target = connection.Target(address, _TIMEOUT_S, _TIMEOUT_S)

    def read(self) -> tuple[membership.Endpoint, ...]:
        """Read all pages; raises `errors.CroftpulleyError`."""
        listed: list[membership.Endpoint] = []
        page = ""
        for _ in range(_MOST_PAGES):
            document = self._page(page)
            listed += [_endpoint(each) for each in document.objects("instances")]
            if not document.has("nextPageToken"):
                return tuple(listed)
            page = document.text("nextPageToken")
        raise errors.CroftpulleyError(
            codes.ResultCode.ENGINE_BROKE, f"the list has more than {_MOST_PAGES} pages"
        )

    def _page(self, token: str) -> fields.Fields:
        path = f"{_PATH}?{urllib.parse.urlencode({'pageToken': token})}" if token else _PATH
        request = connection.HttpRequest("GET", path)
        response, body = connection.whole(self._target, request, connection.ENGINE_FAILURES)
        if response.status != 200:
            raise errors.CroftpulleyError(
                codes.ResultCode.ENGINE_REFUSED, f"{path}: got status {response.status}"
            )
        return fields.parse(body)


def _endpoint(instance: fields.Fields) -> membership.Endpoint:
    # Only model engines have a stage.
    kind = membership.EndpointKind.ENGINE if instance.has("stage") else None
    return membership.Endpoint(
        # An id is new with every start, so it names the incarnation as well as the endpoint.
        name=instance.text("id"),
        kind=kind or membership.EndpointKind.WORKER,
        pool=instance.text("service"),
        address=instance.text("address"),
        hall=instance.text("zone"),
        incarnation=instance.text("id"),
        leaving=instance.text("state") != _READY,
    )
