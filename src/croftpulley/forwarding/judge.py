"""Classifies the status and headers of an endpoint's response."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, traffic
from croftpulley.core import attempts, brittle, membership, verdicts
from croftpulley.forwarding import attempt, base, sender, vocabulary


class ResponseClassifier:
    """Classifies responses and records failures of the endpoints that sent them."""

    def __init__(
        self,
        counts: traffic.Traffic,
        view: actors.View[router_state.RouterState],
        names: vocabulary.HeaderNames,
    ) -> None:
        self._counts = counts
        self._view = view
        self._names = names

    def classify(self, exchange: base.Exchange, answer: sender.Response) -> verdicts.Verdict:
        """Return whether a response can be passed on to the caller, or why not."""
        names = self._names
        return verdicts.classify_response(
            verdicts.ResponseFacts(
                status=answer.status,
                declined=bool(answer.header(names.not_run)),
                has_proof=bool(answer.header(names.proof)),
                id_matches=answer.header(names.request_id) == exchange.facts.request_id,
            )
        )

    def _back_off(self, endpoint: membership.Endpoint) -> None:
        """Send nothing for a while to a brittle endpoint that has rejected a request."""
        limit = self._counts.most_turned_away(endpoint.pool) or 0
        boxes = self._view.get().registered_boxes
        self._counts.block_for(endpoint.key, brittle.backoff_s(limit, boxes))

    def record_failure(
        self, current: attempt.OpenAttempt, verdict: verdicts.Verdict
    ) -> errors.CroftpulleyError:
        """Record an unsuccessful response against its endpoint; return the error for the caller."""
        status = current.response.status
        where = f"{current.endpoint.address}: status {status}"
        if verdict is verdicts.Verdict.NOT_RUN:
            # The headers settle that the request was not run, whatever the body says.
            current.attempt.phase = attempts.Phase.REFUSED
            if status == verdicts.MISDIRECTED:
                self._counts.address_reused(current.endpoint.key)
            elif self._counts.is_brittle(current.endpoint.key):
                self._back_off(current.endpoint)
            elif not (
                self._counts.is_withdrawn(current.endpoint.key)
                or self._counts.is_full(current.endpoint.key)
            ):
                # The response gives no duration, so the back-off is that after a failure.
                self._counts.failed(current.endpoint.key)
            return errors.CroftpulleyError(codes.ResultCode.DECLINED, where)
        code = codes.ResultCode.ENGINE_REFUSED
        if verdict is verdicts.Verdict.MISLEADING:
            self._counts.failed(current.endpoint.key)
            code = codes.ResultCode.ANSWER_CORRUPT
        return errors.CroftpulleyError(code, where, run_state=codes.RunState.RAN)
