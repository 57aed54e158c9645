"""Pure decisions: no threads, no sockets and no clock of their own.

Every function takes its inputs and the time, and returns what to do. Daemons, tests and the model
checker run the same code.
"""
