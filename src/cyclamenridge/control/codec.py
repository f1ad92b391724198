"""Encoding and authentication of messages between balancers."""

import functools
import hashlib
import hmac
import importlib.resources
import ipaddress
import math
from typing import Any

import capnp

from cyclamenridge import address as address_lib
from cyclamenridge.control import messages
from cyclamenridge.control import types
import cyclamenridge.errors as errors
from cyclamenridge.routing import home_sets
from cyclamenridge.routing import pinned_flows
from cyclamenridge.scheduling import types as scheduling

TYPE_BYTE = 1
MAC_BYTES = 16
_HEADER_BYTES = 1 + MAC_BYTES
_MAX_NAME_BYTES = 64
# A packed message may expand to far more than its length on the wire. Valid
# messages stay under this limit.
_TRAVERSAL_LIMIT_WORDS = 4096
_NESTING_LIMIT = 8
_STATES = {state.value: state for state in types.MemberState}


@functools.cache
def _schema() -> Any:
    resource = importlib.resources.files(__package__) / "control.capnp"
    with importlib.resources.as_file(resource) as path:
        return capnp.load(str(path))


class Codec:
    """Signs messages with the first key and verifies them with any."""

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        if not keys:
            raise errors.ControlError("no key for control messages")
        self._keys = keys

    def encode(self, message: messages.Message) -> bytes:
        """Encode and sign a message."""
        root = _schema().Message.new_message()
        root.sender = message.sender
        root.incarnation = message.incarnation
        root.counter = message.counter
        root.leaving = message.leaving
        root.sequence = message.sequence
        root.revision = message.revision
        root.digest = message.digest
        if message.updates:
            _encode_updates(
                root.init("updates", len(message.updates)), message
            )
        _encode_body(root.body, message.body)
        packed = root.to_bytes_packed()
        return bytes((TYPE_BYTE,)) + _mac(self._keys[0], packed) + packed

    def decode(self, data: bytes) -> messages.Message:
        """Verify and decode a datagram.

        :raises ControlError: if the datagram is malformed or not authentic
        """
        if len(data) > messages.MAX_DATAGRAM_BYTES:
            raise errors.ControlError(
                f"message is too long: {len(data)} bytes"
            )
        if len(data) <= _HEADER_BYTES or data[0] != TYPE_BYTE:
            raise errors.ControlError("not a control message")
        mac, packed = data[1:_HEADER_BYTES], data[_HEADER_BYTES:]
        if not any(
            hmac.compare_digest(_mac(key, packed), mac) for key in self._keys
        ):
            raise errors.ControlError("message is not authentic")
        try:
            root = _schema().Message.from_bytes_packed(
                packed,
                traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
                nesting_limit=_NESTING_LIMIT,
            )
            return _decode_message(root)
        except (capnp.KjException, ValueError) as exc:
            raise errors.ControlError("message is malformed") from exc


def _mac(key: bytes, packed: bytes) -> bytes:
    return hashlib.blake2b(packed, key=key, digest_size=MAC_BYTES).digest()


@functools.lru_cache(maxsize=2048)
def _host_to_int(host: str) -> int:
    return int(ipaddress.IPv4Address(host))


@functools.lru_cache(maxsize=2048)
def _host_from_int(number: int) -> str:
    return str(ipaddress.IPv4Address(number))


def _encode_update(item: Any, update: messages.Update) -> None:
    balancer = update.balancer
    item.name = balancer.name
    item.domain = balancer.failure_domain
    item.host = _host_to_int(balancer.peer_address.host)
    item.port = balancer.peer_address.port
    item.incarnation = balancer.incarnation
    item.counter = update.counter
    item.state = int(update.state)


def _encode_updates(items: Any, message: messages.Message) -> None:
    for index, update in enumerate(message.updates):
        _encode_update(items[index], update)


def _encode_body(out: Any, body: messages.Body) -> None:
    match body:
        case messages.Announce():
            out.announce = None
        case messages.Ping():
            ping = out.init("ping")
            ping.nonce = body.nonce
            ping.introduce = body.introduce
        case messages.Ack():
            ack = out.init("ack")
            ack.nonce = body.nonce
            ack.target = body.target
        case messages.PingReq():
            req = out.init("pingReq")
            req.nonce = body.nonce
            req.target = body.target
            req.host = _host_to_int(body.address.host)
            req.port = body.address.port
        case messages.PageRequest():
            out.init("pageRequest").after = body.after
        case messages.Page():
            page = out.init("page")
            items = page.init("members", len(body.members))
            for index, update in enumerate(body.members):
                _encode_update(items[index], update)
            page.next = body.next
        case messages.Fetch():
            fetch = out.init("fetch")
            fetch.wanted = body.wanted
            fetch.base = body.base
            fetch.first = body.first
            fetch.count = body.count
        case messages.Chunk():
            chunk = out.init("chunk")
            chunk.wanted = body.wanted
            chunk.base = body.base
            chunk.transfer = body.transfer
            chunk.index = body.index
            chunk.total = body.total
            chunk.data = body.data
        case messages.Demands():
            _encode_demands(out, body)
        case messages.Shares():
            _encode_shares(out, body)
        case messages.NamesWanted():
            out.namesWanted = None
        case messages.Pinned():
            group = out.init("pinned")
            group.service = body.service
            group.server = body.filter.server
            group.part = body.filter.part
            group.parts = body.filter.parts
            group.data = body.filter.data


def _encode_demands(out: Any, body: messages.Demands) -> None:
    items = out.init("demands", len(body.demands))
    for index, demand in enumerate(body.demands):
        item = items[index]
        item.service = demand.service
        if demand.kinds:
            kinds = item.init("kinds", len(demand.kinds))
            for position, kind in enumerate(demand.kinds):
                kinds[position].name = kind.kind
                kinds[position].slots = kind.slots
        if demand.draining:
            draining = item.init("draining", len(demand.draining))
            for position, server in enumerate(demand.draining):
                draining[position] = server


def _encode_shares(out: Any, body: messages.Shares) -> None:
    items = out.init("shares", len(body.shares))
    for index, share in enumerate(body.shares):
        item = items[index]
        item.service = share.service
        if share.kinds:
            item.kinds = [kind for kind, _ in share.kinds]
            item.slots = [slots for _, slots in share.kinds]
        if share.draining:
            item.draining = list(share.draining)


def _checked_name(text: str) -> str:
    if not text or len(text) > _MAX_NAME_BYTES:
        raise ValueError("name is empty or too long")
    return text


def _decode_address(host: int, port: int) -> address_lib.Address:
    if not port:
        raise ValueError("port is 0")
    return address_lib.Address(_host_from_int(host), port)


def _decode_update(item: Any) -> messages.Update:
    state = _STATES.get(item.state)
    if state is None:
        raise ValueError(f"state {item.state} is unknown")
    return messages.Update(
        balancer=home_sets.Balancer(
            name=_checked_name(item.name),
            failure_domain=_checked_name(item.domain),
            peer_address=_decode_address(item.host, item.port),
            incarnation=item.incarnation,
        ),
        counter=item.counter,
        state=state,
    )


def _decode_message(root: Any) -> messages.Message:
    return messages.Message(
        sender=_checked_name(root.sender),
        incarnation=root.incarnation,
        counter=root.counter,
        leaving=root.leaving,
        sequence=root.sequence,
        revision=root.revision,
        digest=root.digest,
        body=_decode_body(root.body),
        updates=tuple(_decode_update(item) for item in root.updates),
    )


def _decode_body(body: Any) -> messages.Body:
    match str(body.which()):
        case "announce":
            return messages.Announce()
        case "ping":
            return messages.Ping(body.ping.nonce, body.ping.introduce)
        case "ack":
            return messages.Ack(body.ack.nonce, body.ack.target)
        case "pingReq":
            req = body.pingReq
            return messages.PingReq(
                nonce=req.nonce,
                target=_checked_name(req.target),
                address=_decode_address(req.host, req.port),
            )
        case "pageRequest":
            return messages.PageRequest(body.pageRequest.after)
        case "page":
            page = body.page
            return messages.Page(
                members=tuple(_decode_update(item) for item in page.members),
                next=page.next,
            )
        case "fetch":
            return _decode_fetch(body.fetch)
        case "chunk":
            return _decode_chunk(body.chunk)
        case "demands":
            return messages.Demands(
                tuple(_decode_demand(item) for item in body.demands)
            )
        case "shares":
            return messages.Shares(
                tuple(_decode_share(item) for item in body.shares)
            )
        case "namesWanted":
            return messages.NamesWanted()
        case "pinned":
            return _decode_pinned(body.pinned)
        case other:
            raise ValueError(f"message type {other} is unknown")


def _decode_fetch(fetch: Any) -> messages.Fetch:
    if not fetch.wanted or fetch.base >= fetch.wanted:
        raise ValueError("fetched revision is not newer than its base")
    return messages.Fetch(
        wanted=fetch.wanted,
        base=fetch.base,
        first=fetch.first,
        count=fetch.count,
    )


def _decode_chunk(chunk: Any) -> messages.Chunk:
    data = bytes(chunk.data)
    if chunk.index >= chunk.total or len(data) > messages.MAX_CHUNK_BYTES:
        raise ValueError("chunk is out of range")
    return messages.Chunk(
        wanted=chunk.wanted,
        base=chunk.base,
        transfer=chunk.transfer,
        index=chunk.index,
        total=chunk.total,
        data=data,
    )


def _decode_pinned(group: Any) -> messages.Pinned:
    data = bytes(group.data)
    item = pinned_flows.PinnedFilter(
        group.server, group.part, group.parts, data
    )
    if item.is_completion_marker:
        if item.server or item.part:
            raise ValueError("completion message names a server or part")
    else:
        _checked_name(item.server)
        if (
            item.part >= item.parts
            or len(data) > pinned_flows.MAX_FILTER_BYTES
        ):
            raise ValueError("filter is out of range")
        pinned_flows.PinnedSet(item.server, item.parts).add(item)
    return messages.Pinned(_checked_name(group.service), item)


def _checked_slots(slots: float) -> float:
    if not (math.isfinite(slots) and slots >= 0):
        raise ValueError("number of slots is negative or not finite")
    return slots


def _decode_share(item: Any) -> messages.Share:
    return messages.Share(
        service=item.service,
        kinds=tuple(
            (kind, _checked_slots(slots))
            for kind, slots in zip(item.kinds, item.slots, strict=True)
        ),
        draining=tuple(_checked_name(server) for server in item.draining),
    )


def _decode_demand(item: Any) -> scheduling.ServiceDemand:
    kinds = []
    for kind in item.kinds:
        kinds.append(
            scheduling.KindDemand(
                _checked_name(kind.name), _checked_slots(kind.slots)
            )
        )
    return scheduling.ServiceDemand(
        service=_checked_name(item.service),
        kinds=tuple(kinds),
        draining=tuple(_checked_name(server) for server in item.draining),
    )
