"""Metrics that are recorded before the library that exposes them is loaded."""

from __future__ import annotations

import threading

from croftpulley.observe import metrics


def test_what_was_recorded_before_the_first_scrape_is_in_it():
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


def test_what_is_put_off_is_bounded_and_nothing_is_lost(monkeypatch):
    monkeypatch.setattr(metrics, "MOST_PUT_OFF", 10)
    counters = metrics.Metrics()
    for _ in range(25):
        counters.control_failed("kind")
    assert counters._put_off == []
    assert b'croftpulley_control_failures_total{kind="kind"} 25.0' in counters.render()


def test_threads_that_record_while_it_is_loaded_lose_nothing():
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
