"""gRPC between our own processes. Generated code is in ``_generated``."""
