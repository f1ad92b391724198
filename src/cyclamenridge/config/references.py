"""Checks that the schema of a configuration cannot express.

They cover references between keys, unique values, addresses and networks.
They read the plain data and skip values of a wrong type, which the schema
reports, so that one run reports all errors of a file.
"""

from collections.abc import Iterator
import ipaddress

from cyclamenridge import address as address_lib
from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import marked_yaml
import cyclamenridge.errors as errors
from cyclamenridge.wire import token

Findings = Iterator[findings_lib.Finding]
Path = marked_yaml.Path

_MAX_FLOOR_SUM_PERCENT = 100.0


def check(content: marked_yaml.MarkedYaml) -> Findings:
    """Return the findings of all checks in this module."""
    for section in ("failure_domains", "services", "kinds", "customers"):
        if content.data.get(section) == {}:
            yield content.make_finding(
                (section,), findings_lib.NOTHING, "at least one entry"
            )
    yield from _check_networks(content)
    yield from _check_servers(content)
    yield from _check_name_hashes(content)
    yield from _check_kinds(content)
    yield from _check_precedence(content)


def _as_mapping(value: object) -> dict[str, object]:
    return value if isinstance(value, dict) else {}


def _as_list(value: object) -> list[object]:
    return value if isinstance(value, list) else []


def _format_names(content: marked_yaml.MarkedYaml, section: str) -> str:
    names = sorted(_as_mapping(content.data.get(section)))
    listing = ", ".join(names[:10])
    return f"{listing}, ..." if len(names) > 10 else listing or "none"


def _check_networks(content: marked_yaml.MarkedYaml) -> Findings:
    domains = _as_mapping(content.data.get("failure_domains"))
    for name, domain in domains.items():
        path: Path = ("failure_domains", name, "networks")
        networks = _as_mapping(domain).get("networks")
        if networks == []:
            yield content.make_finding(
                path, "an empty list", "at least one network"
            )
        for index, network in enumerate(_as_list(networks)):
            if not isinstance(network, str):
                continue
            try:
                ipaddress.IPv4Network(network)
            except ValueError:
                yield content.make_finding(
                    (*path, index),
                    findings_lib.format_value(network),
                    "an IPv4 network without host bits, such as 10.0.0.0/16",
                )


def _check_servers(content: marked_yaml.MarkedYaml) -> Findings:
    domains = _as_mapping(content.data.get("failure_domains"))
    first_uses: dict[address_lib.Address, str] = {}
    for service, value in _as_mapping(content.data.get("services")).items():
        servers = _as_mapping(value).get("servers")
        base: Path = ("services", service, "servers")
        if servers == {}:
            yield content.make_finding(
                base, findings_lib.NOTHING, "at least one server"
            )
        for name, server in _as_mapping(servers).items():
            path = (*base, name)
            domain = _as_mapping(server).get("failure_domain")
            if isinstance(domain, str) and domain not in domains:
                yield content.make_finding(
                    (*path, "failure_domain"),
                    findings_lib.format_value(domain),
                    f"one of {_format_names(content, 'failure_domains')}",
                )
            text = _as_mapping(server).get("address")
            if not isinstance(text, str):
                continue
            try:
                address = address_lib.Address.parse(text)
            except errors.ConfigError:
                yield content.make_finding(
                    (*path, "address"),
                    findings_lib.format_value(text),
                    "an IPv4 address with a port from 1 to 65535",
                )
                continue
            first = first_uses.setdefault(address, f"{service}.{name}")
            if first != f"{service}.{name}":
                yield content.make_finding(
                    (*path, "address"),
                    f"{text} again after {first}",
                    "each address once",
                )


def _check_name_hashes(content: marked_yaml.MarkedYaml) -> Findings:
    """Report names with equal hashes; routing tokens hold only the hash."""
    services = _as_mapping(content.data.get("services"))
    yield from _check_hash_collisions(content, ("services",), services)
    for service, value in services.items():
        path: Path = ("services", service, "servers")
        servers = _as_mapping(_as_mapping(value).get("servers"))
        yield from _check_hash_collisions(content, path, servers)


def _check_hash_collisions(
    content: marked_yaml.MarkedYaml, path: Path, names: dict[str, object]
) -> Findings:
    seen: dict[int, str] = {}
    for name in names:
        first = seen.setdefault(token.name_hash(name), name)
        if first != name:
            yield content.make_finding(
                (*path, name),
                f"a name with the same hash as {first}",
                "names with different hashes",
            )


def _check_kinds(content: marked_yaml.MarkedYaml) -> Findings:
    services = _as_mapping(content.data.get("services"))
    floor_sums: dict[str, float] = {}
    for name, value in _as_mapping(content.data.get("kinds")).items():
        kind = _as_mapping(value)
        service = kind.get("service")
        if not isinstance(service, str):
            continue
        if service not in services:
            yield content.make_finding(
                ("kinds", name, "service"),
                findings_lib.format_value(service),
                f"one of {_format_names(content, 'services')}",
            )
        floor_percent = kind.get("floor_percent", 0.0)
        if isinstance(floor_percent, bool) or not isinstance(
            floor_percent, int | float
        ):
            continue
        previous_sum = floor_sums.get(service, 0.0)
        floor_sums[service] = previous_sum + floor_percent
        if previous_sum <= _MAX_FLOOR_SUM_PERCENT < floor_sums[service]:
            yield content.make_finding(
                ("kinds", name, "floor_percent"),
                f"{floor_percent:g}, in total {floor_sums[service]:g} "
                f"for {service}",
                "at most 100 in total for the kinds of a service",
            )


def _check_precedence(content: marked_yaml.MarkedYaml) -> Findings:
    kinds = _as_mapping(content.data.get("kinds"))
    precedence = content.data.get("precedence")
    if not isinstance(precedence, list):
        return
    seen = set()
    for index, name in enumerate(precedence):
        if not isinstance(name, str):
            continue
        if name not in kinds:
            yield content.make_finding(
                ("precedence", index),
                findings_lib.format_value(name),
                f"one of {_format_names(content, 'kinds')}",
            )
        elif name in seen:
            yield content.make_finding(
                ("precedence", index), f"{name} again", "each kind once"
            )
        seen.add(name)
    for name in kinds:
        if name not in seen:
            yield content.make_finding(
                ("precedence",),
                f"no {marked_yaml.format_path((name,))}",
                "each kind once",
            )
