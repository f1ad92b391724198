"""Decoding of the records that operator and backend servers store."""

from collections.abc import Callable
import ipaddress
import re

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.flow import directory
from cyclamenridge.flow import fields
from cyclamenridge.flow import routes
from cyclamenridge.ports import records

CONFIG_KEY = "op/config"
SERVER_PREFIX = "servers/"
# The rest of the key names a failure domain. The value does not matter.
EVACUATION_PREFIX = "op/evacuate/"

# Types of requests; the value is whether they are idempotent.
_REQUEST_TYPES = {
    "safe": True,
    "download": True,
    "unsafe": False,
    "upload": False,
}

_NON_HEX = re.compile(r"[^0-9a-fA-F]")
_IDENT_LIMIT = 2**64


class _Target(msgspec.Struct):
    service: str
    weight: fields.Amount


class _Route(msgspec.Struct):
    name: str
    # Virtual IPv4 address that clients open flows to.
    host: str
    # Port number between slashes.
    prefix: str
    # One of _REQUEST_TYPES.
    type: str
    timeout_ms: fields.Duration
    target_latency_ms: fields.Duration
    # 0 is the highest priority.
    priority: fields.Number = 0
    service: str | None = None
    weighted_targets: list[_Target] | None = None


class _Service(msgspec.Struct):
    name: str
    # How long a server stays cold after its start.
    warmup_s: fields.Seconds | None = None
    # Requests a second that a cold server can handle; 0 means no limit.
    warmup_per_s: fields.Amount | None = None


class _Limits(msgspec.Struct):
    idle_timeout_ms: fields.Duration


class _Config(msgspec.Struct):
    version: fields.Version
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits


class _Server(msgspec.Struct):
    service: fields.Name
    address: str
    zone: fields.Name
    slots: fields.Count
    state: str
    # Remaining warm-up time when the entry was written.
    warmup_left_ms: fields.Amount
    # Start of the incarnation, Unix time in milliseconds.
    born: fields.Timestamp = 0


_config_decoder = msgspec.json.Decoder(_Config)
_server_decoder = msgspec.json.Decoder(_Server)


class PlatformRecordDecoder(records.RecordDecoder):
    """Keys and JSON values in the platform's format."""

    def __init__(
        self, *, log_event: Callable[..., None] | None = None
    ) -> None:
        """Create a decoder.

        :param log_event: called with the name and the fields of an event
        """
        self._log_event = log_event
        self._logged_types: set[str] = set()

    def is_config(self, key: str) -> bool:
        """Return whether the key holds the configuration."""
        return key == CONFIG_KEY

    def is_server(self, key: str) -> bool:
        """Return whether the key holds a backend server."""
        return key.startswith(SERVER_PREFIX)

    def server_name(self, key: str) -> str:
        """Return the name of the server that a key belongs to."""
        return key.removeprefix(SERVER_PREFIX)

    def is_evacuation(self, key: str) -> bool:
        """Return whether the key orders to evacuate a failure domain."""
        return key.startswith(EVACUATION_PREFIX)

    def evacuated_domain(self, key: str) -> str:
        """Return the failure domain that an order is for."""
        return key.removeprefix(EVACUATION_PREFIX)

    def decode_config(
        self, value: bytes, *, epoch: int = 0
    ) -> routes.RouteTable:
        """Decode a configuration.

        :raises ConfigError: when any part of it is invalid
        """
        try:
            cfg = _config_decoder.decode(value)
            table = {}
            for route in cfg.routes:
                host = int(ipaddress.IPv4Address(route.host))
                port = _decode_port(route.prefix)
                table[host, port] = routes.Route(
                    name=route.name,
                    host=host,
                    port=port,
                    targets=_decode_targets(route),
                    idempotent=self._is_idempotent(route.type),
                    deadline_ms=route.timeout_ms,
                    aim_ms=route.target_latency_ms,
                    rank=route.priority,
                )
            warmups = {
                service.name: _decode_warmup(service)
                for service in cfg.services
                if service.warmup_s or service.warmup_per_s
            }
        except fields.DECODING_ERRORS as exc:
            raise errors.ConfigError(f"invalid configuration: {exc}") from exc
        return routes.RouteTable(
            version=cfg.version,
            routes=table,
            services=frozenset(service.name for service in cfg.services),
            idle_ms=cfg.limits.idle_timeout_ms,
            epoch=epoch,
            warmups=warmups,
        )

    def _is_idempotent(self, request_type: str) -> bool:
        """Return whether requests of a type may run more than once."""
        if (
            request_type not in _REQUEST_TYPES
            and request_type not in self._logged_types
        ):
            self._logged_types.add(request_type)
            if self._log_event is not None:
                self._log_event("request_type_unknown", type=request_type)
        return _REQUEST_TYPES.get(request_type, False)

    def decode_server(
        self, key: str, value: bytes, revision: int, *, epoch: int = 0
    ) -> directory.ServerEntry:
        """Decode the entry of a backend server.

        :raises StoreError: when the key or the value is invalid
        """
        name = self.server_name(key)
        digits = _NON_HEX.sub("", name)
        try:
            server = _server_decoder.decode(value)
            ident = int(digits, 16)
            address = _decode_address(server.address)
            state = directory.ServerState(server.state)
        except (*fields.DECODING_ERRORS, errors.ConfigError) as exc:
            raise errors.StoreError(f"invalid entry {key!r}: {exc}") from exc
        if not 0 < ident < _IDENT_LIMIT:
            raise errors.StoreError(f"invalid entry {key!r}: id out of range")
        return directory.ServerEntry(
            name=name,
            ident=ident,
            service=server.service,
            address=address,
            failure_domain=server.zone,
            slots=server.slots,
            state=state,
            warmup_ms=max(0, round(server.warmup_left_ms)),
            born_ms=server.born,
            revision=revision,
            epoch=epoch,
        )


def _decode_port(prefix: str) -> int:
    """Return the port of a route; no packet has one over 65535."""
    return msgspec.convert(int(prefix.strip("/")), fields.Number, strict=True)


def _decode_address(text: str) -> address_lib.Address:
    """Return the address of a single machine."""
    address = address_lib.Address.parse(text)
    host = ipaddress.IPv4Address(address.host)
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        raise errors.ConfigError(f"{text!r} is no address of a machine")
    return address


def _decode_warmup(service: _Service) -> routes.Warmup:
    return routes.Warmup(
        duration_ms=max(0, round((service.warmup_s or 0) * 1000)),
        flows_per_s=max(0, service.warmup_per_s or 0),
    )


def _decode_targets(route: _Route) -> tuple[routes.Target, ...]:
    if route.weighted_targets:
        targets = tuple(
            routes.Target(target.service, target.weight)
            for target in route.weighted_targets
            if target.weight > 0
        )
        if targets:
            return targets
    if route.service is None:
        raise ValueError(f"route {route.name!r} has no target service")
    return (routes.Target(route.service, 1),)
