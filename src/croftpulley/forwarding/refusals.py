"""Errors for requests that cannot be sent to any endpoint now, with the time to retry."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.core import retry_times
from croftpulley.forwarding import base, headers, service


def no_endpoint_available(
    exchange: base.Exchange, survey: service.Survey, excluded: set[str]
) -> errors.CroftpulleyError:
    """Return the error for a request when no endpoint is available.

    ``excluded`` has the keys of endpoints that may not be asked again. The code is NO_CAPACITY,
    ENDPOINTS_COLD, NO_ENGINE or ENDPOINTS_RESTING.
    """
    pool = exchange.pool
    not_withdrawn = [each for each in survey.candidates if not survey.is_withdrawn(each)]
    untried = [each for each in not_withdrawn if each.name not in excluded]
    full_count = sum(survey.is_full(each) for each in untried)
    if untried and full_count == len(untried):
        # Endpoints whose load is limited after a rest soon have capacity again. Where all are at
        # the maximum load that is not so: no retry time is set.
        is_soon = any(each.load < survey.max_load for each in untried)
        return errors.CroftpulleyError(
            codes.ResultCode.NO_CAPACITY,
            f"pool {pool!r}: {full_count} endpoints have all the requests that they should have",
            retry_after_s=caller_retry_after_s(exchange, survey) if is_soon else None,
        )
    if untried:
        return errors.CroftpulleyError(
            codes.ResultCode.ENDPOINTS_COLD, f"pool {pool!r}: {len(untried) - full_count} cold"
        )
    if not_withdrawn or survey.available_in_s == float("inf"):
        return service.no_engine_error(survey.state, pool, survey.members, exchange.home_regions)
    return errors.CroftpulleyError(
        codes.ResultCode.ENDPOINTS_RESTING,
        f"pool {pool!r}: {len(survey.candidates)} endpoints want no requests from this box",
        retry_after_s=caller_retry_after_s(exchange, survey),
    )


def declined_error(
    exchange: base.Exchange, survey: service.Survey, error: errors.CroftpulleyError
) -> errors.CroftpulleyError:
    """Return the error for a declined request, with a retry time if its endpoints rest.

    If no endpoint is withdrawn, or all shut down, that is the given error itself.
    """
    if not any(survey.is_withdrawn(each) for each in survey.candidates):
        return error
    if survey.available_in_s == float("inf"):
        return error
    code = codes.ResultCode.ENDPOINTS_RESTING if survey.available_in_s else error.code
    return errors.CroftpulleyError(
        code,
        error.detail,
        run_state=error.run_state,
        retry_after_s=caller_retry_after_s(exchange, survey),
    )


def caller_retry_after_s(exchange: base.Exchange, survey: service.Survey) -> float:
    """Return in how many seconds the caller should retry.

    That is when an endpoint of the pool accepts requests, plus jitter; urgent requests first.
    """
    tie_breaker = retry_times.hash_fraction(exchange.facts.request_id)
    position = retry_times.queue_position(headers.urgency(exchange), tie_breaker)
    left_s = exchange.deadline_s - survey.now_s
    return retry_times.wait_s(survey.available_in_s, left_s, retry_times.JITTER_SHARE, position)
