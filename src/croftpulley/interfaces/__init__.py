"""What the outside speaks: abstract classes, with the fleet's own interface as their first case."""
