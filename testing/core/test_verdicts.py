"""What is done with a request after a response."""

from __future__ import annotations

import pytest

from croftpulley.core import verdicts


class TestVerdicts:
    """The verdict for each kind of response head."""

    @pytest.mark.parametrize(
        ("status", "declined", "proof", "matches", "verdict"),
        [
            (200, False, True, True, verdicts.Verdict.PASS_ON),
            (404, False, True, True, verdicts.Verdict.PASS_ON),
            (200, False, False, True, verdicts.Verdict.MISLEADING),
            (200, False, True, False, verdicts.Verdict.MISLEADING),
            (503, False, True, True, verdicts.Verdict.MISLEADING),
            (429, False, True, True, verdicts.Verdict.MISLEADING),
            (503, True, False, True, verdicts.Verdict.NOT_RUN),
            (400, True, False, False, verdicts.Verdict.NOT_RUN),
            (421, False, False, True, verdicts.Verdict.NOT_RUN),
            (500, False, True, True, verdicts.Verdict.FAILED),
        ],
    )
    def test_the_verdict_follows_from_the_response_head(
        self, status, declined, proof, matches, verdict
    ):
        facts = verdicts.ResponseFacts(
            status=status, declined=declined, has_proof=proof, id_matches=matches
        )
        assert verdicts.classify_response(facts) is verdict
