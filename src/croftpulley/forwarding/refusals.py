"""What a caller is told whose request no endpoint may be sent now, and when to come back."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.core import retry_times
from croftpulley.forwarding import base, headers, service


def none_open(
    exchange: base.Exchange, survey: service.Survey, passed_over: set[str]
) -> errors.CroftpulleyError:
    """Make the refusal of a request that no endpoint may be sent now."""
    pool = exchange.pool
    awake = [each for each in survey.candidates if not survey.is_withdrawn(each)]
    left = [each for each in awake if each.name not in passed_over]
    full_count = sum(survey.is_full(each) for each in left)
    if left and full_count == len(left):
        # A place after a rest is free again soon; where all have more than they can run it is not.
        is_soon = any(each.load < survey.most_load for each in left)
        return errors.CroftpulleyError(
            codes.ResultCode.NO_CAPACITY,
            f"pool {pool!r}: {full_count} endpoints have all the requests that they should have",
            retry_after_s=come_back_s(exchange, survey) if is_soon else None,
        )
    if left:
        return errors.CroftpulleyError(
            codes.ResultCode.ENDPOINTS_COLD, f"pool {pool!r}: {len(left) - full_count} cold"
        )
    if awake or survey.opens_in_s == float("inf"):
        return service.no_engine(survey.state, pool, survey.members, exchange.home_regions)
    return errors.CroftpulleyError(
        codes.ResultCode.ENDPOINTS_RESTING,
        f"pool {pool!r}: {len(survey.candidates)} endpoints want no requests from this box",
        retry_after_s=come_back_s(exchange, survey),
    )


def declined(
    exchange: base.Exchange, survey: service.Survey, told: errors.CroftpulleyError
) -> errors.CroftpulleyError:
    """Return the refusal of a request that was declined, with when its pool takes requests."""
    if not any(survey.is_withdrawn(each) for each in survey.candidates):
        return told
    if survey.opens_in_s == float("inf"):
        return told
    code = codes.ResultCode.ENDPOINTS_RESTING if survey.opens_in_s else told.code
    return errors.CroftpulleyError(
        code,
        told.detail,
        run_state=told.run_state,
        retry_after_s=come_back_s(exchange, survey),
    )


def come_back_s(exchange: base.Exchange, survey: service.Survey) -> float:
    """Return when the caller should come back: once the pool takes requests, urgent ones first."""
    chance = retry_times.hash_fraction(exchange.facts.request_id)
    position = retry_times.queue_position(headers.urgency(exchange), chance)
    left_s = exchange.deadline_s - survey.now_s
    return retry_times.wait_s(survey.opens_in_s, left_s, retry_times.JITTER_SHARE, position)
