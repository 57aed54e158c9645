"""Controllers: actors that each hold one piece of state and drive one pure core."""
