"""Logs, metrics and status of endpoints that announce that they want no requests."""

from __future__ import annotations

import logging

import pytest
import urllib3

from conftest import wait_until
from croftpulley.observe import events


@pytest.fixture
def site(make_site, caplog):
    caplog.set_level(logging.INFO)
    return make_site(engines=1, workers=1)


def log_records(caplog, event):
    return [each for each in caplog.records if getattr(each, "event", 0) == event.value]


def get(site, path):
    return urllib3.request("GET", f"http://{site.routers[0].metrics_address}{path}")


def metrics_text(site):
    return get(site, "/metrics").data.decode()


def withdrawn_endpoints(site):
    return get(site, "/v1/status").json()["withdrawn"]


def test_start_and_end_of_a_rest_are_logged(site, caplog):
    (worker,) = site.workers
    worker.most_at_once = 0
    worker.retry_after = ("0.4",)
    assert site.ask("GET", "/cancel/x", request_id="r-1").status == 503
    (asked,) = log_records(caplog, events.Event.REST_ASKED)
    assert (asked.request_id, asked.endpoint, asked.pool, asked.rest_s) == (
        "r-1",
        "worker-0",
        "desk",
        0.4,
    )
    wait_until(lambda: bool(log_records(caplog, events.Event.REST_ENDED)), "the rest is over")
    (ended,) = log_records(caplog, events.Event.REST_ENDED)
    assert (ended.endpoint, ended.rest_s, ended.sent_since) == ("worker-0", 0.4, 0)
    assert withdrawn_endpoints(site) == {}


def test_withdrawn_endpoints_are_in_status_and_counted_by_pool(site):
    site.workers[0].most_at_once = 0
    site.workers[0].retry_after = ("60",)
    site.engines[0].leaving = "1"
    site.ask("GET", "/cancel/x")
    site.ask("POST", "/stream/chat/x")
    assert withdrawn_endpoints(site)["engine-0"]["leaves"]
    assert 55 < withdrawn_endpoints(site)["worker-0"]["rest_left_s"] <= 60
    gauge = 'croftpulley_endpoints_withdrawn{pool="%s",why="%s"} 1.0'
    for labels in (("desk", "rest"), ("llm", "leaving")):
        wait_until(
            lambda shown=gauge % labels: shown in metrics_text(site), f"the metric shows {labels}"
        )
    assert 'croftpulley_endpoint_notices_total{kind="rest"} 1.0' in metrics_text(site)


def test_announced_shutdown_is_logged_once(site, caplog):
    site.engines[0].leaving = "1"
    for number in range(3):
        site.ask("POST", "/stream/chat/x", request_id=f"r-{number}")
    (said,) = log_records(caplog, events.Event.LEAVING_SAID)
    assert (said.request_id, said.endpoint, said.is_listed_leaving) == ("r-0", "engine-0", False)


def test_unparsable_value_is_logged_once_and_truncated(site, caplog):
    (worker,) = site.workers
    worker.most_at_once = 0
    worker.retry_after = ("soon" * 1000,)
    for _ in range(3):
        site.ask("GET", "/cancel/x")
    (said,) = log_records(caplog, events.Event.NOTICE_UNUSABLE)
    assert said.values == [("soon" * 1000)[:100]]
    assert withdrawn_endpoints(site) == {}
