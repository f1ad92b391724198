"""Settings of a balancer process on the platform."""

import msgspec

from cyclamenridge import address as address_lib


class StoreSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's key-value service."""

    address: address_lib.Address


class FlowSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What a process needs to know of its machine and of the platform.

    :param packets: address that packets of clients arrive at
    :param ready: address that is asked whether the process takes packets
    :param seeds: peers to ask first; empty when none are told
    :param peer_ports: first and last port for traffic between balancers
    :param stop_ms: time between SIGTERM and SIGKILL
    :param metrics_port: port that metrics and the state dump are served on
    """

    name: str
    failure_domain: str
    ip: str
    packets: address_lib.Address
    ready: address_lib.Address
    seeds: tuple[address_lib.Address, ...]
    peer_ports: tuple[int, int]
    store: StoreSettings
    stop_ms: int
    metrics_port: int
