"""Leader election: pre-votes, elections, and votes for other candidates."""

from __future__ import annotations

from collections.abc import Callable

from croftpulley.core.replication import messages, voting
from croftpulley.core.replication import state as states


class Elector:
    """Requests votes and answers vote requests; calls ``on_won`` when an election is won."""

    def __init__(
        self, state: states.State, on_won: Callable[[float, states.Effects], None]
    ) -> None:
        self._state = state
        self._on_won = on_won
        self._ballot = voting.Ballot()

    def start_pre_vote(self, now_s: float, effects: states.Effects) -> None:
        """Start a pre-vote: ask whether an election could be won, without starting a new term."""
        self._state.reset_election_timer(now_s)
        self._state.role = states.Role.PRE_CANDIDATE
        self._state.leader = ""
        self._start_ballot(now_s)
        self._request_votes(self._state.term + 1, trial=True, effects=effects)
        self._count_votes(now_s, effects)

    def _start_election(self, now_s: float, effects: states.Effects) -> None:
        self._state.reset_election_timer(now_s)
        self._state.role = states.Role.CANDIDATE
        self._state.term += 1
        self._state.voted_for = self._state.id
        self._start_ballot(now_s)
        self._state.add_write(effects)
        self._request_votes(self._state.term, trial=False, effects=effects)
        self._count_votes(now_s, effects)

    def _start_ballot(self, now_s: float) -> None:
        """Start a new count of votes with this replica's own vote."""
        self._ballot = voting.Ballot()
        self._ballot.add(self._state.id, unconditional=self._state.leader_contact.may_vote(now_s))

    def _request_votes(self, term: int, *, trial: bool, effects: states.Effects) -> None:
        for voter in self._state.members.voters:
            if voter != self._state.id:
                effects.sends.append(
                    messages.VoteRequest(
                        to=voter,
                        term=term,
                        candidate=self._state.id,
                        last_index=self._state.log.last_index,
                        last_term=self._state.log.last_term,
                        trial=trial,
                    )
                )

    def _count_votes(self, now_s: float, effects: states.Effects) -> None:
        if not self._ballot.is_won(self._state.members):
            return
        if self._state.role is states.Role.PRE_CANDIDATE:
            self._start_election(now_s, effects)
        elif self._state.role is states.Role.CANDIDATE:
            self._on_won(now_s, effects)

    def on_request(self, request: messages.VoteRequest, now_s: float) -> states.Effects:
        """Grant or refuse a vote; the reply is in the effects."""
        effects = states.Effects()
        is_allowed = self._is_vote_allowed(request)
        granted = is_allowed and self._state.leader_contact.may_vote(now_s)
        if_all = is_allowed and not granted and self._state.leader_contact.may_vote_conditionally
        if (granted or if_all) and not request.trial:
            if request.term > self._state.term:
                self._state.become_follower(request.term, "", now_s)
            self._state.voted_for = request.candidate
            self._state.reset_election_timer(now_s)
            self._state.add_write(effects)
        effects.reply = messages.VoteReply(
            voter=self._state.id,
            term=self._state.term,
            granted=granted,
            if_all=if_all,
            trial=request.trial,
            member=self._state.members.find(request.candidate) is not None,
        )
        return effects

    def _is_vote_allowed(self, request: messages.VoteRequest) -> bool:
        """Return whether term, log and earlier vote allow this vote.

        The time since the last contact with a leader is checked by the caller. While there is such
        contact, the request changes nothing, not even this replica's term: a replica that returns
        from a network partition must not end the leader's term.
        """
        if self._state.role is states.Role.LEADER or request.term < self._state.term:
            return False
        own_position = (self._state.log.last_term, self._state.log.last_index)
        if (request.last_term, request.last_index) < own_position:
            return False
        if request.trial:
            return request.term > self._state.term
        return request.term > self._state.term or self._state.voted_for in ("", request.candidate)

    def on_reply(self, reply: messages.VoteReply, now_s: float) -> states.Effects:
        """Count a vote, or become a follower if the reply has a newer term."""
        effects = states.Effects()
        if not reply.member:
            self._state.is_unknown_to_others = True
        if reply.term > self._state.term and not reply.granted:
            self._state.become_follower(reply.term, "", now_s)
            self._state.add_write(effects)
            return effects
        expected = states.Role.PRE_CANDIDATE if reply.trial else states.Role.CANDIDATE
        # A reply from an earlier election must not count in this one.
        current = reply.trial or reply.term == self._state.term
        if (reply.granted or reply.if_all) and self._state.role is expected and current:
            self._ballot.add(reply.voter, unconditional=reply.granted)
            self._count_votes(now_s, effects)
        return effects
