"""Logging to standard error in key=value format."""

import json
import logging as std_logging

from absl import logging

from cyclamenridge.node import effects

_PLAIN_PUNCTUATION = frozenset("-_./:+,")


def setup(*, verbose: bool = False) -> None:
    """Send log lines to standard error through absl."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.DEBUG if verbose else logging.INFO)
    logging.set_stderrthreshold(logging.DEBUG)
    # One access line per scrape and three lines per transition would bury
    # the state changes.
    for name in ("aiohttp.access", "transitions"):
        std_logging.getLogger(name).setLevel(std_logging.WARNING)


def format_fields(**fields: object) -> str:
    """Format fields as key=value; quote values with special characters."""
    return " ".join(
        f"{key}={_format_value(value)}" for key, value in fields.items()
    )


def log_state_change(effect: effects.StateChanged) -> None:
    """Log a state change."""
    fields = {
        "subject": effect.subject,
        "old": effect.old,
        "new": effect.new,
    }
    if effect.detail:
        fields["detail"] = effect.detail
    logging.info("%s", format_fields(event="state_changed", **fields))


def _format_value(value: object) -> str:
    text = str(value)
    if text and all(
        char.isalnum() or char in _PLAIN_PUNCTUATION for char in text
    ):
        return text
    return json.dumps(text)
