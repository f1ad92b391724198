"""Applies configuration files to the store and reads what is stored.

Operators, the people who run a deployment, use it through the commands
under ``cyclamenridge config``.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import enum
import random
import re

from cyclamenridge import clock as clock_lib
from cyclamenridge.config import diff
from cyclamenridge.config import document as document_lib
from cyclamenridge.config import loader
import cyclamenridge.errors as errors
from cyclamenridge.ports import store as store_lib

KEY = "/cyclamenridge/config"
DEFAULT_WAIT_MS = 10_000

_INITIAL_BACKOFF_MS = 50
_MAX_BACKOFF_MS = 1000
_APPLY_ID_PATTERN = re.compile(r"(0|[1-9][0-9]{0,17})-[0-9a-f]{16}")


class Outcome(enum.StrEnum):
    """Outcome of an apply operation.

    A conflict means that the file is based on another revision than the
    stored one. An unknown outcome may become known later.
    """

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredConfig:
    """The stored document and the store's revision of its key.

    :param document: None if no configuration was applied yet
    :param mod_revision: 0 without a document
    :param value: the document as it is stored
    """

    document: document_lib.Document | None
    mod_revision: int
    value: bytes | None = None

    @property
    def revision(self) -> int:
        """Return the revision of the document, 0 without one."""
        return self.document.revision if self.document else 0


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of an apply operation.

    :param base: revision that the operation is based on
    :param revision: revision that holds the file, or the stored one
        after a conflict
    :param changes: what the operation changed; after a conflict what others
        changed since ``base``, or how the stored configuration differs from
        the file if ``base`` can no longer be read
    :param since_base: whether ``changes`` are relative to ``base``
    """

    outcome: Outcome
    apply_id: str
    base: int
    revision: int
    reason: str = ""
    changes: tuple[diff.Change, ...] = ()
    since_base: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Resolution:
    """What the stored document shows about an apply id."""

    outcome: Outcome
    revision: int
    reason: str


class Operator:
    """Applies and reads the configuration.

    :param rng: source of apply ids and of the jitter of retries
    :param wait_ms: how long an apply operation retries
    :param sleep: waits for a time in seconds
    """

    def __init__(
        self,
        store: store_lib.KeyValueStore,
        *,
        clock: clock_lib.Clock,
        rng: random.Random,
        wait_ms: int = DEFAULT_WAIT_MS,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._wait_ms = wait_ms
        self._sleep = sleep
        # Apply id of the operation in progress. An interrupted command
        # prints it, so that its outcome can be looked up.
        self.pending_apply_id: str | None = None

    async def read(self) -> StoredConfig:
        """Read the stored document.

        :raises DocumentError: if it is not valid
        """
        entry = (await self._store.get(KEY)).entry
        if entry is None:
            return StoredConfig(None, 0)
        document = document_lib.decode(entry.value)
        return StoredConfig(document, entry.mod_revision, entry.value)

    async def apply(
        self, file: loader.ConfigFile, *, base: int | None = None
    ) -> ApplyResult:
        """Write a file as the next revision.

        :param base: revision that the operator edited; without it the one
            that the file names, or else the one that is read here
        """
        stored = await self.read()
        base_revision = base if base is not None else file.based_on
        if base_revision is None:
            base_revision = stored.revision
        apply_id = f"{base_revision}-{self._rng.getrandbits(64):016x}"
        result = ApplyResult(
            Outcome.UNCHANGED, apply_id, base_revision, stored.revision
        )
        if stored.document and stored.document.body == file.body:
            return result
        if base_revision != stored.revision:
            return await self._make_conflict_result(result, stored, file)
        document = document_lib.successor(
            stored.document, body=file.body, apply_id=apply_id
        )
        result = dataclasses.replace(
            result,
            revision=document.revision,
            changes=_compare_with_stored(stored, file),
        )
        operation = _ApplyOperation(self, file, stored, document, result)
        self.pending_apply_id = apply_id
        result = await operation.run()
        self.pending_apply_id = None
        return result

    async def resolve(self, apply_id: str) -> Resolution:
        """Look up the outcome of an apply operation.

        :raises ConfigError: if ``apply_id`` is not an apply id
        """
        match = _APPLY_ID_PATTERN.fullmatch(apply_id)
        if match is None:
            raise errors.ConfigError(
                f"{apply_id!r} is not an apply id as printed by `config apply`"
            )
        base = int(match.group(1))
        stored = await self.read()
        outcome, revision = _find_outcome(stored, apply_id, base + 1)
        if outcome is Outcome.APPLIED:
            return Resolution(outcome, revision, "the apply id is recorded")
        if outcome is Outcome.NOT_APPLIED:
            reason = f"another file is revision {base + 1}"
        elif stored.revision > base:
            reason = f"revision {base + 1} is older than the history"
        else:
            reason = "the write may still take effect"
        return Resolution(outcome, stored.revision, reason)

    async def _make_conflict_result(
        self,
        result: ApplyResult,
        stored: StoredConfig,
        file: loader.ConfigFile,
        known_base: StoredConfig | None = None,
    ) -> ApplyResult:
        """Return a conflict with the changes since the operation's base.

        :param known_base: the base, if the operation has read it
        """
        old = known_base or await self._read_at_revision(result.base, stored)
        since_base = old is not None and old.document is not None
        changes: tuple[diff.Change, ...] = ()
        if stored.document is not None:
            body = stored.document.body
            if since_base:
                changes = _compare_bodies(old.document.body, body)
            else:
                changes = _compare_bodies(file.body, body)
        return dataclasses.replace(
            result,
            outcome=Outcome.CONFLICT,
            revision=stored.revision,
            reason=(
                f"the file is based on revision {result.base}, the store "
                f"holds revision {stored.revision}"
            ),
            changes=changes,
            since_base=since_base,
        )

    async def _read_at_revision(
        self, revision: int, stored: StoredConfig
    ) -> StoredConfig | None:
        """Read an earlier document from the history of the store.

        :returns: None if the store no longer has it
        """
        earlier = stored
        for _ in range(document_lib.HISTORY_LENGTH):
            if earlier.revision <= revision or earlier.mod_revision < 2:
                break
            try:
                result = await self._store.get(
                    KEY, revision=earlier.mod_revision - 1
                )
                if result.entry is None:
                    return None
                document = document_lib.decode(result.entry.value)
            except (errors.StoreError, errors.ConfigError):
                return None
            earlier = StoredConfig(document, result.entry.mod_revision)
        return earlier if earlier.revision == revision else None


class _ApplyOperation:
    """One apply operation from its first write to its outcome.

    The same write with the same apply id is retried while the key still
    has the base revision of the operation. Of these compare-and-swap writes
    at most one succeeds, so a retry cannot be applied twice.
    """

    def __init__(
        self,
        operator: Operator,
        file: loader.ConfigFile,
        stored: StoredConfig,
        document: document_lib.Document,
        result: ApplyResult,
    ) -> None:
        self._operator = operator
        self._file = file
        self._base = stored
        self._mod_revision = stored.mod_revision
        self._previous_value = stored.value
        self._document = document
        self._encoded_document = document_lib.encode(document)
        self._result = result
        # A write was sent and it is unknown whether it took effect.
        self._has_uncertain_write = False
        self._reason = ""
        self._backoff_ms = _INITIAL_BACKOFF_MS

    async def run(self) -> ApplyResult:
        """Write until the outcome is known or the time limit is reached."""
        clock = self._operator._clock
        deadline_ms = clock.now_ms() + self._operator._wait_ms
        while True:
            outcome = await self._write()
            if outcome is not None:
                return self._make_result(outcome)
            can_write_again = False
            while not can_write_again:
                stored = await self._read()
                if stored is not None:
                    result = await self._check_outcome(stored)
                    if result is not None:
                        return result
                    can_write_again = self._can_write_again(stored)
                if clock.now_ms() >= deadline_ms:
                    return self._make_result(
                        Outcome.UNKNOWN
                        if self._has_uncertain_write
                        else Outcome.NOT_APPLIED
                    )
                await self._wait_before_retry()

    async def _write(self) -> Outcome | None:
        try:
            put = await self._operator._store.compare_and_put(
                KEY,
                self._encoded_document,
                mod_revision=self._mod_revision,
                previous_value=self._previous_value,
            )
        except errors.StoreOutcomeUnknownError as exc:
            self._has_uncertain_write = True
            self._reason = str(exc)
            return None
        except errors.StoreError as exc:
            self._reason = str(exc)
            return None if self._has_uncertain_write else Outcome.NOT_APPLIED
        self._reason = "the stored configuration was changed meanwhile"
        return Outcome.APPLIED if put.written else None

    async def _read(self) -> StoredConfig | None:
        try:
            return await self._operator.read()
        except (errors.StoreError, errors.ConfigError) as exc:
            self._reason = str(exc)
            return None

    async def _check_outcome(self, stored: StoredConfig) -> ApplyResult | None:
        """Return the final result, None while the outcome is unknown."""
        outcome, revision = _find_outcome(
            stored, self._result.apply_id, self._document.revision
        )
        if outcome is Outcome.APPLIED:
            return dataclasses.replace(
                self._result, outcome=outcome, revision=revision
            )
        if outcome is Outcome.NOT_APPLIED:
            if stored.document and stored.document.body == self._file.body:
                return dataclasses.replace(
                    self._result,
                    outcome=Outcome.UNCHANGED,
                    revision=stored.revision,
                    changes=(),
                )
            return await self._operator._make_conflict_result(
                self._result, stored, self._file, self._base
            )
        return None

    def _can_write_again(self, stored: StoredConfig) -> bool:
        """Return whether the key still holds the base of the operation.

        Its mod revision differs if a balancer has restored the same
        document. Writes of this operation that are still in transit cannot
        take effect then, and the next write uses the new mod revision.
        """
        if stored.document != self._base.document:
            return False
        self._mod_revision = stored.mod_revision
        self._previous_value = stored.value
        return True

    async def _wait_before_retry(self) -> None:
        delay_ms = self._backoff_ms * self._operator._rng.uniform(0.5, 1.0)
        self._backoff_ms = min(2 * self._backoff_ms, _MAX_BACKOFF_MS)
        await self._operator._sleep(delay_ms / 1000)

    def _make_result(self, outcome: Outcome) -> ApplyResult:
        if outcome is Outcome.APPLIED:
            return dataclasses.replace(self._result, outcome=outcome)
        return dataclasses.replace(
            self._result,
            outcome=outcome,
            revision=self._base.revision,
            reason=self._reason,
            changes=(),
        )


def _find_outcome(
    stored: StoredConfig, apply_id: str, revision: int
) -> tuple[Outcome, int]:
    """Return the outcome of an operation, and the stored revision of it.

    :param revision: revision that the operation was to write. Balancers
        renumber it if it was given out twice, so that the apply id decides.
    """
    document = stored.document
    if document is None:
        return Outcome.UNKNOWN, 0
    recorded_revision = document_lib.revision_of(document, apply_id)
    if recorded_revision is not None:
        return Outcome.APPLIED, recorded_revision
    if document_lib.apply_id_at(document, revision) is None:
        return Outcome.UNKNOWN, stored.revision
    return Outcome.NOT_APPLIED, stored.revision


def _compare_with_stored(
    stored: StoredConfig, file: loader.ConfigFile
) -> tuple[diff.Change, ...]:
    """Return what a file would change; empty for the first file."""
    if stored.document is None:
        return ()
    return _compare_bodies(stored.document.body, file.body)


def _compare_bodies(old: str, new: str) -> tuple[diff.Change, ...]:
    """Return the changes between two bodies; empty if one is invalid."""
    try:
        return diff.compare(loader.parse(old), loader.parse(new))
    except errors.ConfigError:
        return ()
