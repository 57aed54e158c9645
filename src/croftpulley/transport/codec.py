"""Conversion between typed messages and protobuf; only this module depends on the wire format."""

from __future__ import annotations

from croftpulley import codes
from croftpulley.core import claims, membership
from croftpulley.transport import messages
from croftpulley.transport._generated import fleet_pb2 as wire


def box_to_wire(box: membership.Box) -> wire.Box:
    """Encode a box."""
    return wire.Box(
        name=box.name,
        hall=box.hall,
        caller_address=box.caller_address,
        peer_address=box.peer_address,
        draining=box.draining,
    )


def box_from_wire(box: wire.Box) -> membership.Box:
    """Decode a box."""
    return membership.Box(box.name, box.hall, box.caller_address, box.peer_address, box.draining)


def _engine_to_wire(engine: membership.Endpoint) -> wire.EngineSeen:
    return wire.EngineSeen(
        name=engine.name,
        pool=engine.pool,
        address=engine.address,
        hall=engine.hall,
        incarnation=engine.incarnation,
        leaving=engine.leaving,
        born_ms=engine.born_ms,
    )


def _engine_from_wire(engine: wire.EngineSeen) -> membership.Endpoint:
    return membership.Endpoint(
        name=engine.name,
        kind=membership.EndpointKind.ENGINE,
        pool=engine.pool,
        address=engine.address,
        hall=engine.hall,
        incarnation=engine.incarnation,
        leaving=engine.leaving,
        born_ms=engine.born_ms if engine.HasField("born_ms") else None,
    )


def _owner_to_wire(owner: membership.Ownership) -> wire.Ownership:
    return wire.Ownership(engine=owner.engine, box=owner.box, epoch=owner.epoch)


def _owner_from_wire(owner: wire.Ownership) -> membership.Ownership:
    return membership.Ownership(owner.engine, owner.box, owner.epoch)


def _load_to_wire(load: membership.PoolLoad) -> wire.PoolLoad:
    return wire.PoolLoad(pool=load.pool, outstanding=load.outstanding, engines=load.engines)


def _load_from_wire(load: wire.PoolLoad) -> membership.PoolLoad:
    return membership.PoolLoad(load.pool, load.outstanding, load.engines)


def directory_to_wire(directory: membership.Directory) -> wire.Directory:
    """Encode a directory."""
    return wire.Directory(
        version=directory.version,
        boxes=[box_to_wire(box) for box in directory.boxes],
        engines=[_engine_to_wire(engine) for engine in directory.engines],
        owners=[_owner_to_wire(owner) for owner in directory.owners],
    )


def _directory_from_wire(directory: wire.Directory) -> membership.Directory:
    return membership.Directory(
        version=directory.version,
        boxes=tuple(box_from_wire(box) for box in directory.boxes),
        engines=tuple(_engine_from_wire(engine) for engine in directory.engines),
        owners=tuple(_owner_from_wire(owner) for owner in directory.owners),
    )


def renewal_to_wire(renewal: messages.Renewal) -> wire.RenewRequest:
    """Encode a renewal."""
    return wire.RenewRequest(
        box=box_to_wire(renewal.box),
        configuration_version=renewal.configuration_version,
        directory_version=renewal.directory_version,
        engines_version=renewal.engines_version if renewal.engines is not None else 0,
        engines=[_engine_to_wire(engine) for engine in renewal.engines or ()],
        loads=[_load_to_wire(load) for load in renewal.loads],
        released=[_owner_to_wire(owner) for owner in renewal.released],
    )


def renewal_from_wire(request: wire.RenewRequest) -> messages.Renewal:
    """Decode a renewal; an ``engines_version`` of 0 means that it has no list of engines."""
    engines = tuple(_engine_from_wire(engine) for engine in request.engines)
    return messages.Renewal(
        box=box_from_wire(request.box),
        configuration_version=request.configuration_version,
        directory_version=request.directory_version,
        engines_version=request.engines_version,
        engines=engines if request.engines_version else None,
        loads=tuple(_load_from_wire(load) for load in request.loads),
        released=tuple(_owner_from_wire(owner) for owner in request.released),
    )


def renewal_answer_to_wire(answer: messages.RenewalAnswer) -> wire.RenewReply:
    """Encode the answer to a renewal."""
    directory = answer.directory
    return wire.RenewReply(
        lease_s=answer.lease_s,
        configuration_version=answer.configuration_version,
        configuration_json=(answer.configuration_json or "").encode(),
        directory=directory_to_wire(directory) if directory is not None else None,
        engines_version=answer.engines_version,
        loads=[_load_to_wire(load) for load in answer.loads],
    )


def renewal_answer_from_wire(reply: wire.RenewReply) -> messages.RenewalAnswer:
    """Decode the answer to a renewal."""
    has_directory = reply.HasField("directory")
    return messages.RenewalAnswer(
        lease_s=reply.lease_s,
        configuration_version=reply.configuration_version,
        configuration_json=reply.configuration_json.decode() or None,
        directory=_directory_from_wire(reply.directory) if has_directory else None,
        engines_version=reply.engines_version,
        loads=tuple(_load_from_wire(load) for load in reply.loads),
    )


def outcome_to_wire(outcome: claims.Outcome) -> wire.Outcome:
    """Encode a call's outcome."""
    return wire.Outcome(
        run_state=outcome.run_state.value,
        http_status=outcome.http_status,
        content_type=outcome.content_type,
        body=outcome.body,
    )


def outcome_from_wire(outcome: wire.Outcome) -> claims.Outcome:
    """Decode a call's outcome."""
    return claims.Outcome(
        run_state=codes.RunState(outcome.run_state),
        http_status=outcome.http_status,
        content_type=outcome.content_type,
        body=outcome.body,
    )


def claim_answer_to_wire(answer: claims.ClaimAnswer) -> wire.ClaimReply:
    """Encode the answer to a claim."""
    outcome = outcome_to_wire(answer.outcome) if answer.outcome else None
    return wire.ClaimReply(state=answer.state.value, outcome=outcome)


def claim_answer_from_wire(reply: wire.ClaimReply) -> claims.ClaimAnswer:
    """Decode the answer to a claim."""
    outcome = outcome_from_wire(reply.outcome) if reply.HasField("outcome") else None
    return claims.ClaimAnswer(claims.ClaimState(reply.state), outcome)
