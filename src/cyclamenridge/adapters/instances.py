"""The platform's list of instances, as kept in the store."""

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
    """What could be read of the list.

    :param refused: entries that are not valid, which are left out
    """

    instances: tuple[events.ListedInstance, ...]
    refused: int


def decode(entries: Iterable[store.KeyValue]) -> InstanceList:
    """Read entries of the list; one bad entry does not hide the others."""
    instances = []
    refused = 0
    for entry in entries:
        try:
            value = msgspec.json.decode(entry.value, type=_Entry)
            address = address_lib.Address.parse(value.address)
        except (msgspec.MsgspecError, ValueError, errors.ConfigError):
            refused += 1
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
    return InstanceList(tuple(instances), refused)


def encode(instance: events.ListedInstance) -> bytes:
    """Return the value of an entry."""
    return msgspec.json.encode(
        _Entry(
            str(instance.address),
            instance.failure_domain,
            instance.state,
            instance.role,
        )
    )
