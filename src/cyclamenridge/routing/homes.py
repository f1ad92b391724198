"""Home sets: the balancers that own the sessions of a service."""

import dataclasses

from cyclamenridge import address as address_lib
from cyclamenridge.routing import rendezvous


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Balancer:
    """A balancer as the routing decisions see it.

    :param name: name of the instance
    :param peer_address: where it takes datagrams of other balancers
    """

    name: str
    failure_domain: str
    peer_address: address_lib.Address
    incarnation: int


def home_set(
    service: str,
    size: int,
    balancers: tuple[Balancer, ...],
    server_domains: frozenset[str],
) -> tuple[Balancer, ...]:
    """Return the home set of a service, highest weight first.

    One balancer of each failure domain that has servers comes before a
    second one of any domain, so that a domain that is cut off keeps a
    member as long as ``size`` allows.
    """
    by_name = {balancer.name: balancer for balancer in balancers}
    order = rendezvous.ranked(service.encode(), by_name)
    seen_domains: set[str] = set()
    first: list[str] = []
    rest: list[str] = []
    for name in order:
        domain = by_name[name].failure_domain
        if domain in server_domains and domain not in seen_domains:
            seen_domains.add(domain)
            first.append(name)
        else:
            rest.append(name)
    chosen = set((first + rest)[:size])
    return tuple(by_name[name] for name in order if name in chosen)


def owner(key: bytes, members: tuple[Balancer, ...]) -> Balancer:
    """Return the member that owns a session or flow."""
    name = rendezvous.choose(key, [member.name for member in members])
    return next(member for member in members if member.name == name)
