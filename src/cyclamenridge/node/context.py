"""State that the parts of a node share."""

import collections
import random

from hdrh import histogram
import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.node import effects as effects_lib
from cyclamenridge.routing import homes
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from cyclamenridge.wire import token as token_lib

Address = address_lib.Address

# One hour in microseconds; longer requests are recorded as one hour.
_HIGHEST_LATENCY_US = 3_600_000_000
_LATENCY_DIGITS = 2


class Context:
    """Identity, configuration, counters and output of a node."""

    def __init__(
        self,
        me: homes.Balancer,
        *,
        keys: tuple[bytes, ...],
        rng: random.Random,
    ) -> None:
        self.me = me
        self.rng = rng
        self.tokens = token_lib.TokenCodec(keys)
        self.counters: collections.Counter[str] = collections.Counter()
        self.latencies: dict[str, histogram.HdrHistogram] = {}
        self.effects: list[effects_lib.Effect] = []
        self.config: model.Config | None = None
        self.service_names: dict[int, str] = {}
        self.leaving = False

    def set_config(self, cfg: model.Config) -> None:
        """Put a configuration in force."""
        self.config = cfg
        # Names of removed services stay, because their feeds go on.
        self.service_names.update(
            (token_lib.name_hash(name), name) for name in cfg.services
        )

    def take_effects(self) -> list[effects_lib.Effect]:
        """Return the output collected since the last call."""
        out, self.effects = self.effects, []
        return out

    def send(self, dest: Address, data: bytes) -> None:
        """Send a datagram to a caller."""
        self.effects.append(effects_lib.SendCaller(dest, data))

    def respond(
        self, dest: Address, msgid: int, result: msgspec.Struct
    ) -> None:
        """Send a response to a caller."""
        self.send(dest, rpc.response(msgid, result))

    def refuse(
        self,
        dest: Address,
        msgid: int,
        reason: caller.Reason,
        retry_after_ms: int = 0,
    ) -> None:
        """Send a typed error to a caller."""
        self.counters[f"refused_{reason.value}"] += 1
        self.send(
            dest,
            rpc.error_response(msgid, caller.Refusal(reason, retry_after_ms)),
        )

    def changed(self, subject: str, old: str, new: str, detail: str) -> None:
        """Report a change of state."""
        self.effects.append(
            effects_lib.StateChanged(subject, old, new, detail)
        )

    def record_latency(self, kind: str, latency_ms: int) -> None:
        """Add one request to the latencies of its kind."""
        values = self.latencies.get(kind)
        if values is None:
            values = self.latencies[kind] = histogram.HdrHistogram(
                1, _HIGHEST_LATENCY_US, _LATENCY_DIGITS
            )
        values.record_value(
            min(max(1, latency_ms * 1000), _HIGHEST_LATENCY_US)
        )
