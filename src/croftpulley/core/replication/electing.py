"""How a replica comes to lead: trials, elections and votes."""

from __future__ import annotations

from collections.abc import Callable

from croftpulley.core.replication import messages, voting
from croftpulley.core.replication import state as states


class Electing:
    """Asks for votes and gives them; ``on_won`` begins to lead."""

    def __init__(
        self, state: states.State, on_won: Callable[[float, states.Effects], None]
    ) -> None:
        self._state = state
        self._on_won = on_won
        self._ballot = voting.Ballot()

    def start_trial(self, now_s: float, effects: states.Effects) -> None:
        """Ask whether there would be votes, without starting a term."""
        self._state.rest(now_s)
        self._state.role = states.Role.TRIAL
        self._state.leader = ""
        self._open_ballot(now_s)
        self._ask_for_votes(self._state.term + 1, trial=True, effects=effects)
        self._count_votes(now_s, effects)

    def _start_election(self, now_s: float, effects: states.Effects) -> None:
        self._state.rest(now_s)
        self._state.role = states.Role.CANDIDATE
        self._state.term += 1
        self._state.voted_for = self._state.id
        self._open_ballot(now_s)
        self._state.save(effects)
        self._ask_for_votes(self._state.term, trial=False, effects=effects)
        self._count_votes(now_s, effects)

    def _open_ballot(self, now_s: float) -> None:
        """Begin to count, with this replica's own vote."""
        self._ballot = voting.Ballot()
        self._ballot.add(self._state.id, firm=self._state.hearing.may_vote(now_s))

    def _ask_for_votes(self, term: int, *, trial: bool, effects: states.Effects) -> None:
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
        if self._state.role is states.Role.TRIAL:
            self._start_election(now_s, effects)
        elif self._state.role is states.Role.CANDIDATE:
            self._on_won(now_s, effects)

    def on_request(self, request: messages.VoteRequest, now_s: float) -> states.Effects:
        """Give a vote or not."""
        effects = states.Effects()
        agrees = self._would_vote(request)
        granted = agrees and self._state.hearing.may_vote(now_s)
        if_all = agrees and not granted and self._state.hearing.may_vote_if_all
        if (granted or if_all) and not request.trial:
            if request.term > self._state.term:
                self._state.follow(request.term, "", now_s)
            self._state.voted_for = request.candidate
            self._state.rest(now_s)
            self._state.save(effects)
        effects.reply = messages.VoteReply(
            voter=self._state.id,
            term=self._state.term,
            granted=granted,
            if_all=if_all,
            trial=request.trial,
            member=self._state.members.find(request.candidate) is not None,
        )
        return effects

    def _would_vote(self, request: messages.VoteRequest) -> bool:
        """Tell whether this replica would vote so, were it not for what it may have promised.

        Nothing of a request is taken up while a leader is heard, not even its term: a replica that
        was cut off must not end the leader's term when it comes back.
        """
        if self._state.role is states.Role.LEADER or request.term < self._state.term:
            return False
        ours = (self._state.log.last_term, self._state.log.last_index)
        if (request.last_term, request.last_index) < ours:
            return False
        if request.trial:
            return request.term > self._state.term
        return request.term > self._state.term or self._state.voted_for in ("", request.candidate)

    def on_reply(self, reply: messages.VoteReply, now_s: float) -> states.Effects:
        """Count a vote."""
        effects = states.Effects()
        if not reply.member:
            self._state.is_unknown_to_others = True
        if reply.term > self._state.term and not reply.granted:
            self._state.follow(reply.term, "", now_s)
            self._state.save(effects)
            return effects
        expected = states.Role.TRIAL if reply.trial else states.Role.CANDIDATE
        # A reply to an earlier candidacy says nothing of this one.
        current = reply.trial or reply.term == self._state.term
        if (reply.granted or reply.if_all) and self._state.role is expected and current:
            self._ballot.add(reply.voter, firm=reply.granted)
            self._count_votes(now_s, effects)
        return effects
