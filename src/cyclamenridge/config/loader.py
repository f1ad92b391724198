"""Reading of configuration files."""

import dataclasses

import yaml

from cyclamenridge.config import findings as findings_lib
from cyclamenridge.config import marked_yaml
from cyclamenridge.config import model
from cyclamenridge.config import references
from cyclamenridge.config import schema

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
    if content.root.flow_style:
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
                    (BASED_ON,), findings_lib.shown(based_on), _BASED_ON_RULE
                )
            )
    config, schema_findings = schema.check(model.Config, content, data)
    found.extend(schema_findings)
    found.extend(references.check(content))
    if config is None or found:
        raise findings_lib.InvalidConfigError(findings_lib.once(found))
    return ConfigFile(config, body, based_on)


def with_based_on(body: str, revision: int) -> str:
    """Return a body with ``based_on`` as its first key."""
    content = marked_yaml.load(body, source="<document>")
    mark = content.root.value[0][0].start_mark
    lines = body.splitlines(keepends=True)
    lines.insert(mark.line, f"{' ' * mark.column}{BASED_ON}: {revision}\n")
    return "".join(lines)


def _is_based_on_valid(
    content: marked_yaml.MarkedYaml, based_on: object
) -> bool:
    if isinstance(based_on, bool) or not isinstance(based_on, int):
        return False
    (key, value), *others = content.root.value
    return (
        based_on >= 0
        and key.value == BASED_ON
        and key.start_mark.line == value.end_mark.line
        and all(
            other.start_mark.line > key.start_mark.line
            for other, _ in others[:1]
        )
    )


def _without_based_on(content: marked_yaml.MarkedYaml, text: str) -> str:
    key: yaml.Node = content.root.value[0][0]
    lines = text.splitlines(keepends=True)
    del lines[key.start_mark.line]
    return "".join(lines)
