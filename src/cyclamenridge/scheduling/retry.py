"""Token bucket that limits attempts which servers may turn down."""

# Without this minimum, a balancer with few requests would refuse its only
# request because of a single busy server.
MIN_TOKENS_PER_S = 1.0
MAX_TOKENS = 20.0
# Attempts that may find no free slot leave this many tokens. The lower
# reserve lets own slots go first; the tokens below both are for servers that
# reported a free slot a moment ago.
OWN_SLOT_RESERVE_TOKENS = 4.0
FOREIGN_SLOT_RESERVE_TOKENS = 8.0


class RetryBudget:
    """Limits retries to a percentage of the requests submitted.

    An attempt takes a token and returns it when the server runs the request,
    so that only attempts which are turned down use up tokens.
    """

    def __init__(self, now_ms: int, *, percent: float = 0.0) -> None:
        self.percent = percent
        self._tokens = MAX_TOKENS
        self._refilled_ms = now_ms

    def refill(self, now_ms: int) -> None:
        """Add the minimum rate of tokens for the time since the last call."""
        elapsed_ms = now_ms - self._refilled_ms
        if elapsed_ms > 0 and self.percent > 0:
            self._add(elapsed_ms * MIN_TOKENS_PER_S / 1000)
        self._refilled_ms = max(self._refilled_ms, now_ms)

    def add_request(self) -> None:
        """Add the fraction of a token that a submitted request allows."""
        self._add(self.percent / 100)

    def can_take(self, *, reserve: float = 0.0) -> bool:
        """Whether a token can be taken so that ``reserve`` are left."""
        return self.percent > 0 and self._tokens >= 1 + reserve

    def try_take(self, *, reserve: float = 0.0) -> bool:
        """Take a token; False when that would leave less than ``reserve``."""
        if not self.can_take(reserve=reserve):
            return False
        self._tokens -= 1
        return True

    def return_token(self) -> None:
        """Return a token that was taken and not needed."""
        self._add(1)

    def _add(self, tokens: float) -> None:
        self._tokens = min(MAX_TOKENS, self._tokens + tokens)
