"""Checks of a configuration of the platform before it is written.

The decoder of the balancer decides what is refused. To report every refused
value and not just the first one, each value is decoded again in a minimal
configuration that is otherwise valid.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import ipaddress
import json
import re
from typing import Any

from cyclamenridge.config import diff
from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import marked_yaml
import cyclamenridge.errors as errors
from cyclamenridge.flow import routes as routes_lib
from cyclamenridge.platform import records

Path = marked_yaml.Path
# Path of a value, what was found there, and what is allowed.
Problems = Iterator[tuple[Path, str, str]]

_CONFIG = json.loads(
    '{"version": 1, "routes": [], "services": [],'
    ' "limits": {"idle_timeout_ms": 1}}'
)
_ROUTE = json.loads(
    '{"name": "a", "host": "198.18.0.1", "prefix": "/1/", "type": "safe",'
    ' "timeout_ms": 1, "target_latency_ms": 1, "service": "a"}'
)
_SERVICE = {"name": "a"}

_REQUEST_TYPES = ("safe", "unsafe", "upload", "download")
# What the decoder accepts; an integer for all other keys.
_ALLOWED = {
    "routes": "a list",
    "services": "a list",
    "limits": "a mapping",
    "name": "a string",
    "host": "an IPv4 address, such as 198.18.0.1",
    "prefix": "a port between slashes, such as /8443/",
    "type": f"one of {', '.join(_REQUEST_TYPES)}",
    "service": "the name of a service",
    "weighted_targets": "a list of mappings with service and weight",
    "warmup_s": "a number of seconds",
    "warmup_per_s": "a number of requests a second",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """Content of a file with a configuration of the platform.

    :param table: what balancers decode, None if they refuse it
    """

    content: marked_yaml.MarkedYaml
    table: routes_lib.RouteTable | None

    @property
    def data(self) -> dict[str, Any]:
        """Return the mapping in the file."""
        return self.content.data

    def make_findings(
        self, problems: Problems
    ) -> Iterator[findings_lib.Finding]:
        """Return findings, with indexes of lists in brackets."""
        for path, found, allowed in problems:
            finding = self.content.make_finding(path, found, allowed)
            key = re.sub(r"\.(\d+)", r"[\1]", finding.key)
            yield dataclasses.replace(finding, key=key)


def read(text: str, *, source: str) -> Document:
    """Read the JSON text of a configuration.

    :raises InvalidConfigError: if it is not a JSON object
    """
    try:
        data = json.loads(text)
        if not isinstance(data, dict):
            raise ValueError("no object")
    except (ValueError, RecursionError) as exc:
        line = getattr(exc, "lineno", 1)
        found = f"a JSON error, {getattr(exc, 'msg', exc)}"
        raise findings_lib.InvalidConfigError(
            (findings_lib.Finding(source, line, "", found, "a JSON object"),)
        ) from exc
    try:
        # JSON is YAML, apart from tabs between values and some escapes.
        content = marked_yaml.load(text.replace("\t", " "), source=source)
    except findings_lib.InvalidConfigError:
        # All findings are reported at line 1.
        content = marked_yaml.MarkedYaml(source, {}, {}, (), True, None)
    table = None
    # `find_refusals` tells why a configuration has no table.
    with contextlib.suppress(errors.ConfigError):
        table = _decode(text)
    return Document(dataclasses.replace(content, data=data), table)


def find_refusals(document: Document) -> tuple[findings_lib.Finding, ...]:
    """Return all values that balancers refuse."""
    if document.table is not None:
        return ()
    problems = [*_find_refused_values(document.data)]
    if not problems:
        error = _find_error(document.data) or "text that cannot be decoded"
        problems.append(((), error, "what balancers can decode"))
    return tuple(document.make_findings(iter(problems)))


def find_errors(
    document: Document, in_force: Document | None = None
) -> tuple[findings_lib.Finding, ...]:
    """Return what is refused or ambiguous, or would be ignored as a whole.

    :param in_force: valid configuration that balancers have
    """
    findings = [
        *find_refusals(document),
        *(
            finding
            for finding in document.content.findings
            if finding.allowed == marked_yaml.EACH_KEY_ONCE
        ),
        *document.make_findings(_check_names(document.data)),
    ]
    if document.table and in_force:
        found, version = document.table.version, in_force.table.version
        if found <= version:
            allowed = f"above {version}, which balancers already have"
            problem = (("version",), str(found), allowed)
            findings += document.make_findings(iter([problem]))
    return tuple(findings)


def find_warnings(document: Document) -> tuple[findings_lib.Finding, ...]:
    """Return the entries of a valid document that have no or odd effects."""
    findings = [
        *document.make_findings(_check_routes(document.data)),
        *document.make_findings(_check_services(document)),
    ]
    return tuple(sorted(findings, key=lambda item: (item.line, item.key)))


def compare(old: Document, new: Document) -> tuple[diff.Change, ...]:
    """Return the differences; routes and services are compared by name."""
    return diff.compare_data(_by_names(old.data), _by_names(new.data))


def find_removed_addresses(old: Document, new: Document) -> tuple[str, ...]:
    """Return the addresses whose open flows end since no route has them.

    A route that only gets another name keeps its flows.
    """
    return tuple(
        f"{ipaddress.IPv4Address(host)}:{port}"
        for host, port in old.table.routes
        if (host, port) not in new.table.routes
    )


def _decode(text: str) -> routes_lib.RouteTable:
    return records.PlatformRecordDecoder().decode_config(text.encode())


def _find_error(data: dict[str, Any]) -> str | None:
    """Return why the decoder refuses a configuration, None if it does not."""
    try:
        _decode(json.dumps(data))
    except errors.ConfigError as exc:
        return str(exc).removeprefix("invalid configuration: ")
    return None


def _find_refused_values(data: dict[str, Any]) -> Problems:
    # The parts of lists and mappings are decoded one by one below.
    config = {
        key: _CONFIG[key] if type(value) is type(_CONFIG.get(key)) else value
        for key, value in data.items()
        if key in _CONFIG
    }
    yield from _probe((), config, _CONFIG, lambda part: part)
    if isinstance(data.get("limits"), dict):
        yield from _probe(
            ("limits",),
            data["limits"],
            _CONFIG["limits"],
            lambda part: _CONFIG | {"limits": part},
        )
    for section, template in (("routes", _ROUTE), ("services", _SERVICE)):
        for index, entry in _entries(data.get(section)):
            yield from _probe(
                (section, index),
                entry,
                template,
                lambda part, section=section: _CONFIG | {section: [part]},
            )


def _probe(
    path: Path,
    part: object,
    template: dict[str, Any],
    make_config: Callable[[object], dict[str, Any]],
) -> Problems:
    """Return each value of a mapping that the decoder refuses.

    :param template: a mapping that is accepted in its place
    :param make_config: returns a configuration with only this mapping
    """
    if _find_error(make_config(part)) is None:
        return
    if not isinstance(part, dict):
        yield path, findings_lib.format_value(part), "a mapping"
        return
    has_problem = False
    for key in dict.fromkeys((*template, *part)):
        value = part.get(key)
        # A route needs no service if it has other targets.
        if key == "service" and value is None:
            continue
        candidate = template | {key: value}
        if key not in part:
            del candidate[key]
        error = _find_error(make_config(candidate))
        if error is None:
            continue
        has_problem = True
        found = findings_lib.format_value(value)
        if isinstance(value, list):
            found = error.replace("$.routes[0].", "")
        yield (*path, key), found, _ALLOWED.get(key, "an integer")
    if not has_problem:
        yield path, "no target", "service, or a weight above 0"


def _entries(value: object) -> Iterator[tuple[int, Any]]:
    return enumerate(value if isinstance(value, list) else ())


def _mappings(value: object) -> Iterator[tuple[int, dict[str, Any]]]:
    """Return the mappings of a list with their indexes."""
    return (item for item in _entries(value) if isinstance(item[1], dict))


def _check_names(data: dict[str, Any]) -> Problems:
    names: dict[str, dict[str, int]] = {"routes": {}, "services": {}}
    for section, first_uses in names.items():
        for index, entry in _mappings(data.get(section)):
            name = entry.get("name")
            if not isinstance(name, str):
                continue
            first = first_uses.setdefault(name, index)
            if first != index:
                found = f"{name!r} again after {section}[{first}]"
                yield (section, index, "name"), found, "each name once"
    for index, route in _mappings(data.get("routes")):
        path = ("routes", index)
        targets = [((*path, "service"), route)]
        for number, target in _mappings(route.get("weighted_targets")):
            target_path = (*path, "weighted_targets", number, "service")
            targets.append((target_path, target))
        for target_path, target in targets:
            name = target.get("service")
            if isinstance(name, str) and name not in names["services"]:
                yield target_path, repr(name), "the name of a service"


def _check_routes(data: dict[str, Any]) -> Problems:
    routes = data["routes"]
    addresses = [(r["host"], int(r["prefix"].strip("/"))) for r in routes]
    # As in the decoder, the last route of an address is in force.
    in_force = {address: index for index, address in enumerate(addresses)}
    for index, route in enumerate(routes):
        path = ("routes", index)
        host, port = addresses[index]
        last = in_force[host, port]
        if last != index:
            found = f"{host}:{port}, for which routes[{last}] is in force"
            yield path, found, "each host and port once"
        if not 0 < port < 65536:
            found = f"port {port}, which never matches"
            yield (*path, "prefix"), found, "1 to 65535"
        if route["type"] not in _REQUEST_TYPES:
            found = f"{route['type']!r}, which is treated as unsafe"
            yield (*path, "type"), found, _ALLOWED["type"]
        aim_ms, budget_ms = route["target_latency_ms"], route["timeout_ms"]
        if aim_ms > budget_ms:
            allowed = f"at most timeout_ms, {budget_ms}"
            yield (*path, "target_latency_ms"), str(aim_ms), allowed
        yield from _check_targets(path, route)
    idle_ms = data["limits"]["idle_timeout_ms"]
    budgets = [route["timeout_ms"] for route in routes]
    longest = max(budgets, default=idle_ms)
    if idle_ms < longest:
        first = budgets.index(longest)
        allowed = f"at least timeout_ms of routes[{first}], {longest}"
        yield ("limits", "idle_timeout_ms"), str(idle_ms), allowed


def _check_targets(path: Path, route: dict[str, Any]) -> Problems:
    targets, service = route.get("weighted_targets"), route.get("service")
    if not targets:
        return
    targets_path = (*path, "weighted_targets")
    if all(target["weight"] <= 0 for target in targets):
        found = f"only weights of 0; all flows go to {service!r}"
        yield targets_path, found, "a weight above 0"
    elif service is not None:
        found = f"{service!r}, which weighted_targets replace"
        allowed = "either service or weighted_targets"
        yield (*path, "service"), found, allowed
    for index, target in enumerate(targets):
        if target["weight"] <= 0:
            found = f"{target['weight']}, the target is never used"
            yield (*targets_path, index, "weight"), found, "above 0"


def _check_services(document: Document) -> Problems:
    routes = document.table.routes.values()
    targeted = {target.service for r in routes for target in r.targets}
    for index, service in enumerate(document.data["services"]):
        path = ("services", index)
        if service["name"] not in targeted:
            found = f"{service['name']!r}, which no route in force targets"
            yield (*path, "name"), found, "the target of a route"
        duration, rate = service.get("warmup_s"), service.get("warmup_per_s")
        # A rate of 0 states that there is no limit.
        if (duration and rate is None) or (rate and not duration):
            key = "warmup_s" if rate else "warmup_per_s"
            found = findings_lib.format_value(service.get(key))
            yield (*path, key), found, "both warmup_s and warmup_per_s"


def _by_names(data: dict[str, Any]) -> dict[str, Any]:
    """Return decoded data with mappings by name in place of lists."""
    data = dict(data)
    for section in ("routes", "services"):
        entries: dict[str, Any] = {}
        for index, entry in enumerate(data[section]):
            name = entry["name"]
            # The configuration in force may have a name twice.
            entries[f"{name}[{index}]" if name in entries else name] = entry
        data[section] = entries
    return data
