"""Messages between the fleet's processes, over gRPC and HTTP; ``_generated`` is generated code."""
