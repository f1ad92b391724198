"""Log lines of the process: one line of key=value per change of state."""

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
    # One access line per scrape and three lines per transition would hide
    # the changes of state.
    for name in ("aiohttp.access", "transitions"):
        std_logging.getLogger(name).setLevel(std_logging.WARNING)


def line(**fields: object) -> str:
    """Return fields as key=value; values with other characters are quoted."""
    return " ".join(f"{key}={_value(val)}" for key, val in fields.items())


def state_changed(effect: effects.StateChanged) -> None:
    """Write the line of a change of state."""
    fields = {
        "subject": effect.subject,
        "old": effect.old,
        "new": effect.new,
    }
    if effect.detail:
        fields["detail"] = effect.detail
    logging.info("%s", line(event="state_changed", **fields))


def _value(value: object) -> str:
    text = str(value)
    if text and all(
        char.isalnum() or char in _PLAIN_PUNCTUATION for char in text
    ):
        return text
    return json.dumps(text)
