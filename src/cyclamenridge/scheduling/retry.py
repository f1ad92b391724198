"""Budget of repeated attempts."""

# A quiet balancer still gets one retry a second, so that a single busy
# server does not refuse its only request.
MIN_TOKENS_PER_S = 1.0
MAX_TOKENS = 20.0
# Doubtful attempts leave this much, first for the own slots and then for
# requests that a server seemed sure to have a slot for.
OWN_KEEP = 4.0
FOREIGN_KEEP = 8.0


class RetryBudget:
    """Limits retries to a percentage of the requests submitted.

    An attempt at a server outside the own slots reserves a token and gets
    it back when the server runs the request, so only refused attempts cost.
    """

    def __init__(self, now_ms: int, *, percent: float = 0.0) -> None:
        self.percent = percent
        self._tokens = MAX_TOKENS
        self._updated_ms = now_ms

    def refill(self, now_ms: int) -> None:
        """Add the tokens of the time that passed."""
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms > 0 and self.percent > 0:
            self._add(elapsed_ms * MIN_TOKENS_PER_S / 1000)
        self._updated_ms = max(self._updated_ms, now_ms)

    def submitted(self) -> None:
        """Add the part of a token that one request earns."""
        self._add(self.percent / 100)

    def has(self, *, keep: float = 0.0) -> bool:
        """Whether a token can be taken so that ``keep`` are left."""
        return self.percent > 0 and self._tokens >= 1 + keep

    def take(self, *, keep: float = 0.0) -> bool:
        """Take a token; False when that leaves less than ``keep``."""
        if not self.has(keep=keep):
            return False
        self._tokens -= 1
        return True

    def give_back(self) -> None:
        """Return a token that was reserved and not needed."""
        self._add(1)

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_TOKENS, self._tokens + tokens)
