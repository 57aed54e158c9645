"""A caller as the fleet's users write it: asks which box to use, keeps the answer, connects."""

from __future__ import annotations

import time
from typing import Any

import attrs
import orjson
import urllib3

from croftpulley.endpoints import sockets

_TIMEOUT_S = 60.0
_TRIES = 4


@attrs.frozen
class Answer:
    """What came of one request; ``first_text_s`` counts from sending it."""

    status: int
    text: str
    whole: bool
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_text_s: float = 0.0
    document: Any = None


class Caller:
    """One caller with its cached answers to "which box?"."""

    def __init__(self, any_entry: str) -> None:
        self._any_entry = any_entry
        self._pool = sockets.strict_pools(
            num_pools=16, maxsize=64, retries=False, timeout=urllib3.Timeout(_TIMEOUT_S)
        )
        self._entries: dict[str, tuple[float, list[str]]] = {}

    def chat(
        self, workspace: str, chat: str, request: dict[str, Any], request_class: str
    ) -> Answer:
        """Send one turn of a chat, going on to the next box named if one is gone."""
        headers = {"X-Workspace": workspace, "X-Chat": chat, "X-Class": request_class}
        answer = Answer(0, "", False)
        for address in self._boxes(workspace, chat)[:_TRIES]:
            answer = self._post_chat(address, request, headers)
            if answer.status == 200:
                return answer
            self._entries.pop(chat, None)
        return answer

    def book(self, workspace: str, path: str, key: str, document: Any) -> Answer:
        """Make a call to a service, resent with the same key until there is an answer."""
        headers = {"X-Workspace": workspace, "Idempotency-Key": key}
        headers["Content-Type"] = "application/json"
        answer = Answer(0, "", False)
        for address in self._boxes(workspace, key)[:_TRIES]:
            response = self._pool.request(
                "POST",
                f"http://{address}/v1/services/{path}",
                body=orjson.dumps(document),
                headers=headers,
            )
            answer = Answer(response.status, "", True, document=orjson.loads(response.data))
            if response.status == 200:
                return answer
        return answer

    def _boxes(self, workspace: str, chat: str) -> list[str]:
        """Return the boxes to use, asking when the last answer has run out."""
        until_s, entries = self._entries.get(chat, (0.0, []))
        if time.monotonic() < until_s:
            return entries
        response = self._pool.request(
            "GET",
            f"http://{self._any_entry}/v1/entry",
            fields={"workspace": workspace, "chat": chat},
        )
        document = orjson.loads(response.data)
        entries = [entry["address"] for entry in document["entries"]]
        self._entries[chat] = (time.monotonic() + document["ttl_s"], entries)
        return entries

    def _post_chat(self, address: str, request: dict[str, Any], headers: dict[str, str]) -> Answer:
        sent_at_s = time.monotonic()
        response = self._pool.request(
            "POST",
            f"http://{address}/v1/chat/completions",
            body=orjson.dumps(request),
            headers={**headers, "Content-Type": "application/json"},
            preload_content=not request.get("stream", False),
        )
        if response.status != 200:
            return Answer(response.status, "", False, document=orjson.loads(response.data))
        if request.get("stream"):
            return _read_stream(response, sent_at_s)
        return _read_whole(response)


def _read_whole(response: urllib3.BaseHTTPResponse) -> Answer:
    document = orjson.loads(response.data)
    usage = document["usage"]
    return Answer(
        status=200,
        text=document["choices"][0]["message"]["content"],
        whole=document["choices"][0]["finish_reason"] == "stop",
        prompt_tokens=usage["prompt_tokens"],
        cached_tokens=usage["prompt_tokens_details"]["cached_tokens"],
    )


def _read_stream(response: urllib3.BaseHTTPResponse, sent_at_s: float) -> Answer:
    """Read server-sent events; the answer is whole once ``[DONE]`` has come."""
    texts: list[str] = []
    first_text_s = 0.0
    usage: dict[str, Any] = {}
    whole = False
    rest = b""
    for data in response.stream(65_536):
        *events, rest = (rest + data).split(b"\n\n")
        for event in events:
            payload = event.split(b"data: ", 1)[1]
            if payload == b"[DONE]":
                whole = True
                continue
            document = orjson.loads(payload)
            usage = document.get("usage") or usage
            text = _text_of(document)
            if text and not texts:
                first_text_s = time.monotonic() - sent_at_s
            if text:
                texts.append(text)
    response.release_conn()
    details = usage.get("prompt_tokens_details", {})
    return Answer(
        status=200,
        text="".join(texts),
        whole=whole,
        prompt_tokens=usage.get("prompt_tokens", 0),
        cached_tokens=details.get("cached_tokens", 0),
        first_text_s=first_text_s,
    )


def _text_of(document: dict[str, Any]) -> str:
    choices = document.get("choices") or [{}]
    return choices[0].get("delta", {}).get("content") or ""
