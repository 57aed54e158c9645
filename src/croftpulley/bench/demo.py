"""The demo: seeded returning chats and bookings against a running fleet, every answer checked."""

from __future__ import annotations

import random
import time
import uuid
from concurrent import futures
from typing import Any

import attrs

from croftpulley.bench import caller, fleet_files, scrape, table
from croftpulley.fakes import answers

_CHATS = 48
_TURNS = 5
_BOOKINGS = 24
_CALLERS = 12
_WORKSPACES = {"polyclinic-7": 0.6, "regional-hospital": 0.3, "booking-desk": 0.1}
_CLASSES = ("interactive", "considered")
_CONTROL_KIND = "Renew"


@attrs.frozen
class Chat:
    """One returning chat."""

    name: str
    workspace: str
    request_class: str
    streamed: bool


@attrs.define
class Tally:
    """What the callers saw."""

    requests: int = 0
    whole_answers: int = 0
    wrong: list[str] = attrs.field(factory=list)
    returning_prompt_tokens: int = 0
    returning_cached_tokens: int = 0
    first_text_s: list[float] = attrs.field(factory=list)

    def add(self, other: Tally) -> None:
        """Take in another caller's tally."""
        self.requests += other.requests
        self.whole_answers += other.whole_answers
        self.wrong += other.wrong
        self.returning_prompt_tokens += other.returning_prompt_tokens
        self.returning_cached_tokens += other.returning_cached_tokens
        self.first_text_s += other.first_text_s


def run(folder: str, seed: int) -> tuple[list[table.Row], list[str]]:
    """Run the demo; return its figures and every answer that was wrong or missing."""
    fleet = fleet_files.read(folder)
    before = _control_bytes(fleet)
    began_s = time.monotonic()
    tally = _run_chats(fleet, seed)
    _run_bookings(fleet, tally)
    elapsed_s = time.monotonic() - began_s
    control = (_control_bytes(fleet) - before) / elapsed_s / len(fleet.entries)
    return _figures(fleet, tally, elapsed_s, control), tally.wrong


def _run_chats(fleet: fleet_files.Fleet, seed: int) -> Tally:
    """Run all chats, several at a time; the first turns come streamed, the last ones whole."""
    generator = random.Random(seed)
    names = list(_WORKSPACES)
    weights = list(_WORKSPACES.values())
    chats = [
        Chat(
            name=f"chat-{number}",
            workspace=generator.choices(names, weights)[0],
            request_class=generator.choice(_CLASSES),
            streamed=number % 2 == 0,
        )
        for number in range(_CHATS)
    ]
    tally = Tally()
    with futures.ThreadPoolExecutor(_CALLERS) as pool:
        for number, part in enumerate(_split(chats, _CALLERS)):
            entry = fleet.entries[number % len(fleet.entries)].caller_address
            pool.submit(_run_caller, entry, part, generator.random()).add_done_callback(
                lambda done: tally.add(done.result())
            )
    return tally


def _split(chats: list[Chat], parts: int) -> list[list[Chat]]:
    return [chats[start::parts] for start in range(parts)]


def _run_caller(entry: str, chats: list[Chat], seed: float) -> Tally:
    """Run one caller's chats turn by turn, so that each returns after a pause."""
    generator = random.Random(seed)
    client = caller.Caller(entry)
    tally = Tally()
    histories: dict[str, list[dict[str, str]]] = {chat.name: [] for chat in chats}
    for turn in range(_TURNS):
        for chat in generator.sample(chats, len(chats)):
            _take_turn(client, chat, turn, histories[chat.name], tally)
    return tally


def _take_turn(
    client: caller.Caller,
    chat: Chat,
    turn: int,
    history: list[dict[str, str]],
    tally: Tally,
) -> None:
    question = f"{chat.name} turn {turn}: " + "the referral says more than before " * 8
    history.append({"role": "user", "content": question})
    request: dict[str, Any] = {"model": "triage", "messages": list(history), "max_tokens": 24}
    if chat.streamed:
        request |= {"stream": True, "stream_options": {"include_usage": True}}
    answer = client.chat(chat.workspace, chat.name, request, chat.request_class)
    expected = "".join(answers.tokens(request, 24))
    tally.requests += 1
    if answer.status != 200 or not answer.whole or answer.text != expected:
        tally.wrong.append(f"{chat.name} turn {turn}: {answer}")
        return
    tally.whole_answers += 1
    history.append({"role": "assistant", "content": answer.text})
    if chat.streamed:
        tally.first_text_s.append(answer.first_text_s)
    if turn:
        tally.returning_prompt_tokens += answer.prompt_tokens
        tally.returning_cached_tokens += answer.cached_tokens


def _run_bookings(fleet: fleet_files.Fleet, tally: Tally) -> None:
    """Book through one box and resend through another; every key may run once."""
    callers = [caller.Caller(entry.caller_address) for entry in fleet.entries]
    keys = [str(uuid.uuid4()) for _ in range(_BOOKINGS)]
    for number, key in enumerate(keys):
        booking = {"slot": number}
        first = callers[0].book("booking-desk", "slots/confirm", key, booking)
        again = callers[1].book("booking-desk", "slots/confirm", key, booking)
        tally.requests += 2
        if first.status == 200 and again.document == first.document:
            tally.whole_answers += 2
        else:
            tally.wrong.append(f"booking {number}: {first} then {again}")
    runs = _runs(fleet)
    for key in keys:
        if runs.get(key) != 1:
            tally.wrong.append(f"key {key} ran {runs.get(key, 0)} times")


def _runs(fleet: fleet_files.Fleet) -> dict[str, int]:
    runs: dict[str, int] = {}
    for worker in fleet.workers:
        for key, count in scrape.get_json(worker.address, "/admin/record")["runs"].items():
            runs[key] = runs.get(key, 0) + count
    return runs


def _control_bytes(fleet: fleet_files.Fleet) -> float:
    name = "croftpulley_control_bytes_total"
    return sum(
        scrape.total(scrape.metrics(entry.operator_address), name, kind=_CONTROL_KIND)
        for entry in fleet.entries
    )


def _figures(
    fleet: fleet_files.Fleet, tally: Tally, elapsed_s: float, control_bytes_per_s: float
) -> list[table.Row]:
    loads = [
        scrape.get_json(engine.address, "/admin/record")["load_integral_s"]
        for engine in fleet.engines
    ]
    mean = sum(loads) / len(loads)
    reuse = tally.returning_cached_tokens / max(1, tally.returning_prompt_tokens)
    first = sorted(tally.first_text_s)
    return [
        table.Row("requests", tally.requests),
        table.Row("whole_answers", tally.whole_answers),
        table.Row("elapsed_s", round(elapsed_s, 2)),
        table.Row("cache_reuse_ratio", round(reuse, 4)),
        table.Row("largest_engine_load_over_mean", round(max(loads) / mean, 3)),
        table.Row("first_token_p50_ms", round(table.percentile(first, 0.50) * 1000, 1)),
        table.Row("first_token_p99_ms", round(table.percentile(first, 0.99) * 1000, 1)),
        table.Row("control_bytes_per_s_per_box", round(control_bytes_per_s)),
    ]
