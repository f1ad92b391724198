"""Loading of the settings file that the platform writes for each process."""

from typing import Any

import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.flow import settings

# Has to match deploy/system.toml.
DEFAULT_METRICS_PORT = 9464


def load(path: str) -> settings.FlowSettings:
    """Load and validate the settings; unknown fields are ignored.

    :raises ConfigError: with all findings, one per line
    """
    table = _read_table(path)
    # The template of deploy/ puts the platform's fields into a table of their
    # own, beside the settings of this software.
    reader = _FieldReader(table.get("platform_fields", table))
    metrics_port = table.get("metrics_port", DEFAULT_METRICS_PORT)
    if type(metrics_port) is not int or not 0 < metrics_port < 65536:
        reader.findings.append(
            f"metrics_port: expected a port, found {metrics_port!r}"
        )
    loaded = settings.FlowSettings(
        name=reader.string("node_name"),
        failure_domain=reader.string("zone"),
        ip=reader.string("ip"),
        packets=reader.address("listen_addrs.datagram_addr"),
        ready=reader.address("listen_addrs.ready"),
        seeds=reader.addresses("seed_nodes"),
        peer_ports=reader.ports("internal_ports"),
        store=settings.StoreSettings(
            address=reader.address("platform.address")
        ),
        stop_ms=reader.milliseconds("bounds.grace_s", 6, unit_ms=1000),
        change_ms=min(
            reader.milliseconds("bounds.config_apply_ms", 3000),
            reader.milliseconds("bounds.drain_ms", 3000),
        ),
        evacuation_ms=reader.milliseconds("bounds.evacuation_ms", 5000),
        contact_ms=reader.milliseconds("bounds.contact_ms", 4000),
        longest_flow_ms=reader.milliseconds(
            "bounds.max_flow_s", 60, unit_ms=1000
        ),
        report_interval_ms=reader.milliseconds("heartbeat_ms", 1200),
        warmup_overage=reader.number("bounds.warmup_overage", 1.5),
        warmup_slack=reader.number("bounds.warmup_slack", 5),
        metrics_port=metrics_port,
    )
    reader.require("discovery", "platform")
    reader.require("forwarding_mode", "echo")
    reader.require("platform.forwarding_mode", "kv")
    if reader.findings:
        raise errors.ConfigError(
            "\n".join(f"{path}: {finding}" for finding in reader.findings)
        )
    return loaded


def _read_table(path: str) -> dict[str, Any]:
    """Read a file in JSON, which the template produces, or in TOML.

    tomllib is imported only when needed, because that takes 0.03 s on a small
    machine.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
        if data.lstrip().startswith(b"{"):
            table = msgspec.json.decode(data)
        else:
            import tomllib

            table = tomllib.loads(data.decode())
    except (OSError, msgspec.MsgspecError, ValueError) as exc:
        raise errors.ConfigError(f"{path}: {exc}") from exc
    if not isinstance(table, dict):
        raise errors.ConfigError(f"{path}: expected a table at the top level")
    return table


_PLACEHOLDER_ADDRESS = address_lib.Address("0.0.0.0", 0)


class _FieldReader:
    """Reads fields by dotted name and collects validation errors.

    Fields that are missing or invalid add a finding and return a placeholder.
    """

    def __init__(self, table: dict[str, Any]) -> None:
        self._table = table
        self.findings: list[str] = []

    def require(self, name: str, expected: str) -> None:
        """Check that a field has the only supported value."""
        if self._get(name) != expected:
            self._add_finding(name, f"{expected!r}")

    def string(self, name: str) -> str:
        """Return a non-empty string."""
        value = self._get(name)
        if isinstance(value, str) and value:
            return value
        self._add_finding(name, "a non-empty string")
        return ""

    def milliseconds(
        self, name: str, default: float, *, unit_ms: int = 1
    ) -> int:
        """Return a duration above 0 in milliseconds.

        :param default: value for a missing field, in the field's unit
        :param unit_ms: unit of the field
        """
        value = self._get(name)
        if value is None:
            value = default
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and 0 < value < float("inf")
        ):
            return round(value * unit_ms)
        self._add_finding(name, "a number above 0")
        return 0

    def number(self, name: str, default: float) -> float:
        """Return a finite number that is not negative."""
        value = self._get(name)
        if value is None:
            return default
        if (
            isinstance(value, int | float)
            and not isinstance(value, bool)
            and 0 <= value < float("inf")
        ):
            return float(value)
        self._add_finding(name, "a number of at least 0")
        return 0.0

    def address(self, name: str) -> address_lib.Address:
        """Return an address with a port."""
        value = self._get(name)
        if isinstance(value, str):
            try:
                return address_lib.Address.parse(value)
            except errors.ConfigError:
                pass
        self._add_finding(name, "an IPv4 address with a port")
        return _PLACEHOLDER_ADDRESS

    def addresses(self, name: str) -> tuple[address_lib.Address, ...]:
        """Return a list of addresses, empty when the field is missing."""
        value = self._get(name)
        if value is None:
            return ()
        try:
            return tuple(address_lib.Address.parse(text) for text in value)
        except (errors.ConfigError, TypeError, AttributeError):
            self._add_finding(name, "a list of IPv4 addresses with ports")
            return ()

    def ports(self, name: str) -> tuple[int, int]:
        """Return the first and last port of a range."""
        value = self._get(name)
        if (
            isinstance(value, list)
            and len(value) == 2
            and all(type(port) is int for port in value)
            and 0 < value[0] <= value[1] < 65536
        ):
            return value[0], value[1]
        self._add_finding(name, "the first and last port of a range")
        return 0, 0

    def _get(self, name: str) -> Any:
        value: Any = self._table
        for part in name.split("."):
            if not isinstance(value, dict):
                return None
            value = value.get(part)
        return value

    def _add_finding(self, name: str, expected: str) -> None:
        found = self._get(name)
        self.findings.append(
            f"{name}: expected {expected}, found "
            + ("nothing" if found is None else repr(found))
        )
