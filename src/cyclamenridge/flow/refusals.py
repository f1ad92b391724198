"""Detection of refused requests by the size of their answers."""

# Head of an HTTP answer without a body.
MAX_REFUSAL_BYTES = 256
# Usual answers of a route have to be this many times longer.
MIN_SIZE_RATIO = 2
SIZE_SMOOTHING = 0.1


class RefusalDetector:
    """Tells refusals from answers, by route.

    Servers answer clients directly, so that only the acknowledged bytes tell
    of an answer. A server that is full refuses with a head without a body. A
    route whose usual answers are as short has no refusals that can be seen.
    """

    def __init__(self) -> None:
        self._mean_bytes: dict[str, float] = {}

    def record(self, route: str, acked_bytes: int) -> bool:
        """Record an answer; return whether it is a refusal.

        :param route: name of the route
        :param acked_bytes: bytes of the answer that the client acknowledged
            at once
        """
        mean_bytes = self._mean_bytes.get(route)
        if acked_bytes <= MAX_REFUSAL_BYTES:
            return (
                mean_bytes is not None
                and mean_bytes >= MIN_SIZE_RATIO * acked_bytes
            )
        if mean_bytes is None:
            mean_bytes = acked_bytes
        self._mean_bytes[route] = mean_bytes + SIZE_SMOOTHING * (
            acked_bytes - mean_bytes
        )
        return False
