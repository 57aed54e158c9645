"""Pure decision logic: no threads, sockets or clocks.

Functions take their inputs and the current time as arguments and return what to do, so daemons,
tests and the model checker run the same code.
"""
