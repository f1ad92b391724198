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
FAULTS = ["ok", "down", "lost", "dropped", "late", "refused", "other", "back"]


def config_file(number):
    text = BASE.replace("share: 1", f"share: {number}")
    return loader.ConfigFile(loader.parse(BASE), text, None)


class FaultyStore:
    """A store with a fault for each call; later calls succeed."""

    def __init__(self, faults=()):
        self.faults = collections.deque(faults)
        self.log = []  # (mod revision, data)
        self.late = []
        self.writes_in_doubt = 0

    def _put(self, data, mod_revision):
        current = self.log[-1][0] if self.log else 0
        if current != mod_revision:
            return False
        self.log.append((current + 1 + len(self.log) % 2, data))
        return True

    def run_late(self):
        late, self.late = self.late, []
        for data, mod_revision in late:
            self._put(data, mod_revision)

    async def _fault(self):
        await asyncio.sleep(0)
        if len(self.faults) % 3 == 0:
            self.run_late()
        fault = self.faults.popleft() if self.faults else "ok"
        previous = self.documents()[-1] if self.log else None
        if fault == "other":
            body = BASE + f"# other {len(self.log)}\n"
            document = document_lib.successor(
                previous, body=body, apply_id=f"other-{len(self.log)}"
            )
            self._put(document_lib.encode(document), self.current())
        if fault == "back" and previous is not None:
            self._put(self.log[-1][1], self.current())
        if fault == "older":
            self.log.pop()
        if fault == "down":
            raise errors.StoreUnavailableError("down")
        if fault == "refused":
            raise errors.StoreError("refused")
        return fault

    def current(self):
        return self.log[-1][0] if self.log else 0

    def documents(self):
        return [document_lib.decode(data) for _, data in self.log]

    async def get(self, key, *, revision=0):
        await self._fault()
        found = [x for x in self.log if not revision or x[0] <= revision]
        entry = None
        if found:
            entry = store_lib.KeyValue(key, found[-1][1], found[-1][0])
        return store_lib.GetResult(self.current() or 1, entry)

    async def compare_and_put(self, key, value, *, mod_revision):
        fault = await self._fault()
        if fault in ("lost", "dropped", "late"):
            self.writes_in_doubt += 1
            if fault == "lost":
                self._put(value, mod_revision)
            elif fault == "late":
                self.late.append((value, mod_revision))
            raise errors.StoreOutcomeUnknownError(fault)
        written = self._put(value, mod_revision)
        return store_lib.PutResult(written, self.current() or 1)


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


def check_truth(store, result):
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
        assert store.writes_in_doubt


def check_line(store):
    """Each revision follows the one before, whoever wrote it."""
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
def test_told_outcome_is_true_under_random_faults(faults, operators):
    """Guards against a false outcome and against a lost revision (P4)."""
    store = FaultyStore(faults)
    files = [config_file(number + 2) for number in range(operators)]
    results = apply_all(store, *files, wait_ms=500)
    operator = make_operator(store)
    before = []
    store.faults.clear()
    for result in results:
        if isinstance(result, operator_lib.ApplyResult):
            found = asyncio.run(operator.resolve(result.apply_id))
            before.append((result, found.outcome))
        else:
            assert isinstance(result, errors.StoreError)
    store.run_late()
    check_line(store)
    applied = {document.apply_id for document in store.documents()}
    for result, found in before:
        check_truth(store, result)
        if found is not Outcome.UNKNOWN:
            assert (found is Outcome.APPLIED) == (result.apply_id in applied)


def test_first_file_is_revision_1_and_an_unchanged_one_writes_nothing():
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
        (["ok", "lost"], Outcome.APPLIED, 2),
        (["ok", "lost", "down", "down"], Outcome.APPLIED, 2),
        (["ok", "lost", "other"], Outcome.APPLIED, 3),
        (["ok", "dropped"], Outcome.APPLIED, 2),
        (["ok", "late"], Outcome.APPLIED, 2),
        (["ok", "dropped", "other"], Outcome.CONFLICT, 2),
        (["ok", "other"], Outcome.CONFLICT, 2),
        (["ok", "back"], Outcome.APPLIED, 2),
        (["ok", "down"], Outcome.NOT_APPLIED, 1),
        (["ok", "refused"], Outcome.NOT_APPLIED, 1),
        (["ok", "lost"] + ["down"] * 99, Outcome.UNKNOWN, 2),
        (["ok"] + ["dropped"] * 199, Outcome.UNKNOWN, 1),
        (["ok", "late"] + ["down"] * 99, Outcome.UNKNOWN, 2),
    ],
)
def test_lost_answer_is_resolved_by_reading_again(faults, outcome, revisions):
    store = FaultyStore()
    apply_all(store, config_file(2))
    store.faults.extend(faults)
    (result,) = apply_all(store, config_file(3))
    assert result.outcome is outcome
    assert store.documents()[-1].revision == revisions
    check_truth(store, result)


def test_store_that_went_back_during_apply_is_not_written():
    """Guards against a revision that reverts configuration (P8)."""
    store = FaultyStore()
    apply_all(store, config_file(2))
    apply_all(store, config_file(3))
    store.faults.extend(["ok", "older"])
    (result,) = apply_all(store, config_file(4), wait_ms=300)
    assert result.outcome is Outcome.NOT_APPLIED
    assert len(store.log) == 1


def test_same_file_of_two_operators_is_no_conflict():
    store = FaultyStore()
    results = apply_all(store, config_file(2), config_file(2))
    assert {result.outcome for result in results} == {
        Outcome.APPLIED,
        Outcome.UNCHANGED,
    }
    assert len(store.log) == 1


def test_conflict_with_an_unknown_base_compares_with_the_file():
    store = FaultyStore()
    apply_all(store, config_file(2))
    operator = make_operator(store)
    result = asyncio.run(operator.apply(config_file(3), base=7))
    assert (result.outcome, result.since_base) == (Outcome.CONFLICT, False)
    assert [(c.old, c.new) for c in result.changes] == [(3.0, 2.0)]


def test_apply_id_beyond_the_history_is_not_yet_known():
    """Guards against "not applied" where the record is only too old."""
    store = FaultyStore()
    apply_all(store, config_file(2))
    store.faults.extend(["ok", "lost", *["other"] * 40])
    (result,) = apply_all(store, config_file(3), wait_ms=0)
    assert result.outcome is Outcome.APPLIED
    apply_all(store, *[config_file(n) for n in range(4, 50)])
    for number in range(50, 50 + document_lib.HISTORY_LENGTH):
        apply_all(store, config_file(number))
    found = asyncio.run(make_operator(store).resolve(result.apply_id))
    assert found.outcome is Outcome.UNKNOWN


@pytest.mark.parametrize("named", ["argument", "file"])
def test_loser_of_two_operators_sees_what_changed_since_its_base(named):
    """Guards against an edit of an old file that undoes newer ones."""
    store = FaultyStore()
    for number in (2, 3, 4):
        apply_all(store, config_file(number))
    mine = config_file(9)
    if named == "file":
        mine = loader.ConfigFile(mine.config, mine.body, 2)
    base = 2 if named == "argument" else None
    result = asyncio.run(make_operator(store).apply(mine, base=base))
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
    """Guards against a write over a revision that cannot be compared."""
    store = FaultyStore()
    store._put(b"{}", 0)
    with pytest.raises(document_lib.DocumentError):
        asyncio.run(make_operator(store).apply(config_file(2)))
    assert len(store.log) == 1
