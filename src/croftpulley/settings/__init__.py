"""Settings of the daemons and the fleet's configuration: classes, loading and validation."""
