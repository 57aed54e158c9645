"""HTTP applications for callers and operators, served by waitress."""
