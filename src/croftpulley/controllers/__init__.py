"""Controllers: actors that each own one piece of state and drive one I/O-free core object."""
