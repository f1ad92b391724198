import asyncio
import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenridge import clock as clock_lib
from cyclamenridge.config import diff
from cyclamenridge.config import document as document_lib
from cyclamenridge.config import loader
from cyclamenridge.config import operator as operator_lib
import cyclamenridge.errors as errors
from cyclamenridge.ports import store as store_lib

Outcome = operator_lib.Outcome
BASE = """\
deployment: bellbird
failure_domains: {qld-bne: {region: queensland, networks: [127.0.0.0/8]}}
services:
  counter:
    servers:
      counter-1: {address: "127.0.0.1:7101", failure_domain: qld-bne}
kinds: {door-feed: {service: counter, mode: feed}}
precedence: [door-feed]
customers:
  arrowtail-fitters:
    share: 1
"""
FAULTS = [
    "ok",
    "unavailable",
    "reply_lost",  # the write takes effect, its outcome is unknown
    "write_dropped",  # the write has no effect, its outcome is unknown
    "write_late",  # the write arrives later, its outcome is unknown
    "refused",
    "other_operator",  # another operator applies a file first
    "restored",  # a balancer writes the same document back
]


def config_file(number):
    text = BASE.replace("share: 1", f"share: {number}")
    return loader.ConfigFile(loader.parse(BASE), text, None)


OTHER_DOCUMENT = document_lib.encode(
    document_lib.successor(None, body=BASE + "# lost\n", apply_id="other")
)


class FaultyStore:
    """A store whose calls have the given faults, one each; then they succeed.

    Besides ``FAULTS`` it knows "rolled_back", which drops the newest write,
    and "replaced": the store is restored from an older copy, and another
    document gets the mod revision of the newest one.
    """

    def __init__(self, faults=()):
        self.faults = collections.deque(faults)
        self.log = []  # (mod revision, data)
        self.late_writes = []
        self.uncertain_write_count = 0

    def put_if_unchanged(self, data, mod_revision, previous_value=None):
        current_mod_revision, value = self.log[-1] if self.log else (0, None)
        if current_mod_revision != mod_revision:
            return False
        if previous_value not in (None, value):
            return False
        self.log.append((current_mod_revision + 1 + len(self.log) % 2, data))
        return True

    def apply_late_writes(self):
        late_writes, self.late_writes = self.late_writes, []
        for write in late_writes:
            self.put_if_unchanged(*write)

    async def apply_next_fault(self):
        await asyncio.sleep(0)
        if len(self.faults) % 3 == 0:
            self.apply_late_writes()
        fault = self.faults.popleft() if self.faults else "ok"
        previous = self.documents()[-1] if self.log else None
        if fault == "other_operator":
            body = BASE + f"# other {len(self.log)}\n"
            document = document_lib.successor(
                previous, body=body, apply_id=f"other-{len(self.log)}"
            )
            self.put_if_unchanged(
                document_lib.encode(document), self.current_mod_revision()
            )
        if fault == "restored" and previous is not None:
            self.put_if_unchanged(self.log[-1][1], self.current_mod_revision())
        if fault == "rolled_back":
            self.log.pop()
        if fault == "replaced":
            mod_revision, _ = self.log.pop()
            self.log.append((mod_revision, OTHER_DOCUMENT))
        if fault == "unavailable":
            raise errors.StoreUnavailableError("unavailable")
        if fault == "refused":
            raise errors.StoreError("refused")
        return fault

    def current_mod_revision(self):
        return self.log[-1][0] if self.log else 0

    def documents(self):
        return [document_lib.decode(data) for _, data in self.log]

    async def get(self, key, *, revision=0):
        await self.apply_next_fault()
        found = [x for x in self.log if not revision or x[0] <= revision]
        entry = None
        if found:
            entry = store_lib.KeyValue(key, found[-1][1], found[-1][0])
        return store_lib.GetResult(self.current_mod_revision() or 1, entry)

    async def compare_and_put(
        self, key, value, *, mod_revision, previous_value=None
    ):
        fault = await self.apply_next_fault()
        if fault in ("reply_lost", "write_dropped", "write_late"):
            self.uncertain_write_count += 1
            if fault == "reply_lost":
                self.put_if_unchanged(value, mod_revision, previous_value)
            elif fault == "write_late":
                self.late_writes.append((value, mod_revision, previous_value))
            raise errors.StoreOutcomeUnknownError(fault)
        written = self.put_if_unchanged(value, mod_revision, previous_value)
        return store_lib.PutResult(written, self.current_mod_revision() or 1)


def make_operator(store, *, seed=1, wait_ms=3000):
    clock = clock_lib.ManualClock()

    async def sleep(seconds):
        await asyncio.sleep(0)
        clock.advance(max(1, int(seconds * 1000)))

    return operator_lib.Operator(
        store,
        clock=clock,
        rng=random.Random(seed),
        wait_ms=wait_ms,
        sleep=sleep,
    )


def apply_all(store, *files, **options):
    async def run():
        operators = [
            make_operator(store, seed=i, **options) for i in range(len(files))
        ]
        return await asyncio.gather(
            *(
                operator.apply(file)
                for operator, file in zip(operators, files, strict=True)
            ),
            return_exceptions=True,
        )

    return asyncio.run(run())


def check_outcome(store, result):
    ids = [document.apply_id for document in store.documents()]
    revisions = {
        document.revision
        for document in store.documents()
        if document.apply_id == result.apply_id
    }
    if result.outcome is Outcome.APPLIED:
        assert revisions == {result.base + 1} == {result.revision}
    elif result.outcome is not Outcome.UNKNOWN:
        assert result.apply_id not in ids
    else:
        assert store.uncertain_write_count


def check_revision_sequence(store):
    """Check that each document is the successor of the one before it."""
    previous = None
    for document in store.documents():
        if document != previous:
            assert document == document_lib.successor(
                previous, body=document.body, apply_id=document.apply_id
            )
        previous = document


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.sampled_from(FAULTS), max_size=16),
    strategies.integers(1, 3),
)
def test_reported_outcome_is_true_under_random_faults(faults, operators):
    """Guards against wrong outcomes and lost revisions (P4)."""
    store = FaultyStore(faults)
    files = [config_file(number + 2) for number in range(operators)]
    results = apply_all(store, *files, wait_ms=500)
    operator = make_operator(store)
    reported_outcomes = []
    store.faults.clear()
    for result in results:
        if isinstance(result, operator_lib.ApplyResult):
            found = asyncio.run(operator.resolve(result.apply_id))
            reported_outcomes.append((result, found.outcome))
        else:
            assert isinstance(result, errors.StoreError)
    store.apply_late_writes()
    check_revision_sequence(store)
    applied = {document.apply_id for document in store.documents()}
    for result, found in reported_outcomes:
        check_outcome(store, result)
        if found is not Outcome.UNKNOWN:
            assert (found is Outcome.APPLIED) == (result.apply_id in applied)


def test_first_file_is_revision_1_and_an_unchanged_one_writes_nothing():
    """Guards against revisions that differ in nothing but their number."""
    store = FaultyStore()
    first, again = (
        apply_all(store, config_file(2))[0],
        apply_all(store, config_file(2))[0],
    )
    assert (first.outcome, first.revision) == (Outcome.APPLIED, 1)
    assert (again.outcome, again.revision) == (Outcome.UNCHANGED, 1)
    assert len(store.log) == 1


@pytest.mark.parametrize(
    ("faults", "outcome", "revisions"),
    [
        (["ok", "reply_lost"], Outcome.APPLIED, 2),
        (
            ["ok", "reply_lost", "unavailable", "unavailable"],
            Outcome.APPLIED,
            2,
        ),
        (["ok", "reply_lost", "other_operator"], Outcome.APPLIED, 3),
        (["ok", "write_dropped"], Outcome.APPLIED, 2),
        (["ok", "write_late"], Outcome.APPLIED, 2),
        (["ok", "write_dropped", "other_operator"], Outcome.CONFLICT, 2),
        (["ok", "other_operator"], Outcome.CONFLICT, 2),
        (["ok", "restored"], Outcome.APPLIED, 2),
        (["ok", "unavailable"], Outcome.NOT_APPLIED, 1),
        (["ok", "refused"], Outcome.NOT_APPLIED, 1),
        (["ok", "reply_lost"] + ["unavailable"] * 99, Outcome.UNKNOWN, 2),
        (["ok"] + ["write_dropped"] * 199, Outcome.UNKNOWN, 1),
        (["ok", "write_late"] + ["unavailable"] * 99, Outcome.UNKNOWN, 2),
    ],
)
def test_lost_reply_is_resolved_by_reading_again(faults, outcome, revisions):
    """Guards against reporting a write with a lost reply as failed."""
    store = FaultyStore()
    apply_all(store, config_file(2))
    store.faults.extend(faults)
    (result,) = apply_all(store, config_file(3))
    assert result.outcome is outcome
    assert store.documents()[-1].revision == revisions
    check_outcome(store, result)


def test_store_rolled_back_during_apply_is_not_written():
    """Guards against a revision that reverts the configuration (P8)."""
    store = FaultyStore()
    apply_all(store, config_file(2))
    apply_all(store, config_file(3))
    store.faults.extend(["ok", "rolled_back"])
    (result,) = apply_all(store, config_file(4), wait_ms=300)
    assert result.outcome is Outcome.NOT_APPLIED
    assert len(store.log) == 1


def test_same_file_of_two_operators_is_no_conflict():
    """Guards against a conflict without any difference to resolve."""
    store = FaultyStore()
    results = apply_all(store, config_file(2), config_file(2))
    assert {result.outcome for result in results} == {
        Outcome.APPLIED,
        Outcome.UNCHANGED,
    }
    assert len(store.log) == 1


def test_conflict_with_an_unknown_base_compares_with_the_file():
    """Guards against a conflict that shows no changes."""
    store = FaultyStore()
    apply_all(store, config_file(2))
    operator = make_operator(store)
    result = asyncio.run(operator.apply(config_file(3), base=7))
    assert (result.outcome, result.since_base) == (Outcome.CONFLICT, False)
    assert [(c.old, c.new) for c in result.changes] == [(3.0, 2.0)]


def test_outcome_of_apply_id_older_than_the_history_is_unknown():
    """Guards against "not applied" for an id that left the history."""
    store = FaultyStore()
    apply_all(store, config_file(2))
    store.faults.extend(["ok", "reply_lost", *["other_operator"] * 40])
    (result,) = apply_all(store, config_file(3), wait_ms=0)
    assert result.outcome is Outcome.APPLIED
    apply_all(store, *[config_file(n) for n in range(4, 50)])
    for number in range(50, 50 + document_lib.HISTORY_LENGTH):
        apply_all(store, config_file(number))
    found = asyncio.run(make_operator(store).resolve(result.apply_id))
    assert found.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("base_source", ["argument", "file"])
def test_loser_of_two_operators_sees_what_changed_since_its_base(base_source):
    """Guards against an edit of an old file that reverts newer changes."""
    store = FaultyStore()
    for number in (2, 3, 4):
        apply_all(store, config_file(number))
    edited_file = config_file(9)
    if base_source == "file":
        edited_file = loader.ConfigFile(
            edited_file.config, edited_file.body, 2
        )
    base = 2 if base_source == "argument" else None
    result = asyncio.run(make_operator(store).apply(edited_file, base=base))
    assert result.outcome is Outcome.CONFLICT
    assert (result.base, result.revision, result.since_base) == (2, 3, True)
    assert result.changes == (
        diff.Change(
            diff.ChangeKind.CHANGED,
            ("customers", "arrowtail-fitters", "share"),
            3.0,
            4.0,
        ),
    )
    assert len(store.log) == 3


def test_unreadable_document_is_not_replaced():
    """Guards against overwriting a document that cannot be decoded."""
    store = FaultyStore()
    store.put_if_unchanged(b"{}", 0)
    with pytest.raises(document_lib.DocumentError):
        asyncio.run(make_operator(store).apply(config_file(2)))
    assert len(store.log) == 1


def test_a_late_write_replaces_nothing_that_got_its_revision_again():
    """A confirmed file was overwritten after the store was restored."""
    store = FaultyStore()
    apply_all(store, config_file(1))
    store.faults.extend(["ok", "write_late", "replaced"])
    apply_all(store, config_file(2), wait_ms=500)
    store.apply_late_writes()
    assert store.log[-1][1] == OTHER_DOCUMENT


def test_renumbered_operation_is_found_at_its_new_revision():
    """Guards against "not applied" for a file that is in force, after the
    balancers gave it a later revision because the store was restored.
    """
    store = FaultyStore()
    apply_all(store, config_file(1))
    common = store.documents()[-1]
    lost = apply_all(store, config_file(2))[0]
    known = store.documents()[-1]
    store.log = [(1, document_lib.encode(common))]
    operator = make_operator(store, seed=7)
    applied = asyncio.run(operator.apply(config_file(3)))
    renumbered = document_lib.renumbered(store.documents()[-1], known)
    mod_revision = store.log[-1][0]
    assert store.put_if_unchanged(
        document_lib.encode(renumbered), mod_revision
    )
    for result, revision in ((lost, 2), (applied, 3)):
        found = asyncio.run(operator.resolve(result.apply_id))
        assert (found.outcome, found.revision) == (Outcome.APPLIED, revision)
    assert (lost.revision, applied.revision) == (2, 2)
    other = asyncio.run(operator.resolve("1-0123456789abcdef"))
    assert other.outcome is Outcome.NOT_APPLIED
