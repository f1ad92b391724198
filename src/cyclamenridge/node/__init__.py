"""Core of a balancer node: takes events, returns effects, does no I/O."""
