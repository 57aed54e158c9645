"""Raft consensus without I/O: takes messages, ticks and synced writes, and returns effects.

It implements Raft (Ongaro and Ousterhout, "In search of an understandable consensus algorithm",
2014) with pre-vote, check-quorum, learners, and membership changes that replace, add or remove one
replica at a time. ``docs/design/007-replicated-log.md`` gives the reasons.
"""
