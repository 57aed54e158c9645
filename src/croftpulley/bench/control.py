"""What control costs: renewals by number of boxes, claims, the directory's size, one choice."""

from __future__ import annotations

import threading
import time
import timeit
import uuid
from concurrent import futures

from croftpulley import errors
from croftpulley.bench import fleet_files, scrape, table
from croftpulley.core import membership, rendezvous
from croftpulley.observe import metrics
from croftpulley.transport import channels, codec, control_client, messages

_BOX_COUNTS = (12, 50, 200)
_RENEW_INTERVAL_S = 0.5
_RENEW_SECONDS_S = 6.0
_SETTLE_S = 6.0
_CLAIM_SECONDS_S = 3.0
_CLAIM_THREADS = (1, 16)
_CHANNELS = 8
_SIZES = ((12, 40), (790, 2000))
"""Boxes and engines of today and of the two-year size."""
_ENGINE_COUNTS = (6, 40, 2000)
_CPU = "process_cpu_seconds_total"
_RSS = "process_resident_memory_bytes"


def run(folder: str) -> list[table.Row]:
    """Run against the control box of the fleet that was started from ``folder``."""
    control = fleet_files.read(folder).controls[0]
    rows = []
    for boxes in _BOX_COUNTS:
        rows += _renewals(control.peer_address, control.operator_address, boxes)
    for threads in _CLAIM_THREADS:
        rows += _claims(control.peer_address, control.operator_address, threads)
    for boxes, engines in _SIZES:
        size_bytes = codec.directory_to_wire(_directory(boxes, engines)).ByteSize()
        rows.append(table.Row(f"directory_{boxes}_boxes_{engines}_engines_bytes", size_bytes))
    for engines in _ENGINE_COUNTS:
        rows.append(_choice(engines))
    return rows


def _renewals(peer_address: str, operator_address: str, boxes: int) -> list[table.Row]:
    """Have ``boxes`` boxes renew at the usual interval, each with a stub of its own."""
    counters = metrics.Metrics()
    stop = threading.Event()
    pools = [channels.Channels() for _ in range(_CHANNELS)]
    failed: list[str] = []
    threads = [
        threading.Thread(
            target=_renew_until,
            args=(
                control_client.GrpcControlClient(
                    (peer_address,), 5.0, pools[number % _CHANNELS], counters
                ),
                f"bench-{boxes}-{number}",
                number / boxes,
                stop,
                failed,
            ),
        )
        for number in range(boxes)
    ]
    for thread in threads:
        thread.start()
    # The first renewals carry the directory as it grows; only the steady state is measured.
    time.sleep(_SETTLE_S)
    before, sent = scrape.metrics(operator_address), _renew_bytes(counters)
    time.sleep(_RENEW_SECONDS_S)
    after, sent = scrape.metrics(operator_address), _renew_bytes(counters) - sent
    stop.set()
    for thread in threads:
        thread.join()
    for pool in pools:
        pool.close()
    cpu_s = scrape.total(after, _CPU) - scrape.total(before, _CPU)
    renewals = boxes * _RENEW_SECONDS_S / _RENEW_INTERVAL_S
    return [
        table.Row(
            f"renew_{boxes}_boxes_bytes_per_s_per_box", round(sent / boxes / _RENEW_SECONDS_S)
        ),
        table.Row(f"renew_{boxes}_boxes_control_cores", round(cpu_s / _RENEW_SECONDS_S, 4)),
        table.Row(f"renew_{boxes}_boxes_control_us_each", round(cpu_s / renewals * 1e6)),
        table.Row(f"renew_{boxes}_boxes_control_mb", round(scrape.total(after, _RSS) / 1e6, 1)),
        table.Row(f"renew_{boxes}_boxes_failed", len(failed)),
    ]


def _renew_until(
    client: control_client.ControlClient,
    name: str,
    phase: float,
    stop: threading.Event,
    failed: list[str],
) -> None:
    box = membership.Box(name, "hall-a", "127.0.0.1:1", "127.0.0.1:2", draining=True)
    directory_version = 0
    stop.wait(phase * _RENEW_INTERVAL_S)
    while not stop.wait(_RENEW_INTERVAL_S):
        renewal = messages.Renewal(
            box=box,
            configuration_version=1 << 40,
            directory_version=directory_version,
            engines_version=1,
            engines=None,
            loads=(membership.PoolLoad("bench", 10, 3),),
            released=(),
        )
        try:
            answer = client.renew(renewal)
        except errors.CroftpulleyError as failure:
            failed.append(str(failure))
            continue
        if answer.directory is not None:
            directory_version = answer.directory.version


def _renew_bytes(counters: metrics.Metrics) -> float:
    name = "croftpulley_control_bytes_total"
    return scrape.total(scrape.parse(counters.render()), name, kind="Renew")


def _claims(peer_address: str, operator_address: str, threads: int) -> list[table.Row]:
    """Claim fresh keys as fast as the log takes them."""
    pool = channels.Channels()
    client = control_client.GrpcControlClient((peer_address,), 5.0, pool, metrics.Metrics())
    ends_at_s = time.monotonic() + _CLAIM_SECONDS_S

    def claim_until() -> int:
        done = 0
        while time.monotonic() < ends_at_s:
            client.claim("bench", str(uuid.uuid4()), "digest", str(done))
            done += 1
        return done

    before = scrape.metrics(operator_address)
    with futures.ThreadPoolExecutor(threads) as executor:
        done = sum(
            future.result() for future in [executor.submit(claim_until) for _ in range(threads)]
        )
    after = scrape.metrics(operator_address)
    pool.close()
    cpu_s = scrape.total(after, _CPU) - scrape.total(before, _CPU)
    grown_bytes = scrape.total(after, _RSS) - scrape.total(before, _RSS)
    return [
        table.Row(f"claims_{threads}_threads_per_s", round(done / _CLAIM_SECONDS_S)),
        table.Row(f"claims_{threads}_threads_control_us_each", round(cpu_s / done * 1e6)),
        table.Row(f"claims_{threads}_threads_control_bytes_each", round(grown_bytes / done)),
    ]


def _directory(boxes: int, engines: int) -> membership.Directory:
    kind = membership.EndpointKind.ENGINE
    return membership.Directory(
        version=1 << 57,
        boxes=tuple(
            membership.Box(f"entry-{n}", f"hall-{n % 9}", "10.1.2.3:8100", "10.1.2.3:8200")
            for n in range(boxes)
        ),
        engines=tuple(
            membership.Endpoint(
                f"engine-{n}", kind, f"pool-{n % 24}", "10.1.2.3:8500", f"hall-{n % 9}", str(n)
            )
            for n in range(engines)
        ),
        owners=tuple(
            membership.Ownership(f"engine-{n}", f"entry-{n % boxes}", 1) for n in range(engines)
        ),
    )


def _choice(engines: int) -> table.Row:
    """Time the order of one chat's engines in a pool of ``engines``."""
    directory = _directory(12, engines)
    one_pool = membership.Directory(
        engines=tuple(
            membership.Endpoint(e.name, e.kind, "llm", e.address, e.hall, e.incarnation)
            for e in directory.engines
        )
    )
    rounds = max(10, 20_000 // engines)
    spent_s = min(
        timeit.repeat(
            lambda: rendezvous.engines_for("chat", "llm", one_pool), number=rounds, repeat=5
        )
    )
    return table.Row(f"choice_{engines}_engines_us", round(spent_s / rounds * 1e6, 1))
