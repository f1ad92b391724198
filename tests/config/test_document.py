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


def grow(previous, name, count):
    """Return the document after ``count`` further apply operations."""
    for number in range(count):
        previous = document.successor(
            previous, body=f"{name}: {number}\n", apply_id=f"{name}-{number}"
        )
    return previous


def apply_ids(current):
    return [current.apply_id, *(name for _, name in current.history)]


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.integers(0, 20),
    strategies.integers(1, 6),
    strategies.integers(1, 6),
    strategies.integers(0, 3),
)
def test_a_document_of_a_new_history_gets_revisions_after_the_lost_one(
    common, lost, new, later
):
    """Guards against a confirmed file that stays behind a lost one, against
    an apply id that is recorded twice or no longer, and against balancers
    that renumber each other's documents for ever.
    """
    base = grow(None, "base", common)
    known, stored = grow(base, "lost", lost), grow(base, "new", new)
    assert document.needs_renumbering(stored, known)
    result = document.renumbered(stored, known)
    assert document.decode(document.encode(result)) == result
    assert result.revision == common + lost + new
    assert (result.body, result.apply_id) == (stored.body, stored.apply_id)
    assert apply_ids(result) == [
        *apply_ids(stored)[:new],
        *apply_ids(known),
    ]
    for older in (stored, known, base, result):
        if older is not None:
            assert not document.needs_renumbering(older, result)
            if older is not result:
                assert not document.needs_renumbering(result, older)
    # The store goes back to the stored document and accepts further ones.
    again = grow(stored, "again", later)
    if later:
        assert document.needs_renumbering(again, result) is (
            later <= lost or again.revision <= result.revision
        )
    if document.needs_renumbering(again, result):
        last = document.renumbered(again, result)
        assert last.revision == result.revision + later
        assert sorted(apply_ids(last)) == sorted(
            {*apply_ids(again), *apply_ids(known)}
        )


def test_an_older_copy_or_an_unrelated_old_document_is_not_renumbered():
    """Guards against a store that went back and reverts the configuration."""
    known = grow(None, "base", 40)
    for revision in (1, 7, 8, 39, 40):
        assert not document.needs_renumbering(
            grow(None, "base", revision), known
        )
        assert not document.needs_renumbering(
            known, grow(None, "base", revision)
        )
    # Older than the history: it may be a copy.
    assert not document.needs_renumbering(grow(None, "new", 7), known)
    assert document.needs_renumbering(grow(None, "new", 8), known)


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
