import json

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge.config import document
import cyclamenridge.errors as errors

VALID = document.successor(
    document.successor(None, body="a: é\n", apply_id="0-a"),
    body="a: 2\n",
    apply_id="1-b",
)


def test_revisions_count_from_1_and_keep_the_newest_apply_ids():
    """Guards against an apply id that its operator cannot find again."""
    current = None
    for number in range(40):
        current = document.successor(
            current, body=f"a: {number}\n", apply_id=f"{number}-x"
        )
        assert document.decode(document.encode(current)) == current
    assert current.revision == 40
    assert current.history == tuple(
        (revision, f"{revision - 1}-x") for revision in range(39, 7, -1)
    )
    assert document.revision_of(current, "39-x") == 40
    assert document.revision_of(current, "7-x") == 8
    assert document.revision_of(current, "6-x") is None
    assert document.apply_id_at(current, 40) == "39-x"
    assert document.apply_id_at(current, 8) == "7-x"
    assert document.apply_id_at(current, 7) is None


@pytest.mark.parametrize(
    "changes",
    [
        {"revision": 0},
        {"revision": "2"},
        {"revision": 2**63},
        {"revision": 1},
        {"digest": "0" * 32},
        {"body": "a: 3\n"},
        {"body": None},
        {"apply_id": "a b\n"},
        {"apply_id": ""},
        {"history": [[1, "0-a", 2]]},
        {"history": [[1, "a\n"]]},
        {"history": [[2, "0-a"]]},
        {"history": [[1, "0-a"], [1, "0-b"]]},
        {"revision": 50, "history": [[n, "a"] for n in range(33, 0, -1)]},
    ],
    ids=str,
)
def test_document_that_was_not_written_by_apply_is_refused(changes):
    """Guards against adopting a value that is damaged or of another origin."""
    values = json.loads(document.encode(VALID)) | changes
    with pytest.raises(document.DocumentError):
        document.decode(json.dumps(values).encode())


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(strategies.data())
def test_damaged_bytes_raise_only_document_errors(data):
    encoded = document.encode(VALID)
    start = data.draw(strategies.integers(0, len(encoded)))
    end = data.draw(strategies.integers(start, len(encoded)))
    damaged = (
        encoded[:start]
        + data.draw(strategies.binary(max_size=4))
        + encoded[end:]
    )
    try:
        document.decode(damaged)
    except errors.ConfigError as exc:
        assert isinstance(exc, document.DocumentError)


def test_body_beyond_the_size_limit_of_the_store_is_refused():
    """Guards against a write that the store refuses for its size."""
    accepted = document.successor(None, body="x" * 999_000, apply_id="0-a")
    assert len(document.encode(accepted)) <= document.MAX_ENCODED_BYTES
    # A newline takes two bytes in JSON.
    too_long = document.successor(None, body="\n" * 500_000, apply_id="0-a")
    with pytest.raises(document.BodyTooLongError):
        document.encode(too_long)
