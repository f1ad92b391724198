"""Links to backend servers: life cycle, heartbeats and pending calls."""

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

HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 2000
CONNECT_TIMEOUT_MS = 2000
# The first reconnect follows a loss at once; later ones back off
# exponentially with full jitter, so that the balancers do not all reconnect
# to a restarted server at the same moment.
_BACKOFF_INITIAL_MS = 100
_BACKOFF_MAX_MS = 3000
# Ticks arrive every 50 ms. A gap longer than this means that the process
# was paused, so messages received meanwhile may still be queued. Heartbeat
# timeouts are suspended for the same time afterwards.
_PAUSE_THRESHOLD_MS = 500

_LOAD_DECODER = msgspec.msgpack.Decoder(backend.Load)
_EMPTY = backend.Empty()


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call to a server that has not been answered.

    :param ident: key of the request or feed that the call belongs to
    :param attempt: distinguishes calls with the same ``ident``
    """

    method: str
    ident: object
    attempt: int
    sent_ms: int


class LinkListener(abc.ABC):
    """Callbacks for events on links."""

    @abc.abstractmethod
    def on_link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Handle a link that is up and whose identity was verified."""

    @abc.abstractmethod
    def on_link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Handle the loss of a link that was up."""

    @abc.abstractmethod
    def on_load_report(
        self, now_ms: int, ref: ServerRef, load: backend.Load
    ) -> None:
        """Handle a load report."""

    @abc.abstractmethod
    def on_response(
        self,
        now_ms: int,
        ref: ServerRef,
        pending: PendingCall,
        response: rpc.Response,
    ) -> None:
        """Handle the response to a call other than ``load``."""

    @abc.abstractmethod
    def on_notification(
        self, now_ms: int, ref: ServerRef, notification: rpc.Notification
    ) -> None:
        """Handle a notification."""


class Link:
    """State of the link to one server.

    :ivar identity: identity of the server; None unless the link is up
    :ivar connections: flows that the server holds, from its load report
    """

    state: str

    def __init__(self, ref: ServerRef, address: Address) -> None:
        self.ref = ref
        self.address = address
        self.link_id = 0
        self.identity: backend.Identity | None = None
        self.pending: dict[int, PendingCall] = {}
        self.next_msgid = 0
        self.last_rx_ms = 0
        self.heartbeat_sent_ms = 0
        self.connect_started_ms = 0
        self.reconnect_at_ms = 0
        self.failures = 0
        self.down_since_ms = 0
        self.connections = 0

    @property
    def up(self) -> bool:
        """Tell whether the link can carry messages."""
        return self.identity is not None


_STATES = ["down", "connecting", "up"]
_TRANSITIONS = [
    {"trigger": "connect", "source": "down", "dest": "connecting"},
    {"trigger": "establish", "source": "connecting", "dest": "up"},
    {"trigger": "lose", "source": ["connecting", "up"], "dest": "down"},
]


class LinkTable:
    """Opens, monitors and closes the links of a node."""

    def __init__(
        self,
        ctx: context_lib.Context,
        listener: LinkListener,
        rng: random.Random,
    ) -> None:
        self._ctx = ctx
        self._listener = listener
        self._rng = rng
        self._links: dict[ServerRef, Link] = {}
        self._last_id = 0
        self._last_tick_ms: int | None = None
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
        """Return the link to a server, None if there is none."""
        return self._links.get(ref)

    def identity(self, ref: ServerRef) -> backend.Identity | None:
        """Return the identity of a server, None while its link is down."""
        link = self._links.get(ref)
        return link.identity if link is not None else None

    def ensure_open(
        self, now_ms: int, ref: ServerRef, address: Address
    ) -> None:
        """Create a link if needed and keep it open until ``close``.

        A link whose address has changed is opened again.
        """
        link = self._links.get(ref)
        if link is not None and link.address != address:
            self._disconnect(now_ms, link, "address changed", close=True)
            link.address = address
            link.reconnect_at_ms = now_ms
        if link is None:
            link = self._links[ref] = Link(ref, address)
            link.down_since_ms = now_ms
            self._machine.add_model(link)
        if link.state == "down" and link.reconnect_at_ms <= now_ms:
            self._connect(now_ms, link)

    def close(self, now_ms: int, ref: ServerRef) -> None:
        """Close the link to a server and forget it."""
        link = self._links.get(ref)
        if link is not None:
            self._disconnect(now_ms, link, "not needed", close=True)
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
        link.pending[msgid] = PendingCall(method, ident, attempt, now_ms)
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

    def on_link_up(self, now_ms: int, event: events.LinkUp) -> None:
        """Verify the identity of the server and mark the link as up."""
        link = self._current_link(event)
        if link is None or link.state != "connecting":
            return
        identity = event.identity
        if (
            identity.service != link.ref.service
            or identity.server != link.ref.server
        ):
            self._ctx.counters["identity_mismatch"] += 1
            self._disconnect(now_ms, link, "identity mismatch", close=True)
            return
        link.establish()
        link.identity = identity
        link.last_rx_ms = now_ms
        link.heartbeat_sent_ms = now_ms
        link.failures = 0
        self._ctx.report_transition(_subject(link.ref), "connecting", "up", "")
        self._listener.on_link_up(now_ms, link.ref, identity)

    def on_link_down(self, now_ms: int, event: events.LinkDown) -> None:
        """Handle the end of a link or a failed connection attempt."""
        link = self._current_link(event)
        if link is not None and link.state != "down":
            self._disconnect(now_ms, link, event.reason, close=False)

    def on_message(self, now_ms: int, event: events.LinkMessage) -> None:
        """Handle a message from a server."""
        link = self._current_link(event)
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
                self._on_load_response(now_ms, link, message)
            else:
                self._listener.on_response(now_ms, link.ref, pending, message)
        elif isinstance(message, rpc.Notification):
            self._listener.on_notification(now_ms, link.ref, message)
        else:
            self._ctx.counters["link_messages_malformed"] += 1

    def tick(self, now_ms: int) -> None:
        """Send heartbeats, drop half-open links and reconnect."""
        if (
            self._last_tick_ms is not None
            and now_ms - self._last_tick_ms > _PAUSE_THRESHOLD_MS
        ):
            self._grace_until_ms = now_ms + _PAUSE_THRESHOLD_MS
        self._last_tick_ms = now_ms
        for link in list(self._links.values()):
            self._tick_link(now_ms, link)

    def _tick_link(self, now_ms: int, link: Link) -> None:
        if link.identity is not None:
            if (
                now_ms - link.last_rx_ms > HEARTBEAT_TIMEOUT_MS
                and now_ms >= self._grace_until_ms
            ):
                self._ctx.counters["links_half_open"] += 1
                link.reconnect_at_ms = now_ms
                self._disconnect(now_ms, link, "half-open", close=True)
            elif now_ms - link.heartbeat_sent_ms >= HEARTBEAT_INTERVAL_MS:
                link.heartbeat_sent_ms = now_ms
                self.request(now_ms, link.ref, "load", _EMPTY)
        elif (
            link.state == "connecting"
            and now_ms - link.connect_started_ms > CONNECT_TIMEOUT_MS
        ):
            self._disconnect(now_ms, link, "connect timed out", close=True)
        if link.state == "down" and now_ms >= link.reconnect_at_ms:
            self._connect(now_ms, link)

    def _connect(self, now_ms: int, link: Link) -> None:
        self._last_id += 1
        link.link_id = self._last_id
        link.connect_started_ms = now_ms
        link.connect()
        self._ctx.effects.append(
            effects.OpenLink(link.ref, link.link_id, link.address)
        )

    def _disconnect(
        self, now_ms: int, link: Link, reason: str, *, close: bool
    ) -> None:
        """Mark a link as down and schedule the next connection attempt."""
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
            link.reconnect_at_ms = now_ms
            self._ctx.counters["links_lost"] += 1
            self._ctx.report_transition(
                _subject(link.ref), "up", "down", reason
            )
            self._listener.on_link_lost(now_ms, link.ref)
        else:
            link.failures += 1
            limit = min(
                _BACKOFF_MAX_MS,
                _BACKOFF_INITIAL_MS << min(link.failures, 10),
            )
            link.reconnect_at_ms = now_ms + self._rng.randint(
                _BACKOFF_INITIAL_MS // 2, limit
            )

    def _on_load_response(
        self, now_ms: int, link: Link, response: rpc.Response
    ) -> None:
        try:
            load = _LOAD_DECODER.decode(response.result)
        except msgspec.DecodeError:
            self._ctx.counters["link_messages_malformed"] += 1
            return
        link.connections = load.connections
        self._listener.on_load_report(now_ms, link.ref, load)

    def _send(self, link: Link, data: bytes) -> None:
        self._ctx.effects.append(
            effects.SendLink(link.ref, link.link_id, data)
        )

    def _current_link(
        self, event: events.LinkUp | events.LinkDown | events.LinkMessage
    ) -> Link | None:
        """Return the link of an event, None if it has been replaced."""
        link = self._links.get(event.server)
        if link is None or link.link_id != event.link_id:
            return None
        return link


def _subject(ref: ServerRef) -> str:
    return f"link {ref.service}/{ref.server}"
