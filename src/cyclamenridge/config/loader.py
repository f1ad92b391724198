"""Reading of configuration files."""

import dataclasses

from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import marked_yaml
from cyclamenridge.config import model
from cyclamenridge.config import references
from cyclamenridge.config import schema
import cyclamenridge.errors as errors

BASED_ON = "based_on"

_BASED_ON_RULE = (
    "the first key, on a line of its own, with the number of a revision"
)


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigFile:
    """A checked configuration file.

    :param body: the file without ``based_on``
    :param based_on: the revision that the operator edited, if it is named
    """

    config: model.Config
    body: str
    based_on: int | None


def parse(text: str, *, source: str = "<config>") -> model.Config:
    """Check a configuration as a whole.

    :raises InvalidConfigError: with all findings
    """
    return parse_file(text, source=source).config


def parse_file(text: str, *, source: str = "<config>") -> ConfigFile:
    """Check a configuration and separate ``based_on`` from its body.

    :raises InvalidConfigError: with all findings
    """
    text = text.removeprefix("\ufeff")
    content = marked_yaml.load(text, source=source)
    found = list(content.findings)
    if content.flow_style:
        # `config show` inserts a line before the first key.
        found.append(
            content.finding(
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
            found.append(
                content.finding(
                    (BASED_ON,),
                    findings_lib.format_value(based_on),
                    _BASED_ON_RULE,
                )
            )
    config, schema_findings = schema.validate(model.Config, content, data)
    found.extend(schema_findings)
    found.extend(references.check(content))
    if config is None or found:
        raise findings_lib.InvalidConfigError(findings_lib.deduplicate(found))
    return ConfigFile(config, body, based_on)


def with_based_on(body: str, revision: int) -> str:
    """Return a body with ``based_on`` as its first key."""
    place = marked_yaml.load(body, source="<document>").first_key
    if place is None:
        raise errors.ConfigError("the document has no key")
    lines = body.splitlines(keepends=True)
    lines.insert(place.line, f"{' ' * place.column}{BASED_ON}: {revision}\n")
    return "".join(lines)


def _is_based_on_valid(
    content: marked_yaml.MarkedYaml, based_on: object
) -> bool:
    if isinstance(based_on, bool) or not isinstance(based_on, int):
        return False
    place = content.first_key
    return (
        based_on >= 0
        and place is not None
        and place.key == BASED_ON
        and place.line == place.last_line
    )


def _without_based_on(content: marked_yaml.MarkedYaml, text: str) -> str:
    lines = text.splitlines(keepends=True)
    del lines[content.first_key.line]
    return "".join(lines)
