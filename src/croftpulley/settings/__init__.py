"""Settings of one daemon and the fleet's agreed configuration: classes and checked loading."""
