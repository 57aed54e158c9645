"""The daemons: they wire the library together and hold no decisions of their own."""
