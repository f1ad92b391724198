"""Links to backend servers: life cycle, heartbeat and open calls."""

import abc
import dataclasses
import random

import msgspec
import transitions

from cyclamenridge.node import context as context_lib
from cyclamenridge.node import effects
from cyclamenridge.node import events
from cyclamenridge.wire import backend
from cyclamenridge.wire import rpc

Address = context_lib.Address
ServerRef = events.ServerRef

LOAD_INTERVAL_MS = 500
SILENCE_LIMIT_MS = 2000
CONNECT_LIMIT_MS = 2000
# Reconnecting starts at once after a loss and backs off with full
# jitter, so that a restarted server is not met by all balancers in step.
_BACKOFF_FIRST_MS = 100
_BACKOFF_LIMIT_MS = 3000
# Ticks arrive every 50 ms. A longer gap means that this process was
# paused and that messages of the gap may still be waiting behind it.
_PAUSE_MS = 500

_LOAD = msgspec.msgpack.Decoder(backend.Load)
_EMPTY = backend.Empty()


@dataclasses.dataclass(slots=True)
class Pending:
    """A call to a server that has not been answered.

    :param ident: what the call is about, as its sender names it
    :param attempt: tells apart calls with the same ``ident``
    """

    method: str
    ident: object
    attempt: int
    sent_ms: int


class Listener(abc.ABC):
    """Takes what happens on links."""

    @abc.abstractmethod
    def link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Take a link that is up and whose identity matches."""

    @abc.abstractmethod
    def link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Take the loss of a link that was up."""

    @abc.abstractmethod
    def load(self, now_ms: int, ref: ServerRef, load: backend.Load) -> None:
        """Take a load report."""

    @abc.abstractmethod
    def answered(
        self,
        now_ms: int,
        ref: ServerRef,
        pending: Pending,
        answer: rpc.Response,
    ) -> None:
        """Take the answer to a call."""

    @abc.abstractmethod
    def notified(
        self, now_ms: int, ref: ServerRef, note: rpc.Notification
    ) -> None:
        """Take a notification."""


class Link:
    """State of the link to one server."""

    state: str

    def __init__(self, ref: ServerRef, address: Address) -> None:
        self.ref = ref
        self.address = address
        self.link_id = 0
        self.identity: backend.Identity | None = None
        self.pending: dict[int, Pending] = {}
        self.next_msgid = 0
        self.last_rx_ms = 0
        self.load_sent_ms = 0
        self.opened_ms = 0
        self.retry_ms = 0
        self.failures = 0
        self.down_since_ms = 0
        self.connections = 0

    @property
    def up(self) -> bool:
        """Tell whether the link may be used."""
        return self.identity is not None


_STATES = ["down", "connecting", "up"]
_TRANSITIONS = [
    {"trigger": "connect", "source": "down", "dest": "connecting"},
    {"trigger": "establish", "source": "connecting", "dest": "up"},
    {"trigger": "lose", "source": ["connecting", "up"], "dest": "down"},
]


class LinkTable:
    """All links of a node."""

    def __init__(
        self,
        ctx: context_lib.Context,
        listener: Listener,
        rng: random.Random,
    ) -> None:
        self._ctx = ctx
        self._listener = listener
        self._rng = rng
        self._links: dict[ServerRef, Link] = {}
        self._last_id = 0
        self._tick_ms: int | None = None
        self._grace_until_ms = 0
        self._machine = transitions.Machine(
            model=None,
            states=_STATES,
            transitions=_TRANSITIONS,
            initial="down",
            auto_transitions=False,
        )

    def links(self) -> tuple[Link, ...]:
        """Return all links."""
        return tuple(self._links.values())

    def get(self, ref: ServerRef) -> Link | None:
        """Return the link to a server."""
        return self._links.get(ref)

    def identity(self, ref: ServerRef) -> backend.Identity | None:
        """Return who answered on a link, None while it is not up."""
        link = self._links.get(ref)
        return link.identity if link is not None else None

    def ensure(self, now_ms: int, ref: ServerRef, address: Address) -> None:
        """Keep a link to a server open from now on."""
        link = self._links.get(ref)
        if link is not None and link.address != address:
            self._drop(now_ms, link, "address changed", close=True)
            link.address = address
            link.retry_ms = now_ms
        if link is None:
            link = self._links[ref] = Link(ref, address)
            link.down_since_ms = now_ms
            self._machine.add_model(link)
        if link.state == "down" and link.retry_ms <= now_ms:
            self._connect(now_ms, link)

    def close(self, now_ms: int, ref: ServerRef) -> None:
        """Close the link to a server and forget it."""
        link = self._links.get(ref)
        if link is not None:
            self._drop(now_ms, link, "not needed", close=True)
            del self._links[ref]
            self._machine.remove_model(link)

    def request(
        self,
        now_ms: int,
        ref: ServerRef,
        method: str,
        params: msgspec.Struct,
        *,
        ident: object = None,
        attempt: int = 0,
    ) -> bool:
        """Send a call; False when the link is not up."""
        link = self._links.get(ref)
        if link is None or link.identity is None:
            return False
        link.next_msgid = msgid = (link.next_msgid + 1) & 0xFFFFFFFF
        link.pending[msgid] = Pending(method, ident, attempt, now_ms)
        self._send(link, rpc.request(msgid, method, params))
        return True

    def notify(
        self, ref: ServerRef, method: str, params: msgspec.Struct
    ) -> bool:
        """Send a notification; False when the link is not up."""
        link = self._links.get(ref)
        if link is None or link.identity is None:
            return False
        self._send(link, rpc.notification(method, params))
        return True

    def established(self, now_ms: int, event: events.LinkUp) -> None:
        """Check who answered and put the link into use."""
        link = self._current(event)
        if link is None or link.state != "connecting":
            return
        identity = event.identity
        if (
            identity.service != link.ref.service
            or identity.server != link.ref.server
        ):
            self._ctx.counters["identity_mismatch"] += 1
            self._drop(now_ms, link, "identity mismatch", close=True)
            return
        link.establish()
        link.identity = identity
        link.last_rx_ms = now_ms
        link.load_sent_ms = now_ms
        link.failures = 0
        self._ctx.changed(_subject(link.ref), "connecting", "up", "")
        self._listener.link_up(now_ms, link.ref, identity)

    def ended(self, now_ms: int, event: events.LinkDown) -> None:
        """Take the end of a link or of an attempt to open one."""
        link = self._current(event)
        if link is not None and link.state != "down":
            self._drop(now_ms, link, event.reason, close=False)

    def message(self, now_ms: int, event: events.LinkMessage) -> None:
        """Take a message from a server."""
        link = self._current(event)
        if link is None or link.identity is None:
            self._ctx.counters["link_messages_late"] += 1
            return
        link.last_rx_ms = now_ms
        message = event.message
        if isinstance(message, rpc.Response):
            pending = link.pending.pop(message.msgid, None)
            if pending is None:
                self._ctx.counters["link_answers_unexpected"] += 1
            elif pending.method == "load":
                self._load(now_ms, link, message)
            else:
                self._listener.answered(now_ms, link.ref, pending, message)
        elif isinstance(message, rpc.Notification):
            self._listener.notified(now_ms, link.ref, message)
        else:
            self._ctx.counters["link_messages_malformed"] += 1

    def tick(self, now_ms: int) -> None:
        """Send heartbeats, replace silent links and reconnect."""
        if self._tick_ms is not None and now_ms - self._tick_ms > _PAUSE_MS:
            self._grace_until_ms = now_ms + _PAUSE_MS
        self._tick_ms = now_ms
        for link in list(self._links.values()):
            self._tick_link(now_ms, link)

    def _tick_link(self, now_ms: int, link: Link) -> None:
        if link.identity is not None:
            if (
                now_ms - link.last_rx_ms > SILENCE_LIMIT_MS
                and now_ms >= self._grace_until_ms
            ):
                self._ctx.counters["links_half_open"] += 1
                link.retry_ms = now_ms
                self._drop(now_ms, link, "half-open", close=True)
            elif now_ms - link.load_sent_ms >= LOAD_INTERVAL_MS:
                link.load_sent_ms = now_ms
                self.request(now_ms, link.ref, "load", _EMPTY)
        elif (
            link.state == "connecting"
            and now_ms - link.opened_ms > CONNECT_LIMIT_MS
        ):
            self._drop(now_ms, link, "connect timed out", close=True)
        if link.state == "down" and now_ms >= link.retry_ms:
            self._connect(now_ms, link)

    def _connect(self, now_ms: int, link: Link) -> None:
        self._last_id += 1
        link.link_id = self._last_id
        link.opened_ms = now_ms
        link.connect()
        self._ctx.effects.append(
            effects.OpenLink(link.ref, link.link_id, link.address)
        )

    def _drop(
        self, now_ms: int, link: Link, reason: str, *, close: bool
    ) -> None:
        if link.state == "down":
            return
        was_up = link.identity is not None
        link.lose()
        link.identity = None
        link.pending.clear()
        if close:
            self._ctx.effects.append(effects.CloseLink(link.ref, link.link_id))
        if was_up:
            link.down_since_ms = now_ms
            link.retry_ms = now_ms
            self._ctx.counters["links_lost"] += 1
            self._ctx.changed(_subject(link.ref), "up", "down", reason)
            self._listener.link_lost(now_ms, link.ref)
        else:
            link.failures += 1
            limit = min(
                _BACKOFF_LIMIT_MS,
                _BACKOFF_FIRST_MS << min(link.failures, 10),
            )
            link.retry_ms = now_ms + self._rng.randint(
                _BACKOFF_FIRST_MS // 2, limit
            )

    def _load(self, now_ms: int, link: Link, answer: rpc.Response) -> None:
        try:
            load = _LOAD.decode(answer.result)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        link.connections = load.connections
        self._listener.load(now_ms, link.ref, load)

    def _send(self, link: Link, data: bytes) -> None:
        self._ctx.effects.append(
            effects.SendLink(link.ref, link.link_id, data)
        )

    def _current(
        self, event: events.LinkUp | events.LinkDown | events.LinkMessage
    ) -> Link | None:
        """Return the link that an event is about unless it was replaced."""
        link = self._links.get(event.server)
        if link is None or link.link_id != event.link_id:
            return None
        return link


def _subject(ref: ServerRef) -> str:
    return f"link {ref.service}/{ref.server}"
