"""Measures memory per flow and time per event in a separate process.

Prints a JSON object that maps metric names to values.
"""

from collections.abc import Iterator
import gc
import pathlib
import random
import resource
import time
from typing import Annotated

from hdrh import histogram
import msgspec
import typer
import yaml

from cyclamenridge import address as address_lib
from cyclamenridge.config import document as document_lib
from cyclamenridge.feed import owner as feed_owner
from cyclamenridge.node import core as core_lib
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.routing import home_sets
from cyclamenridge.wire import backend
from cyclamenridge.wire import caller
from cyclamenridge.wire import rpc
from cyclamenridge.wire import token as token_lib

SERVER_COUNT = 7
KEY = b"k" * 32
DECISION_COUNT = 10_000
_FLOWS_PER_MS = 10
# Only feeds are measured, so sessions are few and closed early.
_FEEDS_PER_SESSION = 32
_CALLER_ADDRESS = address_lib.Address("10.0.0.1", 5000)
_ME = address_lib.Address("10.1.0.1", 7000)
_PEER_ADDRESS = address_lib.Address("10.1.0.2", 7000)

# Encoded once because opening the flows takes most of the run time.
_RESULTS = {
    method: msgspec.Raw(msgspec.msgpack.encode(result))
    for method, result in (
        ("attach", backend.Attached(1)),
        ("detach", backend.Empty()),
        ("load", backend.Load(0, 0, 0)),
        ("run", backend.RunResult(b"done", backend.Load(0, 0, 0))),
        ("cancel", backend.RunStatus(backend.RunState.NOT_RUN)),
        ("resolve", backend.RunStatus(backend.RunState.NOT_RUN)),
    )
}


class Node:
    """A core whose servers respond to every request immediately."""

    def __init__(self, seed: int) -> None:
        self.now_ms = 1_000_000
        self.core = core_lib.NodeCore(
            home_sets.Balancer("b1", "d1", _ME, 1),
            keys=(KEY,),
            seeds=(),
            rng=random.Random(seed),
        )
        self.to_caller: list[bytes] = []
        self._execute_effects(self.core.start(self.now_ms))
        body = yaml.safe_dump(_config_data())
        document = document_lib.Document(
            1, document_lib.digest(body), "apply-1", (), body
        )
        self.handle(events.StoreRead(document, 1))
        for _ in range(20):
            self.now_ms += 50
            self.handle(events.Tick())

    def handle(self, event: events.Event) -> None:
        """Handle an event and the events that its effects cause."""
        self._execute_effects(self.core.handle(self.now_ms, event))

    def ask(self, method: str, params: msgspec.Struct) -> bytes:
        """Send a caller request and return the encoded result."""
        self.to_caller.clear()
        data = rpc.request(1, method, params)
        self.handle(events.CallerDatagram(_CALLER_ADDRESS, data))
        answer = rpc.decode(self.to_caller[0])
        if not isinstance(answer, rpc.Response) or answer.error is not None:
            raise RuntimeError(f"{method}: {answer}")
        return bytes(answer.result)

    def _execute_effects(self, out: list[effects.Effect]) -> None:
        for effect in out:
            if isinstance(effect, effects.SendCaller):
                self.to_caller.append(effect.data)
            elif isinstance(effect, effects.OpenLink):
                ref = effect.server
                identity = backend.Identity(
                    ref.service, ref.server, 1, 2, 1_000_000
                )
                self.handle(events.LinkUp(ref, effect.link_id, identity))
            elif isinstance(effect, effects.SendLink):
                self._send_response(effect)

    def _send_response(self, effect: effects.SendLink) -> None:
        message = rpc.decode(effect.data)
        if not isinstance(message, rpc.Request):
            return
        answer = rpc.Response(message.msgid, None, _RESULTS[message.method])
        self.handle(events.LinkMessage(effect.server, effect.link_id, answer))


def _config_data() -> dict[str, object]:
    return {
        "deployment": "bench",
        "failure_domains": {
            "d1": {"region": "r", "networks": ["10.1.0.0/16"]}
        },
        "services": {
            "counter": {
                "slow_start_ms": 0,
                "servers": {
                    f"counter-{number}": {
                        "address": f"10.2.0.{number}:7000",
                        "failure_domain": "d1",
                        "slots": 2,
                        "connections": 1_000_000,
                    }
                    for number in range(1, SERVER_COUNT + 1)
                },
            }
        },
        "precedence": ["door", "setting"],
        "kinds": {
            "door": {"service": "counter", "mode": "feed"},
            "setting": {"service": "counter", "mode": "request"},
        },
        "customers": {"c1": {"share": 1}},
    }


def _resident_bytes() -> int:
    gc.collect()
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * resource.getpagesize()


def _open_session(node: Node) -> bytes:
    result = node.ask("open", caller.Open("counter", "c1", 1))
    return msgspec.msgpack.decode(result, type=caller.Grant).token


def _open_feeds(node: Node, count: int) -> tuple[float, bytes, int]:
    """Open feeds; return bytes per feed and the last feed token and ID."""
    session = _open_session(node)
    grant = caller.FeedGrant(b"", 0)
    before = _resident_bytes()
    for number in range(count):
        if number % _FLOWS_PER_MS == 0:
            node.now_ms += 1

        if number % _FEEDS_PER_SESSION == 0:
            params = caller.Open("counter", "c1", number + 2)
            session = msgspec.msgpack.decode(
                node.ask("open", params), type=caller.Grant
            ).token
        result = node.ask(
            "subscribe", caller.Subscribe(session, "door", number + 1, 0)
        )
        if (number + 1) % _FEEDS_PER_SESSION == 0:
            node.handle(
                events.CallerDatagram(
                    _CALLER_ADDRESS,
                    rpc.notification("close", caller.Close(session)),
                )
            )
    grant = msgspec.msgpack.decode(result, type=caller.FeedGrant)
    node.to_caller.clear()
    used = _resident_bytes() - before
    return used / count, grant.token, grant.feed_id


def _measure_latency(
    node: Node, name: str, inputs: Iterator[events.Event]
) -> dict[str, float]:
    values = histogram.HdrHistogram(1, 1_000_000_000, 3)
    handle = node.core.handle
    clock = time.perf_counter_ns
    for event in inputs:
        started = clock()
        handle(node.now_ms, event)
        values.record_value(max(1, clock() - started))
    return {
        f"{name}_mean_us": values.get_mean_value() / 1000,
        f"{name}_p99_us": values.get_value_at_percentile(99) / 1000,
    }


def _caller_datagrams(
    method: str, *params: msgspec.Struct
) -> Iterator[events.Event]:
    for index in range(DECISION_COUNT):
        data = rpc.request(index, method, params[index % len(params)])
        yield events.CallerDatagram(_CALLER_ADDRESS, data)


def _calls(token: bytes) -> list[caller.Call]:
    payload = b"p" * 64
    return [
        caller.Call(
            token,
            seq,
            "setting",
            1,
            5000,
            0,
            1,
            caller.payload_check(payload),
            payload,
        )
        for seq in range(1, 200)
    ]


def _measure_forwarding(seed: int) -> dict[str, float]:
    # A node that has just started forwards even to unknown owners.
    node = Node(seed)
    foreign_token = token_lib.TokenCodec((KEY,)).encode(
        token_lib.Token(
            token_lib.TokenType.SESSION,
            token_lib.name_hash("counter"),
            _PEER_ADDRESS,
            1,
            7,
        )
    )
    out = _measure_latency(
        node, "forward", _caller_datagrams("call", *_calls(foreign_token))
    )
    if node.core.counters["datagrams_forwarded"] != DECISION_COUNT:
        raise RuntimeError("the datagrams were not forwarded")
    return out


def _measure_decisions(
    node: Node, feed: bytes, feed_id: int
) -> dict[str, float]:
    out = {}
    keepalive = caller.Keepalive(feed, 0)
    out |= _measure_latency(
        node, "keepalive", _caller_datagrams("keepalive", keepalive)
    )
    link = next((link for link in node.core._links.links() if link.up), None)
    assert link is not None
    notification = rpc.decode(
        rpc.notification("event", backend.Event(feed_id, 1, b"e" * 64))
    )
    event = events.LinkMessage(link.ref, link.link_id, notification)
    out |= _measure_latency(node, "event", iter([event] * DECISION_COUNT))
    out |= _measure_latency(node, "tick", iter([events.Tick()] * 200))
    return out


def measure(flows: int, seed: int) -> dict[str, float]:
    """Measure a core and return metric values by name."""
    out: dict[str, float] = {"flow_limit": float(feed_owner.MAX_FEEDS)}
    # Raised so that memory can also be measured above the limit.
    feed_owner.MAX_FEEDS = max(flows, feed_owner.MAX_FEEDS)
    node = Node(seed)
    started = time.perf_counter()
    bytes_per_flow, token, feed_id = _open_feeds(node, flows)
    out["new_flow_us"] = (time.perf_counter() - started) / flows * 1e6
    out["bytes_per_flow"] = bytes_per_flow
    out["flows_held"] = float(node.core.dump(node.now_ms).feeds)
    out |= _measure_forwarding(seed)
    return out | _measure_decisions(node, token, feed_id)


def main(
    *,
    flows: Annotated[int, typer.Option(min=1)] = 200_000,
    seed: int = 1,
) -> None:
    """Measure a core and print the metrics."""
    typer.echo(msgspec.json.encode(measure(flows, seed)).decode())


if __name__ == "__main__":
    typer.run(main)
