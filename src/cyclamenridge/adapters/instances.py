"""Format of the platform's list of instances in the store."""

from collections.abc import Iterable
import dataclasses
from typing import Literal

import msgspec

from cyclamenridge import address as address_lib
import cyclamenridge.errors as errors
from cyclamenridge.node import events
from cyclamenridge.ports import store

PREFIX = "/platform/instances/"


class _Entry(msgspec.Struct, frozen=True):
    address: str
    domain: str
    state: Literal["live", "leaving"]
    role: str = "balancer"


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceList:
    """Valid entries of the list.

    :param malformed_count: number of invalid entries, which are skipped
    """

    instances: tuple[events.ListedInstance, ...]
    malformed_count: int


def decode(entries: Iterable[store.KeyValue]) -> InstanceList:
    """Decode the entries of the list; malformed ones are skipped."""
    instances = []
    malformed_count = 0
    for entry in entries:
        try:
            value = msgspec.json.decode(entry.value, type=_Entry)
            address = address_lib.Address.parse(value.address)
        except (msgspec.MsgspecError, ValueError, errors.ConfigError):
            malformed_count += 1
            continue
        instances.append(
            events.ListedInstance(
                entry.key.removeprefix(PREFIX),
                value.role,
                address,
                value.domain,
                value.state,
            )
        )
    return InstanceList(tuple(instances), malformed_count)


def encode(instance: events.ListedInstance) -> bytes:
    """Encode an instance as the value of its entry."""
    return msgspec.json.encode(
        _Entry(
            str(instance.address),
            instance.failure_domain,
            instance.state,
            instance.role,
        )
    )
