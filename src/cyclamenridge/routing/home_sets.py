"""Home sets: the balancers that own the sessions and flows of a service.

The home set of a service has a configured size and is chosen by rendezvous
hashing. Each session or flow is owned by one of its members.
"""

import dataclasses

from cyclamenridge import address as address_lib
from cyclamenridge.routing import rendezvous


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Balancer:
    """A balancer that may be a member of home sets.

    :param name: name of the instance
    :param peer_address: address for datagrams of other balancers
    :param incarnation: differs between processes of the same name
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
    by_weight = rendezvous.ranked(service.encode(), by_name)
    seen_domains: set[str] = set()
    domain_firsts: list[str] = []
    others: list[str] = []
    for name in by_weight:
        domain = by_name[name].failure_domain
        if domain in server_domains and domain not in seen_domains:
            seen_domains.add(domain)
            domain_firsts.append(name)
        else:
            others.append(name)
    chosen = set((domain_firsts + others)[:size])
    return tuple(by_name[name] for name in by_weight if name in chosen)


@dataclasses.dataclass(frozen=True, slots=True)
class HomeSetParameters:
    """Parameters of the home set of a service.

    :param size: number of members
    :param server_domains: failure domains that have servers of the service
    """

    size: int
    server_domains: frozenset[str]


class HomeSets:
    """Home sets of all services.

    After a change of balancers, a home set is computed again only if it
    holds a balancer that left or may take one that joined. At 540 balancers
    and 1,300 services, computing all of them takes about a second.
    """

    def __init__(self) -> None:
        self._parameters: dict[str, HomeSetParameters] = {}
        self._balancers: dict[str, Balancer] = {}
        self._homes: dict[str, tuple[Balancer, ...]] = {}

    def get(self, service: str) -> tuple[Balancer, ...]:
        """Return the home set of a service, highest weight first."""
        return self._homes.get(service, ())

    def update(
        self,
        parameters: dict[str, HomeSetParameters],
        balancers: dict[str, Balancer],
    ) -> frozenset[str]:
        """Set the services and balancers.

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
        for service, params in parameters.items():
            current = self._homes.get(service)
            if (
                current is None
                or self._parameters.get(service) != params
                or any(member.name in left for member in current)
                or any(_may_join(service, params, current, b) for b in joined)
            ):
                homes[service] = home_set(
                    service, params.size, present, params.server_domains
                )
                if homes[service] != current:
                    changed.add(service)
            else:
                homes[service] = current
        self._parameters = dict(parameters)
        self._balancers = dict(balancers)
        self._homes = homes
        return frozenset(changed)


def _may_join(
    service: str,
    params: HomeSetParameters,
    members: tuple[Balancer, ...],
    joined: Balancer,
) -> bool:
    """Whether a new balancer may change a home set.

    A balancer below the lowest weight of a full home set can join it only
    as the first one of a failure domain.
    """
    if len(members) < params.size:
        return True
    if joined.failure_domain in params.server_domains and all(
        member.failure_domain != joined.failure_domain for member in members
    ):
        return True
    key = service.encode()
    lowest_weight = rendezvous.weight(key, members[-1].name)
    return rendezvous.weight(key, joined.name) >= lowest_weight


def owner(key: bytes, members: tuple[Balancer, ...]) -> Balancer:
    """Return the member that owns a session or flow."""
    name = rendezvous.choose(key, [member.name for member in members])
    return next(member for member in members if member.name == name)
