"""The replicated log as a pure core: messages, ticks and synced writes in; effects out.

It follows Raft (Ongaro and Ousterhout, "In search of an understandable consensus algorithm", 2014)
with trial votes, a leader that watches its own quorum, learners, and membership changes that
replace, add or remove one replica at a time. ``docs/design/007-replicated-log.md`` says why.
"""
