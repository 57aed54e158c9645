"""Tests of metrics that are recorded before the Prometheus library is loaded."""

from __future__ import annotations

import threading

from croftpulley.observe import metrics


def test_the_first_scrape_includes_earlier_records():
    counters = metrics.Metrics()
    counters.request_ended("clinic", "chat", "OK", 0.2)
    counters.streams_open(3)
    counters.streams_open(2)
    text = counters.render()
    assert b"croftpulley_streams_open 2.0" in text
    results = b'croftpulley_results_total{code="OK",request_class="chat",workspace="clinic"}'
    assert results + b" 1.0" in text
    counters.request_ended("clinic", "chat", "OK", 0.2)
    assert results + b" 2.0" in counters.render()


def test_deferred_records_are_limited_and_none_is_lost(monkeypatch):
    monkeypatch.setattr(metrics, "MAX_DEFERRED_RECORDS", 10)
    counters = metrics.Metrics()
    for _ in range(25):
        counters.control_failed("kind")
    assert counters._deferred == []
    assert b'croftpulley_control_failures_total{kind="kind"} 25.0' in counters.render()


def test_records_made_while_the_library_is_loaded_are_not_lost():
    counters = metrics.Metrics()
    threads = [
        threading.Thread(target=lambda: [counters.control_failed("k") for _ in range(500)])
        for _ in range(4)
    ]
    for each in threads:
        each.start()
    counters.render()
    for each in threads:
        each.join()
    assert b'croftpulley_control_failures_total{kind="k"} 2000.0' in counters.render()
