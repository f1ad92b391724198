"""Settings of one balancer process, read from a YAML file."""

from collections.abc import Iterator
import dataclasses
import ipaddress
import pathlib
from typing import Annotated

import pydantic
from pydantic import dataclasses as pydantic_dataclasses
import yarl

from cyclamenridge import address as address_lib
from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import marked_yaml
from cyclamenridge.config import model
from cyclamenridge.config import schema
import cyclamenridge.errors as errors

DEFAULT_STOP_DEADLINE_MS = 30_000
MAX_STOP_DEADLINE_MS = 3_600_000
MIN_KEY_BYTES = 16
# BLAKE2b accepts keys of up to 64 bytes.
MAX_KEY_BYTES = 64

_ALLOWED_ADDRESS = "an IPv4 address with a port from 1 to 65535"
_ALLOWED_KEY = f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes in hexadecimal"
_ADDRESS_KEYS = ("caller_address", "peer_address", "admin_address")
_HIDDEN_VALUE = "a value that is not shown"
_MISSING_KEY = "no key"
_NON_SECRET_VALUES = (_MISSING_KEY, findings_lib.NOTHING)

Findings = Iterator[findings_lib.Finding]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one process.

    :param store: URLs of the endpoints of the platform's store
    :param seeds: peer addresses that the process contacts when it starts
    :param keys: keys for messages between peers; the first one signs, all
        of them verify
    """

    name: str
    failure_domain: str
    caller_address: address_lib.Address
    peer_address: address_lib.Address
    admin_address: address_lib.Address
    store: tuple[str, ...]
    keys: tuple[bytes, ...] = dataclasses.field(repr=False)
    seeds: tuple[address_lib.Address, ...] = ()
    stop_deadline_ms: int = DEFAULT_STOP_DEADLINE_MS


@pydantic_dataclasses.dataclass(
    frozen=True, config=pydantic.ConfigDict(extra="forbid")
)
class _RawSettings:
    """The keys of a settings file, before addresses and keys are parsed."""

    name: model.Name
    failure_domain: model.Name
    caller_address: str
    peer_address: str
    admin_address: str
    store: tuple[str, ...]
    seeds: tuple[str, ...] = ()
    keys: tuple[str, ...] = ()
    key_file: str = ""
    stop_deadline_ms: Annotated[
        int, pydantic.Field(ge=0, le=MAX_STOP_DEADLINE_MS)
    ] = DEFAULT_STOP_DEADLINE_MS


def load(path: pathlib.Path) -> Settings:
    """Read a settings file.

    :raises InvalidConfigError: with all findings
    """
    source = str(path)
    try:
        text = path.read_bytes().decode()
    except (OSError, UnicodeError) as exc:
        finding = findings_lib.Finding(
            source, 1, "", f"a file that cannot be read, {exc}", "UTF-8 text"
        )
        raise findings_lib.InvalidConfigError((finding,)) from exc
    return parse(text, source=source, directory=path.parent)


def parse(
    text: str,
    *,
    source: str = "<settings>",
    directory: pathlib.Path = pathlib.Path(),
) -> Settings:
    """Parse and validate settings.

    :param directory: base of a relative ``key_file``
    :raises InvalidConfigError: with all findings
    """
    content = marked_yaml.load(text, source=source)
    raw, schema_findings = schema.validate(_RawSettings, content, content.data)
    findings = [
        *content.findings,
        *schema_findings,
        *_check_addresses(content),
    ]
    findings.extend(_check_endpoints(content))
    keys, key_findings = _read_keys(content, directory)
    findings.extend(key_findings)
    if raw is None or findings:
        raise findings_lib.InvalidConfigError(
            findings_lib.deduplicate([_redact(item) for item in findings])
        )
    parse_address = address_lib.Address.parse
    return Settings(
        name=raw.name,
        failure_domain=raw.failure_domain,
        caller_address=parse_address(raw.caller_address),
        peer_address=parse_address(raw.peer_address),
        admin_address=parse_address(raw.admin_address),
        store=raw.store,
        keys=keys,
        seeds=tuple(parse_address(seed) for seed in raw.seeds),
        stop_deadline_ms=raw.stop_deadline_ms,
    )


def _indexed_strings(value: object) -> list[tuple[int, str]]:
    """Return the strings of a list with their positions in it."""
    items = value if isinstance(value, list) else []
    return [(i, item) for i, item in enumerate(items) if isinstance(item, str)]


def _check_addresses(content: marked_yaml.MarkedYaml) -> Findings:
    paths: list[tuple[marked_yaml.Path, str]] = [
        ((key,), text)
        for key in _ADDRESS_KEYS
        if isinstance(text := content.data.get(key), str)
    ]
    for index, text in _indexed_strings(content.data.get("seeds")):
        paths.append((("seeds", index), text))
    first_uses: dict[address_lib.Address, str] = {}
    for path, text in paths:
        try:
            address = address_lib.Address.parse(text)
        except errors.ConfigError:
            yield content.make_finding(
                path, findings_lib.format_value(text), _ALLOWED_ADDRESS
            )
            continue
        key = path[0]
        if key not in _ADDRESS_KEYS:
            continue
        first = first_uses.setdefault(address, str(key))
        if first != key:
            yield content.make_finding(
                path, f"{text} again after {first}", "each address once"
            )
        if (
            key == "peer_address"
            and ipaddress.IPv4Address(address.host).is_unspecified
        ):
            yield content.make_finding(
                path, text, "the address at which peers reach this process"
            )


def _check_endpoints(content: marked_yaml.MarkedYaml) -> Findings:
    endpoints = content.data.get("store")
    if endpoints == []:
        yield content.make_finding(
            ("store",), "an empty list", "at least one endpoint"
        )
    for index, text in _indexed_strings(endpoints):
        if not is_endpoint(text):
            yield content.make_finding(
                ("store", index),
                findings_lib.format_value(text),
                "a URL such as http://127.0.0.1:2379",
            )


def is_endpoint(text: str) -> bool:
    """Return whether a text is a valid URL of a store endpoint."""
    try:
        url = yarl.URL(text)
        return (
            url.scheme in ("http", "https")
            and bool(url.host)
            and url.user is None
            and url.port is not None
            and url.path == "/"
            and not url.query_string
        )
    except ValueError:
        return False


def _read_keys(
    content: marked_yaml.MarkedYaml, directory: pathlib.Path
) -> tuple[tuple[bytes, ...], list[findings_lib.Finding]]:
    listed_keys, key_file = (
        content.data.get("keys"),
        content.data.get("key_file"),
    )
    if (listed_keys is None) == (key_file is None):
        found = "neither" if listed_keys is None else "both"
        return (), [
            content.make_finding((), found, "one of keys and key_file")
        ]
    path: marked_yaml.Path = ("keys",)
    key_texts = _indexed_strings(listed_keys)
    if key_file is not None:
        path = ("key_file",)
        if not isinstance(key_file, str):
            return (), []
        try:
            lines = (directory / key_file).read_text().split("\n")
        except (OSError, ValueError) as exc:
            return (), [
                content.make_finding(
                    path,
                    f"a file that cannot be read, {exc}",
                    "a text file with one key per line",
                )
            ]
        file_keys = [line.strip() for line in lines if line.strip()]
        key_texts = list(enumerate(file_keys))
        for index, text in key_texts:
            # ``bytes.fromhex`` would ignore the white space.
            if len(text.split()) > 1:
                return (), [
                    content.make_finding(
                        (*path, index),
                        "a line with white space in it",
                        "one key per line",
                    )
                ]
    keys = tuple(_decode_key(text) for _, text in key_texts)
    findings = [
        content.make_finding(
            (*path, index), f"{len(text)} characters", _ALLOWED_KEY
        )
        for (index, text), key in zip(key_texts, keys, strict=True)
        if key is None
    ]
    if not keys and (listed_keys == [] or key_file is not None):
        findings.append(
            content.make_finding(path, _MISSING_KEY, "at least one key")
        )
    return tuple(key for key in keys if key is not None), findings


def _decode_key(text: str) -> bytes | None:
    try:
        key = bytes.fromhex(text)
    except ValueError:
        return None
    return key if MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES else None


def _redact(finding: findings_lib.Finding) -> findings_lib.Finding:
    """Hide values of ``keys``, because findings are printed and logged."""
    first, _, rest = finding.key.partition(".")
    if first != "keys":
        return finding
    if rest and not rest.isdigit():
        # If ``keys`` is a mapping, a secret may be part of the path.
        return dataclasses.replace(finding, key=first, found=_HIDDEN_VALUE)
    if finding.found in _NON_SECRET_VALUES or finding.found.endswith(
        " characters"
    ):
        return finding
    return dataclasses.replace(finding, found=_HIDDEN_VALUE)
