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


@dataclasses.dataclass(frozen=True, slots=True)
class HomeRule:
    """What the home set of a service depends on beside the balancers."""

    size: int
    server_domains: frozenset[str]


class HomeSets:
    """Home sets of all services.

    A change of balancers touches only the services whose home set holds
    a balancer that left, or may take one that joined. At 540 balancers
    and 1,300 services, computing all of them takes about a second.
    """

    def __init__(self) -> None:
        self._rules: dict[str, HomeRule] = {}
        self._balancers: dict[str, Balancer] = {}
        self._homes: dict[str, tuple[Balancer, ...]] = {}

    def get(self, service: str) -> tuple[Balancer, ...]:
        """Return the home set of a service, highest weight first."""
        return self._homes.get(service, ())

    def update(
        self, rules: dict[str, HomeRule], balancers: dict[str, Balancer]
    ) -> frozenset[str]:
        """Take over services and balancers; return what has changed.

        :returns: services whose home set differs or that are new
        """
        joined = [
            balancer
            for name, balancer in balancers.items()
            if self._balancers.get(name) != balancer
        ]
        left = {
            name
            for name, balancer in self._balancers.items()
            if balancers.get(name) != balancer
        }
        present = tuple(balancers.values())
        homes: dict[str, tuple[Balancer, ...]] = {}
        changed = set()
        for service, rule in rules.items():
            known = self._homes.get(service)
            if (
                known is None
                or self._rules.get(service) != rule
                or any(member.name in left for member in known)
                or any(_may_enter(service, rule, known, b) for b in joined)
            ):
                homes[service] = home_set(
                    service, rule.size, present, rule.server_domains
                )
                if homes[service] != known:
                    changed.add(service)
            else:
                homes[service] = known
        self._rules = dict(rules)
        self._balancers = dict(balancers)
        self._homes = homes
        return frozenset(changed)


def _may_enter(
    service: str,
    rule: HomeRule,
    members: tuple[Balancer, ...],
    joined: Balancer,
) -> bool:
    """Tell whether a new balancer can change a home set.

    A balancer below the lowest weight of a full home set can enter it
    only as the first one of a failure domain.
    """
    if len(members) < rule.size:
        return True
    if joined.failure_domain in rule.server_domains and all(
        member.failure_domain != joined.failure_domain for member in members
    ):
        return True
    key = service.encode()
    lowest = rendezvous.weight(key, members[-1].name)
    return rendezvous.weight(key, joined.name) >= lowest


def owner(key: bytes, members: tuple[Balancer, ...]) -> Balancer:
    """Return the member that owns a session or flow."""
    name = rendezvous.choose(key, [member.name for member in members])
    return next(member for member in members if member.name == name)
