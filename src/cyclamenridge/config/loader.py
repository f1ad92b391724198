"""Parses and validates configuration files."""

import dataclasses

from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import marked_yaml
from cyclamenridge.config import model
from cyclamenridge.config import references
from cyclamenridge.config import schema
import cyclamenridge.errors as errors

BASED_ON = "based_on"

_ALLOWED_BASED_ON = (
    "the first key, on a line of its own, with the number of a revision"
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFile:
    """A valid configuration file.

    :param body: the text of the file without the line of ``based_on``
    :param based_on: the revision that the operator edited, None if the file
        does not name it
    """

    config: model.Config
    body: str
    based_on: int | None


def parse(text: str, *, source: str = "<config>") -> model.Config:
    """Parse and validate a configuration.

    :raises InvalidConfigError: with all findings
    """
    return parse_file(text, source=source).config


def parse_file(text: str, *, source: str = "<config>") -> ConfigFile:
    """Parse and validate a file, and remove ``based_on`` from its body.

    :raises InvalidConfigError: with all findings
    """
    text = text.removeprefix("\ufeff")
    content = marked_yaml.load(text, source=source)
    findings = list(content.findings)
    if content.flow_style:
        # `config show` inserts `based_on` as a line before the first key,
        # which is impossible in braces.
        findings.append(
            content.make_finding(
                (),
                "a mapping in braces",
                "top-level keys on lines of their own",
            )
        )
    data = dict(content.data)
    based_on = data.pop(BASED_ON, None)
    body = text
    if BASED_ON in content.data:
        if _is_based_on_valid(content, based_on):
            body = _without_based_on(content, text)
        else:
            findings.append(
                content.make_finding(
                    (BASED_ON,),
                    findings_lib.format_value(based_on),
                    _ALLOWED_BASED_ON,
                )
            )
    config, schema_findings = schema.validate(model.Config, content, data)
    findings.extend(schema_findings)
    findings.extend(references.check(content))
    if config is None or findings:
        raise findings_lib.InvalidConfigError(
            findings_lib.deduplicate(findings)
        )
    return ConfigFile(config, body, based_on)


def with_based_on(body: str, revision: int) -> str:
    """Return a body with ``based_on`` as its first key.

    :raises ConfigError: if the body has no key
    """
    position = marked_yaml.load(body, source="<document>").first_key
    if position is None:
        raise errors.ConfigError("the document has no key")
    lines = body.splitlines(keepends=True)
    lines.insert(
        position.line, f"{' ' * position.column}{BASED_ON}: {revision}\n"
    )
    return "".join(lines)


def _is_based_on_valid(
    content: marked_yaml.MarkedYaml, based_on: object
) -> bool:
    if isinstance(based_on, bool) or not isinstance(based_on, int):
        return False
    position = content.first_key
    return (
        based_on >= 0
        and position is not None
        and position.key == BASED_ON
        and position.line == position.last_line
    )


def _without_based_on(content: marked_yaml.MarkedYaml, text: str) -> str:
    lines = text.splitlines(keepends=True)
    del lines[content.first_key.line]
    return "".join(lines)
