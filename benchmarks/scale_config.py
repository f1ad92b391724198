"""Generator of configurations of a given size."""

from benchmarks import control_fleet
from cyclamenridge.control import transfer

REGIONS = ("west", "centre", "east")
DOMAINS = tuple(f"dom-{letter}" for letter in "abcdefg")
KINDS_PER_SERVICE = 2


def config_text(services: int, servers: int, edit: int = 0) -> str:
    """Return the text of a configuration file.

    :param edit: added to the slots of one server in the middle of the file
    """
    lines = ["deployment: scale", "failure_domains:"]
    for index, domain in enumerate(DOMAINS):
        region = REGIONS[index % len(REGIONS)]
        lines += [
            f"  {domain}:",
            f"    region: {region}",
            f"    networks: [10.{index}.0.0/16]",
        ]
    lines.append("services:")
    for service in range(services):
        lines += [f"  svc-{service:04}:", "    servers:"]
        for server in range(service, servers, services):
            slots = 3 + edit if server == servers // 2 else 3
            domain = DOMAINS[server % len(DOMAINS)]
            host = f"10.{server % 7}.{server // 250}.{server % 250 + 1}"
            lines += [
                f"      srv-{server:04}:",
                f"        address: {host}:7101",
                f"        failure_domain: {domain}",
                f"        slots: {slots}",
                "        connections: 2000",
            ]
    kinds = [
        f"svc-{service:04}-{kind}"
        for service in range(services)
        for kind in ("feed", "edit")
    ]
    lines.append("precedence:")
    lines += [f"  - {kind}" for kind in kinds]
    lines.append("kinds:")
    for kind in kinds:
        mode = "feed" if kind.endswith("feed") else "request"
        lines += [
            f"  {kind}:",
            f"    service: {kind.rsplit('-', 1)[0]}",
            f"    mode: {mode}",
        ]
    lines += ["customers:", "  outfit: {share: 1.0}", ""]
    return "\n".join(lines)


def document(
    revision: int, services: int, servers: int
) -> control_fleet.Document:
    """Return a document whose body differs for each revision."""
    text = config_text(services, servers, revision % 50)
    return control_fleet.Document(
        revision=revision,
        digest=transfer.body_digest(text),
        apply_id=f"apply-{revision}",
        history=tuple(
            (n, f"apply-{n}") for n in range(max(1, revision - 8), revision)
        ),
        body=text,
    )
