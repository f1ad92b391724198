"""Checks that span several keys of a configuration.

They read the plain data and pass over values of a wrong type, which the
schema reports, so that one run tells all errors of a file.
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

_MAX_FLOOR_PERCENT = 100.0


def check(content: marked_yaml.MarkedYaml) -> Findings:
    """Return the errors between keys."""
    for part in ("failure_domains", "services", "kinds", "customers"):
        if content.data.get(part) == {}:
            yield content.finding(
                (part,), findings_lib.NOTHING, "at least one entry"
            )
    yield from _networks(content)
    yield from _servers(content)
    yield from _hashes(content)
    yield from _kinds(content)
    yield from _precedence(content)


def _mapping(value: object) -> dict[str, object]:
    return value if isinstance(value, dict) else {}


def _list(value: object) -> list[object]:
    return value if isinstance(value, list) else []


def _names(content: marked_yaml.MarkedYaml, part: str) -> str:
    names = sorted(_mapping(content.data.get(part)))
    shown = ", ".join(names[:10])
    return f"{shown}, ..." if len(names) > 10 else shown or "none"


def _networks(content: marked_yaml.MarkedYaml) -> Findings:
    domains = _mapping(content.data.get("failure_domains"))
    for name, domain in domains.items():
        path: Path = ("failure_domains", name, "networks")
        networks = _mapping(domain).get("networks")
        if networks == []:
            yield content.finding(
                path, "an empty list", "at least one network"
            )
        for index, network in enumerate(_list(networks)):
            if not isinstance(network, str):
                continue
            try:
                ipaddress.IPv4Network(network)
            except ValueError:
                yield content.finding(
                    (*path, index),
                    findings_lib.format_value(network),
                    "an IPv4 network without host bits, as 10.0.0.0/16",
                )


def _servers(content: marked_yaml.MarkedYaml) -> Findings:
    domains = _mapping(content.data.get("failure_domains"))
    first_uses: dict[address_lib.Address, str] = {}
    for service, value in _mapping(content.data.get("services")).items():
        servers = _mapping(value).get("servers")
        base: Path = ("services", service, "servers")
        if servers == {}:
            yield content.finding(
                base, findings_lib.NOTHING, "at least one server"
            )
        for name, server in _mapping(servers).items():
            path = (*base, name)
            domain = _mapping(server).get("failure_domain")
            if isinstance(domain, str) and domain not in domains:
                yield content.finding(
                    (*path, "failure_domain"),
                    findings_lib.format_value(domain),
                    f"one of {_names(content, 'failure_domains')}",
                )
            text = _mapping(server).get("address")
            if not isinstance(text, str):
                continue
            try:
                address = address_lib.Address.parse(text)
            except errors.ConfigError:
                yield content.finding(
                    (*path, "address"),
                    findings_lib.format_value(text),
                    "an IPv4 address with a port from 1 to 65535",
                )
                continue
            first = first_uses.setdefault(address, f"{service}.{name}")
            if first != f"{service}.{name}":
                yield content.finding(
                    (*path, "address"),
                    f"{text} again after {first}",
                    "each address once",
                )


def _hashes(content: marked_yaml.MarkedYaml) -> Findings:
    """Refuse names that routing tokens could not tell apart."""
    services = _mapping(content.data.get("services"))
    yield from _colliding(content, ("services",), services)
    for service, value in services.items():
        path: Path = ("services", service, "servers")
        servers = _mapping(_mapping(value).get("servers"))
        yield from _colliding(content, path, servers)


def _colliding(
    content: marked_yaml.MarkedYaml, path: Path, names: dict[str, object]
) -> Findings:
    seen: dict[int, str] = {}
    for name in names:
        first = seen.setdefault(token.name_hash(name), name)
        if first != name:
            yield content.finding(
                (*path, name),
                f"a name with the same hash as {first}",
                "names with different hashes",
            )


def _kinds(content: marked_yaml.MarkedYaml) -> Findings:
    services = _mapping(content.data.get("services"))
    floors: dict[str, float] = {}
    for name, value in _mapping(content.data.get("kinds")).items():
        kind = _mapping(value)
        service = kind.get("service")
        if not isinstance(service, str):
            continue
        if service not in services:
            yield content.finding(
                ("kinds", name, "service"),
                findings_lib.format_value(service),
                f"one of {_names(content, 'services')}",
            )
        floor = kind.get("floor_percent", 0.0)
        if isinstance(floor, bool) or not isinstance(floor, int | float):
            continue
        before = floors.get(service, 0.0)
        floors[service] = before + floor
        if before <= _MAX_FLOOR_PERCENT < floors[service]:
            yield content.finding(
                ("kinds", name, "floor_percent"),
                f"{floor:g}, in sum {floors[service]:g} for {service}",
                "at most 100 in sum for the kinds of a service",
            )


def _precedence(content: marked_yaml.MarkedYaml) -> Findings:
    kinds = _mapping(content.data.get("kinds"))
    listed = content.data.get("precedence")
    if not isinstance(listed, list):
        return
    seen = set()
    for index, name in enumerate(listed):
        if not isinstance(name, str):
            continue
        if name not in kinds:
            yield content.finding(
                ("precedence", index),
                findings_lib.format_value(name),
                f"one of {_names(content, 'kinds')}",
            )
        elif name in seen:
            yield content.finding(
                ("precedence", index), f"{name} again", "each kind once"
            )
        seen.add(name)
    for name in kinds:
        if name not in seen:
            yield content.finding(
                ("precedence",),
                f"no {marked_yaml.dotted((name,))}",
                "each kind once",
            )
