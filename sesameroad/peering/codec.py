"""Encodes messages as protobuf and decodes them."""

from collections.abc import Iterable
import math
from typing import Any

from sesameroad import errors
from sesameroad.model import clocks
from sesameroad.model import demands
from sesameroad.model import held_up
from sesameroad.model import held_up_notices
from sesameroad.model import jobs
from sesameroad.model import needs
from sesameroad.model import outcomes
from sesameroad.model import pending_starts
from sesameroad.model import work as work_module
from sesameroad.peering import messages
from sesameroad.peering import peer_pb2

_MS = 1_000
_MAX_MS = 2**32 - 1


def encode(batch: Iterable[messages.Message]) -> peer_pb2.Envelope:
    """Returns one envelope that holds a batch of messages."""
    return peer_pb2.Envelope(items=[encode_item(m) for m in batch])


def decode(envelope: peer_pb2.Envelope) -> list[messages.Message]:
    """Returns the messages of an envelope, without those of unknown types.

    Raises:
        PeerError: If a message is malformed.
    """
    decoded = (decode_item(item) for item in envelope.items)
    return [message for message in decoded if message is not None]


def encode_item(message: messages.Message) -> peer_pb2.Item:
    """Returns the item that holds a message."""
    match message:
        case messages.Hello():
            return peer_pb2.Item(
                hello=peer_pb2.Hello(
                    instance_id=message.instance_id,
                    data_centre=message.data_centre,
                    incarnation=message.incarnation,
                    processor_millicores=message.processor_millicores,
                )
            )
        case messages.Heartbeat():
            return peer_pb2.Item(
                heartbeat=peer_pb2.Heartbeat(
                    configuration_version=message.configuration_version,
                    listing_version=message.listing_version,
                    leaving=message.leaving,
                    claims=[
                        peer_pb2.Claim(
                            data_centre=claim.data_centre,
                            token=claim.token,
                            free_millicores=claim.free_millicores,
                            wait_ms=claim.wait_ms,
                            relayed=claim.relayed,
                        )
                        for claim in message.claims
                    ],
                    slow=message.slow,
                    evacuations_version=message.evacuations_version,
                    evacuated=message.evacuated,
                    **_encode_clocks(message.clocks),
                )
            )
        case messages.Demand():
            return peer_pb2.Item(
                demand=peer_pb2.Demand(
                    epoch=message.epoch,
                    lanes=[
                        peer_pb2.LaneDemand(
                            kind=lane.kind,
                            team=lane.team,
                            running=lane.running,
                            queued=lane.queued,
                            cores=lane.need.cores,
                            memory_mb=lane.need.memory_mb,
                            accelerators=lane.need.accelerators,
                        )
                        for lane in message.lanes
                    ],
                    held=_encode_slots(message.held),
                    teams=_encode_slots(message.teams),
                    kinds=_encode_slots(message.kinds),
                    session=message.session,
                    number=message.number,
                )
            )
        case messages.Allocation():
            return peer_pb2.Item(
                allocation=peer_pb2.Allocation(
                    epoch=message.epoch,
                    endpoints=_encode_slots(message.endpoints),
                    kinds=_encode_slots(message.kinds),
                    teams=_encode_slots(message.teams),
                    valid_ms=message.valid_ms,
                    guarantees=_encode_slots(message.guarantees),
                    pools=_encode_slots(message.pools),
                    session=message.session,
                    restart=message.restart,
                    report=message.report,
                )
            )
        case messages.ConfigurationUpdate():
            return peer_pb2.Item(
                configuration_update=peer_pb2.ConfigurationUpdate(
                    version=message.version
                )
            )
        case messages.EndpointUpdate():
            return peer_pb2.Item(
                endpoint_update=peer_pb2.EndpointUpdate(
                    listing=message.listing,
                    marks=[
                        peer_pb2.LeavingMark(
                            endpoint_id=mark.endpoint_id,
                            listing_version=mark.listing_version,
                            age_ms=mark.age_ms,
                        )
                        for mark in message.marks
                    ],
                )
            )
        case messages.RelayRequest():
            return peer_pb2.Item(relay_request=_encode_relay(message))
        case messages.RelayReply():
            return peer_pb2.Item(
                relay_reply=peer_pb2.RelayReply(
                    id=message.id, outcome=_encode_outcome(message.outcome)
                )
            )
        case messages.StatusQuery():
            return peer_pb2.Item(
                status_query=peer_pb2.StatusQuery(
                    id=message.id, key=message.key, cancel=message.cancel
                )
            )
        case messages.FleetQuery():
            return peer_pb2.Item(
                fleet_query=peer_pb2.FleetQuery(
                    id=message.id, command=message.command
                )
            )
        case messages.AttemptRunning():
            return peer_pb2.Item(
                attempt_running=peer_pb2.AttemptRunning(
                    key=message.key,
                    origins=message.offers.keys(),
                    age_ms=_ceil_ms(message.age_s),
                    ends_within_ms=_ceil_ms(message.ends_within_s),
                    offers=message.offers.values(),
                    indices=message.indices,
                )
            )
        case messages.AttemptReplaced():
            return peer_pb2.Item(
                attempt_replaced=peer_pb2.AttemptReplaced(
                    key=message.key,
                    origin=message.origin,
                    # Rounded down: two leaders must not both find their own
                    # attempt the later one.
                    age_ms=int(message.age_s * _MS),
                    indices=message.indices,
                    offer=message.offer,
                )
            )
        case messages.AttemptEnded():
            return peer_pb2.Item(
                attempt_ended=peer_pb2.AttemptEnded(
                    key=message.key,
                    origin=message.origin,
                    within_ms=_ceil_ms(message.within_s),
                    indices=message.indices,
                )
            )
        case messages.HeldUpStarts():
            return peer_pb2.Item(held_up_starts=_encode_held_up(message))
        case messages.PendingStarts():
            return peer_pb2.Item(pending_starts=_encode_pending(message))
        case messages.JobOffer():
            return peer_pb2.Item(job_offer=_encode_offer(message))
        case messages.JobCancel():
            return peer_pb2.Item(
                job_cancel=peer_pb2.JobCancel(name=message.name)
            )
        case messages.RecentCancels():
            return peer_pb2.Item(
                recent_cancels=peer_pb2.RecentCancels(
                    token=message.token,
                    keys=message.ages_s.keys(),
                    ages_ms=map(_ceil_ms, message.ages_s.values()),
                    continues=not message.complete,
                )
            )
        case messages.FleetReply():
            return peer_pb2.Item(
                fleet_reply=peer_pb2.FleetReply(
                    id=message.id, result=message.result
                )
            )


def decode_item(item: peer_pb2.Item) -> messages.Message | None:
    """Returns the message of an item, or None if its type is unknown.

    Raises:
        PeerError: If the message is malformed.
    """
    match item.WhichOneof("body"):
        case None:
            # A peer with a newer release may send types that this one lacks.
            return None
        case "hello":
            return messages.Hello(
                item.hello.instance_id,
                item.hello.data_centre,
                item.hello.incarnation,
                item.hello.processor_millicores,
            )
        case "heartbeat":
            return messages.Heartbeat(
                item.heartbeat.configuration_version,
                item.heartbeat.listing_version,
                item.heartbeat.leaving,
                tuple(
                    messages.LeadershipClaim(
                        claim.data_centre,
                        claim.token,
                        claim.free_millicores,
                        claim.wait_ms,
                        claim.relayed,
                    )
                    for claim in item.heartbeat.claims
                ),
                item.heartbeat.slow,
                item.heartbeat.evacuations_version,
                tuple(item.heartbeat.evacuated),
                _decode_clocks(item.heartbeat),
            )
        case "demand":
            return messages.Demand(
                item.demand.epoch,
                tuple(
                    demands.LaneDemand(
                        lane.kind,
                        lane.team,
                        lane.running,
                        lane.queued,
                        _decode_need(lane),
                    )
                    for lane in item.demand.lanes
                ),
                _decode_slots(item.demand.held),
                _decode_slots(item.demand.teams),
                _decode_slots(item.demand.kinds),
                item.demand.session,
                item.demand.number,
            )
        case "allocation":
            return messages.Allocation(
                item.allocation.epoch,
                _decode_slots(item.allocation.endpoints),
                _decode_slots(item.allocation.kinds),
                _decode_slots(item.allocation.teams),
                item.allocation.valid_ms,
                _decode_slots(item.allocation.guarantees),
                _decode_slots(item.allocation.pools),
                item.allocation.session,
                item.allocation.restart,
                item.allocation.report,
            )
        case "configuration_update":
            return messages.ConfigurationUpdate(
                item.configuration_update.version
            )
        case "endpoint_update":
            return messages.EndpointUpdate(
                item.endpoint_update.listing,
                tuple(
                    messages.LeavingMark(
                        mark.endpoint_id, mark.listing_version, mark.age_ms
                    )
                    for mark in item.endpoint_update.marks
                ),
            )
        case "relay_request":
            return _decode_relay(item.relay_request)
        case "relay_reply":
            return messages.RelayReply(
                item.relay_reply.id, _decode_outcome(item.relay_reply.outcome)
            )
        case "status_query":
            return messages.StatusQuery(
                item.status_query.id,
                item.status_query.key,
                item.status_query.cancel,
            )
        case "fleet_query":
            return messages.FleetQuery(
                item.fleet_query.id, item.fleet_query.command
            )
        case "fleet_reply":
            return messages.FleetReply(
                item.fleet_reply.id, item.fleet_reply.result
            )
        case "job_offer":
            return _decode_offer(item.job_offer)
        case "attempt_running":
            return _decode_running(item.attempt_running)
        case "attempt_replaced":
            replaced = item.attempt_replaced
            return messages.AttemptReplaced(
                replaced.key,
                replaced.origin,
                replaced.age_ms / _MS,
                tuple(replaced.indices),
                replaced.offer,
            )
        case "attempt_ended":
            ended = item.attempt_ended
            return messages.AttemptEnded(
                ended.key,
                ended.origin,
                ended.within_ms / _MS,
                tuple(ended.indices),
            )
        case "held_up_starts":
            return _decode_held_up(item.held_up_starts)
        case "pending_starts":
            return _decode_pending(item.pending_starts)
        case "job_cancel":
            return messages.JobCancel(item.job_cancel.name)
        case "recent_cancels":
            return _decode_recent_cancels(item.recent_cancels)
        case other:
            raise errors.PeerError(f"unknown message {other}", step="decode")


def _encode_clocks(readings: messages.ClockReadings | None) -> dict[str, int]:
    if readings is None:
        return {}
    return {
        "clock_us": readings.sent_us,
        "echoed_clock_us": readings.echoed_us,
        "echo_received_us": readings.echo_received_us,
    }


def _decode_clocks(
    heartbeat: peer_pb2.Heartbeat,
) -> messages.ClockReadings | None:
    if not heartbeat.clock_us:
        return None
    return messages.ClockReadings(
        heartbeat.clock_us,
        heartbeat.echoed_clock_us,
        heartbeat.echo_received_us,
    )


def _ceil_ms(seconds: float) -> int:
    """Returns milliseconds of 32 bits, rounded up so that 1 is the least."""
    return min(max(0, math.ceil(seconds * _MS)), _MAX_MS)


def _encode_slots(
    counts: Iterable[demands.SlotCount],
) -> list[peer_pb2.SlotCount]:
    return [
        peer_pb2.SlotCount(name=c.name, count=c.count, used=c.used)
        for c in counts
    ]


def _decode_slots(
    counts: Iterable[peer_pb2.SlotCount],
) -> tuple[demands.SlotCount, ...]:
    return tuple(demands.SlotCount(c.name, c.count, c.used) for c in counts)


def _encode_relay(message: messages.RelayRequest) -> peer_pb2.RelayRequest:
    work = message.work
    return peer_pb2.RelayRequest(
        id=message.id,
        purpose=message.purpose.value,
        key=work.key,
        digest=message.digest,
        expiry_ms=message.expiry_ms,
        team=work.team,
        kind=work.kind,
        deadline_ms=work.deadline_ms,
        idempotent=work.idempotent,
        submission=isinstance(work, work_module.Submission),
        tasks=[
            peer_pb2.Task(
                payload=task.payload,
                cores=task.need.cores,
                memory_mb=task.need.memory_mb,
                accelerators=task.need.accelerators,
            )
            for task in work.tasks
        ],
    )


def _decode_relay(relay: peer_pb2.RelayRequest) -> messages.RelayRequest:
    tasks = tuple(
        work_module.Task(
            task.payload,
            _decode_need(task),
        )
        for task in relay.tasks
    )
    if not tasks:
        raise errors.PeerError("relay request without tasks", step="decode")
    try:
        purpose = messages.Purpose(relay.purpose)
    except ValueError as error:
        raise errors.PeerError(str(error), step="decode") from error
    if relay.submission:
        work = work_module.Submission(
            relay.key, relay.team, relay.kind, relay.deadline_ms, tasks
        )
    else:
        work = work_module.Request(
            relay.key,
            relay.team,
            relay.kind,
            relay.deadline_ms,
            tasks[0],
            relay.idempotent,
        )
    return messages.RelayRequest(
        relay.id,
        purpose,
        work,
        relay.digest,
        relay.expiry_ms,
    )


def _encode_offer(message: messages.JobOffer) -> peer_pb2.JobOffer:
    job = message.job
    now = clocks.elapsed_s()
    return peer_pb2.JobOffer(
        id=message.id,
        data_centre=message.data_centre,
        key=job.key,
        queue=job.queue,
        service=job.service,
        spec=job.spec,
        indices=job.indices,
        cores=job.need.cores,
        memory_mb=job.need.memory_mb,
        accelerators=job.need.accelerators,
        estimate_ms=int(job.estimate_s * 1_000),
        priority=job.priority,
        max_attempts=job.max_attempts,
        required_label=job.required_label,
        preferred_label=job.preferred_label,
        per_endpoint=job.per_endpoint,
        objective_ms=int((job.objective_at - now) * 1_000),
        deadline_ms=int((job.deadline_at - now) * 1_000),
        moved=message.moved,
        lent=message.lent,
        committed=job.committed,
        expires_ms=int((job.expires_at - now) * 1_000),
        age_ms=_ceil_ms(now - job.accepted_at) if job.accepted_at else 0,
        unstarted=job.unstarted,
        succeeded=job.succeeded,
        offer=job.offer,
    )


def _decode_need(message: Any) -> needs.Need:
    """Returns the need of a message that has the fields of one.

    Raises:
        PeerError: If the cores are negative or not a finite number.
    """
    if not 0 <= message.cores < math.inf:
        raise errors.PeerError(f"{message.cores} cores", step="decode")
    return needs.Need(message.cores, message.memory_mb, message.accelerators)


def _decode_offer(offer: peer_pb2.JobOffer) -> messages.JobOffer:
    if not offer.indices:
        raise errors.PeerError("job offer without tasks", step="decode")
    now = clocks.elapsed_s()
    job = jobs.Job(
        key=offer.key,
        queue=offer.queue,
        service=offer.service,
        spec=offer.spec,
        indices=tuple(offer.indices),
        need=_decode_need(offer),
        estimate_s=offer.estimate_ms / 1_000,
        priority=offer.priority,
        max_attempts=offer.max_attempts,
        required_label=offer.required_label,
        preferred_label=offer.preferred_label,
        per_endpoint=offer.per_endpoint,
        objective_at=now + offer.objective_ms / 1_000,
        expires_at=now + offer.expires_ms / 1_000,
        deadline_at=now + offer.deadline_ms / 1_000,
        committed=offer.committed,
        accepted_at=now - offer.age_ms / _MS if offer.age_ms else 0.0,
        unstarted=tuple(offer.unstarted),
        succeeded=tuple(offer.succeeded),
        offer=offer.offer,
    )
    return messages.JobOffer(
        offer.id, offer.data_centre, job, offer.moved, offer.lent
    )


def _decode_running(
    running: peer_pb2.AttemptRunning,
) -> messages.AttemptRunning:
    """Returns a notice of a running job.

    Raises:
        PeerError: If it has offers, but not one for each origin.
    """
    offers = running.offers or [0] * len(running.origins)
    if len(offers) != len(running.origins):
        raise errors.PeerError(
            f"{len(running.origins)} origins and {len(offers)} offers",
            step="decode",
        )
    return messages.AttemptRunning(
        running.key,
        dict(zip(running.origins, offers, strict=True)),
        running.age_ms / _MS,
        running.ends_within_ms / _MS,
        tuple(running.indices),
    )


def _decode_recent_cancels(
    recent: peer_pb2.RecentCancels,
) -> messages.RecentCancels:
    """Returns recent cancels.

    Raises:
        PeerError: If there are more than a sender puts into one message, or if
            any has no key or no age.
    """
    if len(recent.keys) > messages.MAX_RECENT_CANCELS:
        raise errors.PeerError(
            f"{len(recent.keys)} recent cancels", step="decode"
        )
    if len(recent.keys) != len(recent.ages_ms) or not all(recent.keys):
        raise errors.PeerError(
            f"recent cancels with {len(recent.keys)} keys and"
            f" {len(recent.ages_ms)} ages, or an empty key",
            step="decode",
        )
    ages_s = (age_ms / _MS for age_ms in recent.ages_ms)
    return messages.RecentCancels(
        recent.token,
        dict(zip(recent.keys, ages_s, strict=True)),
        not recent.continues,
    )


def _encode_held_up(notice: messages.HeldUpStarts) -> peer_pb2.HeldUpStarts:
    return peer_pb2.HeldUpStarts(
        starts=[
            peer_pb2.HeldUpStart(
                key=key,
                index=start.index,
                endpoint=start.endpoint,
                left_ms=_ceil_ms(start.left_s),
            )
            for key, starts in notice.starts.items()
            for start in starts
        ]
    )


def _decode_held_up(message: peer_pb2.HeldUpStarts) -> messages.HeldUpStarts:
    """Returns starts that may still be carried out.

    Raises:
        PeerError: If there are more than a sender puts into one message, or if
            any has no key or no endpoint.
    """
    if len(message.starts) > held_up_notices.MAX_STARTS:
        raise errors.PeerError(
            f"{len(message.starts)} held-up starts", step="decode"
        )
    starts: dict[str, list[held_up.HeldUpStart]] = {}
    for start in message.starts:
        if not (start.key and start.endpoint):
            raise errors.PeerError(
                "a held-up start without a key or an endpoint", step="decode"
            )
        starts.setdefault(start.key, []).append(
            held_up.HeldUpStart(
                start.index, start.endpoint, start.left_ms / _MS
            )
        )
    return messages.HeldUpStarts({k: tuple(s) for k, s in starts.items()})


def _encode_pending(notice: messages.PendingStarts) -> peer_pb2.PendingStarts:
    return peer_pb2.PendingStarts(
        starts=[
            peer_pb2.PendingStart(
                number=start.number,
                key=start.key,
                index=start.index,
                endpoint=start.endpoint,
            )
            for start in notice.starts
        ],
        has_awaited=notice.awaited is not None,
        awaited=notice.awaited or (),
    )


def _decode_pending(message: peer_pb2.PendingStarts) -> messages.PendingStarts:
    """Returns the starts that a leader is about to send.

    Raises:
        PeerError: If there are more than a sender puts into one message, or if
            any has no key or no endpoint.
    """
    if len(message.starts) > pending_starts.MAX_STARTS:
        raise errors.PeerError(
            f"{len(message.starts)} pending starts", step="decode"
        )
    if not all(start.key and start.endpoint for start in message.starts):
        raise errors.PeerError(
            "a pending start without a key or an endpoint", step="decode"
        )
    return messages.PendingStarts(
        tuple(
            pending_starts.PendingStart(
                start.number, start.key, start.index, start.endpoint
            )
            for start in message.starts
        ),
        tuple(message.awaited) if message.has_awaited else None,
    )


def _encode_outcome(outcome: outcomes.Outcome) -> peer_pb2.Outcome:
    match outcome:
        case outcomes.Complete():
            return peer_pb2.Outcome(
                type=peer_pb2.Outcome.COMPLETE, answers=outcome.answers
            )
        case outcomes.Failed():
            return peer_pb2.Outcome(
                type=peer_pb2.Outcome.FAILED,
                cause=outcome.cause.value,
                detail=outcome.detail,
                may_have_run=outcome.may_have_run,
            )
        case outcomes.NotRun():
            return peer_pb2.Outcome(
                type=peer_pb2.Outcome.NOT_RUN,
                cause=outcome.cause.value,
                detail=outcome.detail,
                retry_after_s=outcome.retry_after_s or 0.0,
            )
        case outcomes.Unknown():
            return peer_pb2.Outcome(
                type=peer_pb2.Outcome.UNKNOWN,
                cause=outcome.cause.value,
                detail=outcome.detail,
                ask_again_at_ms=outcome.ask_again_at_ms or 0,
                unstarted=outcome.unstarted,
                succeeded=outcome.succeeded,
            )


def _decode_outcome(outcome: peer_pb2.Outcome) -> outcomes.Outcome:
    if outcome.type == peer_pb2.Outcome.COMPLETE:
        return outcomes.Complete(tuple(outcome.answers))
    try:
        cause = outcomes.Cause(outcome.cause)
    except ValueError as error:
        raise errors.PeerError(str(error), step="decode") from error
    match outcome.type:
        case peer_pb2.Outcome.FAILED:
            return outcomes.Failed(cause, outcome.detail, outcome.may_have_run)
        case peer_pb2.Outcome.NOT_RUN:
            return outcomes.NotRun(
                cause, outcome.detail, outcome.retry_after_s or None
            )
        case _:
            return outcomes.Unknown(
                cause,
                outcome.detail,
                outcome.ask_again_at_ms or None,
                tuple(outcome.unstarted),
                tuple(outcome.succeeded),
            )
