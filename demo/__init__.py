"""Demo: a deployment of real processes on loopback, with load and faults."""
