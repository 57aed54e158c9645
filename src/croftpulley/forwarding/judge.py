"""What the head of an endpoint's answer says of the request and of the endpoint."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.controllers import actors, router_state, traffic
from croftpulley.core import attempts, brittle, membership, verdicts
from croftpulley.forwarding import attempt, base, sender, vocabulary


class Judge:
    """Reads the heads of answers."""

    def __init__(
        self,
        counts: traffic.Traffic,
        view: actors.View[router_state.RouterState],
        names: vocabulary.Vocabulary,
    ) -> None:
        self._counts = counts
        self._view = view
        self._names = names

    def verdict(self, exchange: base.Exchange, answer: sender.Answer) -> verdicts.Verdict:
        """Return what becomes of the request."""
        names = self._names
        return verdicts.classify_response(
            verdicts.ResponseFacts(
                status=answer.status,
                declined=bool(answer.header(names.not_run)),
                has_proof=bool(answer.header(names.proof)),
                id_matches=answer.header(names.request_id) == exchange.facts.request_id,
            )
        )

    def _stay_away(self, endpoint: membership.Endpoint) -> None:
        """Send a brittle endpoint nothing for a while that has turned a request away."""
        most = self._counts.most_turned_away(endpoint.pool) or 0
        boxes = self._view.get().registered_boxes
        self._counts.stay_away(endpoint.key, brittle.backoff_s(most, boxes))

    def refusal(
        self, current: attempt.OpenAttempt, verdict: verdicts.Verdict
    ) -> errors.CroftpulleyError:
        """Note what an answer that is no success says of its endpoint; return it as an error."""
        status = current.answer.status
        where = f"{current.endpoint.address}: status {status}"
        if verdict is verdicts.Verdict.NOT_RUN:
            # The head says so, whatever the body would say: the attempt has no more to tell.
            current.attempt.phase = attempts.Phase.REFUSED
            if status == verdicts.MISDIRECTED:
                self._counts.gone(current.endpoint.key)
            elif self._counts.is_brittle(current.endpoint.key):
                self._stay_away(current.endpoint)
            elif not (
                self._counts.is_withdrawn(current.endpoint.key)
                or self._counts.is_full(current.endpoint.key)
            ):
                # It does not say for how long: as long as one is avoided that fails.
                self._counts.failed(current.endpoint.key)
            return errors.CroftpulleyError(codes.ResultCode.DECLINED, where)
        code = codes.ResultCode.ENGINE_REFUSED
        if verdict is verdicts.Verdict.MISLEADING:
            self._counts.failed(current.endpoint.key)
            code = codes.ResultCode.ANSWER_CORRUPT
        return errors.CroftpulleyError(code, where, run_state=codes.RunState.RAN)
