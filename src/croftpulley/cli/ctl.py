"""``croftpulley ctl``: what operators do."""

from __future__ import annotations

import datetime
import pathlib
import time
from typing import Any

import click
import orjson
import urllib3

from croftpulley import codes, errors
from croftpulley.endpoints import connection, sockets
from croftpulley.settings import loader

_SUBMISSIONS = "/v1/config/submissions"
_SUSPECTS = "/v1/suspects"
_HALLS = "/v1/halls"
_ENDPOINTS = "/v1/endpoints"
MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Of a control box: twice the largest body that operators may send."""
_POLL_INTERVAL_S = 0.2
_ASK_ANOTHER = (codes.ResultCode.CONTROL_UNREACHABLE, codes.ResultCode.NOT_LEADER)


class Operator:
    """The operator's connection to the control boxes, of which one leads."""

    def __init__(self, addresses: tuple[str, ...], token_file: str | None, as_json: bool) -> None:
        self._addresses = addresses
        self._token_file = token_file
        self._as_json = as_json
        self._pool = sockets.strict_pools(retries=False, timeout=urllib3.Timeout(10.0))

    def ask(self, method: str, path: str, document: Any = None) -> Any:
        """Ask one box after the other and return the answer; raises `errors.CroftpulleyError`.

        A box that is away or does not lead is passed over; the last failure is raised.
        """
        for address in self._addresses[:-1]:
            try:
                return self._ask(address, method, path, document)
            except errors.CroftpulleyError as failure:
                if failure.code not in _ASK_ANOTHER:
                    raise
        return self._ask(self._addresses[-1], method, path, document)

    def _ask(self, address: str, method: str, path: str, document: Any) -> Any:
        headers = {"Content-Type": "application/json"}
        if self._token_file is not None:
            token = pathlib.Path(self._token_file).read_text(encoding="utf-8").strip()
            headers["Authorization"] = f"Bearer {token}"
        body = None if document is None else orjson.dumps(document)
        try:
            response = self._pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers,
                preload_content=False,
            )
            text = sockets.read_whole(response, MAX_ANSWER_BYTES)
        except connection.TRANSPORT_ERRORS as failure:
            raise errors.CroftpulleyError(
                codes.ResultCode.CONTROL_UNREACHABLE,
                f"{address}: {failure}; a submission may be sent again safely",
                run_state=codes.RunState.UNKNOWN,
            ) from failure
        answer = orjson.loads(text)
        if response.status >= 400:
            problem = answer["error"]
            code = codes.ResultCode(int(problem["code"]))
            raise errors.CroftpulleyError(code, problem["message"])
        return answer

    def show(self, document: Any, plain: str) -> None:
        """Print the answer, as JSON if that was asked for."""
        if self._as_json:
            click.echo(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode())
        else:
            click.echo(plain)


@click.group()
@click.option(
    "--control",
    "addresses",
    multiple=True,
    required=True,
    help="Operator address of a control box; name all, they are asked in turn.",
)
@click.option("--token-file", type=click.Path(), help="File with the token, if one is needed.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def ctl(
    context: click.Context, addresses: tuple[str, ...], token_file: str | None, as_json: bool
) -> None:
    """Steer the fleet.

    Example: croftpulley ctl --control 127.0.0.1:8301 --token-file token status
    """
    context.obj = Operator(addresses, token_file, as_json)


@ctl.group()
def config() -> None:
    """Submit and show the fleet's configuration."""


@config.command()
@click.argument("file", type=click.Path())
@click.option("--operator", required=True, help="Who submits.")
@click.option("--number", required=True, type=int, help="The submission's number.")
@click.option("--wait-s", default=30.0, show_default=True, help="How long to wait for it.")
@click.pass_obj
def submit(client: Operator, file: str, operator: str, number: int, wait_s: float) -> None:
    """Submit FILE and wait until it is in force on every live box.

    Sending the same submission again is safe and gives the first answer.

    Example: croftpulley ctl … config submit fleet.jsonc --operator aigerim --number 7
    """
    document = loader.parse_json(pathlib.Path(file).read_text(encoding="utf-8"))
    submission = {"operator": operator, "number": number, "document": document}
    answer = client.ask("POST", _SUBMISSIONS, submission)
    ends_at_s = time.monotonic() + wait_s
    while not answer["in_force"] and time.monotonic() < ends_at_s:
        time.sleep(_POLL_INTERVAL_S)
        answer = client.ask("GET", f"{_SUBMISSIONS}/{number}")
    state = "in force" if answer["in_force"] else f"waiting for {', '.join(answer['waiting_for'])}"
    client.show(answer, f"number {number}: version {answer['version']}, {state}")


@config.command("show")
@click.pass_obj
def show_config(client: Operator) -> None:
    """Show the configuration last accepted."""
    answer = client.ask("GET", "/v1/config")
    document = orjson.dumps(answer["document"], option=orjson.OPT_INDENT_2).decode()
    client.show(answer, f"version {answer['version']}\n{document}")


@config.command()
@click.pass_obj
def history(client: Operator) -> None:
    """List all submissions, oldest first."""
    answer = client.ask("GET", _SUBMISSIONS)
    rows = [
        f"version {each['version']}  number {each['number']}  operator {each['operator']}"
        for each in answer["submissions"]
    ]
    client.show(answer, "\n".join(rows) or "no submissions")


@ctl.command()
@click.pass_obj
def status(client: Operator) -> None:
    """Show boxes, engines and who owns which; of replicas, who leads and who is waited for."""
    answer = client.ask("GET", "/v1/status")
    rows = _replica_rows(answer) if "term" in answer else _fleet_rows(answer)
    client.show(answer, "\n".join(rows))


@ctl.command()
@click.option("--withdrawn", is_flag=True, help="Only those that rest, leave or are held off.")
@click.pass_obj
def endpoints(client: Operator, withdrawn: bool) -> None:
    """List endpoints, and which of them want no requests from how many boxes, and for how long.

    Example: croftpulley ctl … endpoints --withdrawn
    """
    answer = client.ask("GET", _ENDPOINTS)
    listed = [each for each in answer["endpoints"] if not withdrawn or _is_withdrawn(each)]
    rows = [_endpoint_row(each) for each in listed]
    client.show({"endpoints": listed}, "\n".join(rows) or "no endpoints")


def _is_withdrawn(endpoint: Any) -> bool:
    return bool(endpoint["leaving"] or endpoint["held_off"] or endpoint["resting_s"])


def _endpoint_row(endpoint: Any) -> str:
    states = []
    if endpoint["leaving"]:
        states.append("leaving")
    if endpoint["held_off"]:
        states.append("held off")
    if endpoint["resting_s"]:
        longest_s = max(endpoint["resting_s"].values())
        states.append(f"asked {len(endpoint['resting_s'])} boxes for rest, {longest_s:g} s left")
    version = endpoint["version"] or "no version"
    return (
        f"{endpoint['endpoint']}  {endpoint['pool']}  {version}  {endpoint['hall']}"
        f"  {endpoint['address']}"
        f"  in flight {endpoint['in_flight']}  {', '.join(states) or 'in service'}"
    )


@ctl.group()
def suspects() -> None:
    """Show and clear requests under which endpoints ended."""


@suspects.command("list")
@click.pass_obj
def list_suspects(client: Operator) -> None:
    """List them, with how many endpoints ended and until when they are refused.

    Example: croftpulley ctl … suspects list
    """
    answer = client.ask("GET", _SUSPECTS)
    rows = [_suspect_row(each) for each in answer["suspects"]]
    client.show(answer, "\n".join(rows) or "no suspects")


@suspects.command()
@click.argument("fingerprint")
@click.pass_obj
def clear(client: Operator, fingerprint: str) -> None:
    """Have the request called FINGERPRINT served again, once endpoints are mended.

    Example: croftpulley ctl … suspects clear 0c9f2a4d1be7a35f680c9f2a4d1be7a3
    """
    answer = client.ask("DELETE", f"{_SUSPECTS}/{fingerprint}")
    client.show(answer, f"cleared {fingerprint}")


@ctl.group()
def hall() -> None:
    """Evacuate data halls and return them to service; only their endpoints are concerned."""


@hall.command("list")
@click.pass_obj
def list_halls(client: Operator) -> None:
    """List the halls that the settings name or that are evacuated.

    Example: croftpulley ctl … hall list
    """
    _show_halls(client, client.ask("GET", _HALLS))


@hall.command()
@click.argument("name")
@click.pass_obj
def evacuate(client: Operator, name: str) -> None:
    """Have the endpoints of hall NAME get no requests; returns once every box obeys.

    Sending the same order again is safe.

    Example: croftpulley ctl … hall evacuate hall-b
    """
    _show_halls(client, client.ask("POST", f"{_HALLS}/{name}/evacuation"))


@hall.command("return")
@click.argument("name")
@click.pass_obj
def return_hall(client: Operator, name: str) -> None:
    """Have the endpoints of hall NAME get requests again; returns once every box knows.

    Example: croftpulley ctl … hall return hall-b
    """
    _show_halls(client, client.ask("DELETE", f"{_HALLS}/{name}/evacuation"))


def _show_halls(client: Operator, answer: Any) -> None:
    rows = [
        f"{each['hall']}  {'evacuated' if each['evacuated'] else 'in service'}"
        for each in answer["halls"]
    ]
    client.show(answer, "\n".join(rows) or "no halls")


def _suspect_row(suspect: Any) -> str:
    until_s = suspect["refused_until_wall_s"]
    until = datetime.datetime.fromtimestamp(until_s, datetime.UTC)
    refused = f"refused until {until:%Y-%m-%d %H:%M:%S} UTC" if until_s else "may be tried"
    return (
        f"{suspect['fingerprint']}  workspace {suspect['workspace']}  crashes {suspect['crashes']}"
        f"  trials {suspect['trials']}  {refused}  last at {', '.join(suspect['endpoints'])}"
    )


def _replica_rows(answer: Any) -> list[str]:
    rows = [
        f"configuration version {answer['configuration_version']}",
        f"this box {answer['role']}  term {answer['term']}"
        f"  leader {answer['leader_address'] or 'unknown'}",
    ]
    for member in answer["members"]:
        kind = "voter" if member["voter"] else "learner"
        rows.append(f"replica {member['replica']}  {member['address']}  {kind}")
    for box in answer["boxes"]:
        state = "draining" if box["draining"] else "serving"
        waited = "  waited for" if box["name"] in answer["waiting_for"] else ""
        rows.append(f"box {box['name']}  {box['hall']}  {box['caller_address']}  {state}{waited}")
    return rows


def _fleet_rows(answer: Any) -> list[str]:
    owners = {each["engine"]: each for each in answer["owners"]}
    rows = [f"configuration version {answer['configuration_version']}"]
    for box in answer["boxes"]:
        state = "draining" if box["draining"] else "serving"
        rows.append(
            f"box {box['name']}  {box['hall']}  {box['caller_address']}  {state}"
            f"  version {box['configuration_version']}"
        )
    for engine in answer["engines"]:
        owner = owners.get(engine["name"])
        held = f"owner {owner['box']} epoch {owner['epoch']}" if owner else "no owner"
        state = "leaving" if engine["leaving"] else "live"
        rows.append(f"engine {engine['name']}  {engine['pool']}  {state}  {held}")
    return rows
