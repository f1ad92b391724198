"""State shared by the components of a node."""

import collections
import random

from hdrh import histogram
import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.node import effects as effects_lib
from cyclamenridge.routing import home_sets
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from cyclamenridge.wire import token as token_lib

Address = address_lib.Address

# One hour; longer requests are recorded as one hour.
_MAX_RECORDED_LATENCY_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2


class Context:
    """Identity, configuration, counters and pending effects of a node.

    :ivar leaving: a planned stop has begun; the node takes no new work
    """

    def __init__(
        self,
        me: home_sets.Balancer,
        *,
        keys: tuple[bytes, ...],
        rng: random.Random,
    ) -> None:
        self.me = me
        self.rng = rng
        self.token_codec = token_lib.TokenCodec(keys)
        self.counters: collections.Counter[str] = collections.Counter()
        self.latencies: dict[str, histogram.HdrHistogram] = {}
        self.effects: list[effects_lib.Effect] = []
        self.config: model.Config | None = None
        self.service_names_by_hash: dict[int, str] = {}
        self.leaving = False

    def set_config(self, cfg: model.Config) -> None:
        """Make a configuration the current one."""
        self.config = cfg
        # Names of removed services are kept because their feeds continue.
        self.service_names_by_hash.update(
            (token_lib.name_hash(name), name) for name in cfg.services
        )

    def take_effects(self) -> list[effects_lib.Effect]:
        """Return the effects collected since the last call."""
        out, self.effects = self.effects, []
        return out

    def send_to_caller(self, dest: Address, data: bytes) -> None:
        """Send a datagram to a caller."""
        self.effects.append(effects_lib.SendCaller(dest, data))

    def respond(
        self, dest: Address, msgid: int, result: msgspec.Struct
    ) -> None:
        """Send a successful response to a caller."""
        self.send_to_caller(dest, rpc.response(msgid, result))

    def send_refusal(
        self,
        dest: Address,
        msgid: int,
        reason: caller.Reason,
        retry_after_ms: int = 0,
    ) -> None:
        """Send an error response to a caller and count it by reason."""
        self.counters[f"refused_{reason.value}"] += 1
        self.send_to_caller(
            dest,
            rpc.error_response(msgid, caller.Refusal(reason, retry_after_ms)),
        )

    def report_transition(
        self, subject: str, old: str, new: str, detail: str
    ) -> None:
        """Report a state transition, which is written to the log."""
        self.effects.append(
            effects_lib.StateChanged(subject, old, new, detail)
        )

    def record_latency(self, kind: str, latency_ms: int) -> None:
        """Add one request to the latency histogram of its kind."""
        recorder = self.latencies.get(kind)
        if recorder is None:
            recorder = self.latencies[kind] = histogram.HdrHistogram(
                1, _MAX_RECORDED_LATENCY_US, _SIGNIFICANT_DIGITS
            )
        recorder.record_value(
            min(max(1, latency_ms * 1000), _MAX_RECORDED_LATENCY_US)
        )
