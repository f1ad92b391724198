"""Operations of the operators on the stored configuration."""

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

_FIRST_PAUSE_MS = 50
_MAX_PAUSE_MS = 1000
_APPLY_ID = re.compile(r"(0|[1-9][0-9]{0,17})-[0-9a-f]{16}")


class Outcome(enum.StrEnum):
    """What became of an apply operation."""

    APPLIED = "applied"
    UNCHANGED = "unchanged"
    CONFLICT = "conflict"
    NOT_APPLIED = "not_applied"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """What the store holds.

    :param document: None when no configuration was applied yet
    """

    document: document_lib.Document | None
    mod_revision: int

    @property
    def revision(self) -> int:
        """Return the revision of the document, 0 without one."""
        return self.document.revision if self.document else 0


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of an apply operation.

    :param base: revision that the operation compared with
    :param revision: revision that holds the file, or the stored one
        after a conflict
    :param changes: what the operation changed; after a conflict what others
        changed since ``base``, or how the stored configuration differs from
        the file if ``base`` cannot be read any more
    :param since_base: whether ``changes`` begin at ``base``
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
    """What the store tells about an apply id."""

    outcome: Outcome
    revision: int
    reason: str


class Operator:
    """Applies and reads the configuration.

    :param rng: source of apply ids and of jitter
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
        # Apply id of the operation in progress, for an interrupted command.
        self.pending_apply_id: str | None = None

    async def read(self) -> Stored:
        """Read the stored document.

        :raises DocumentError: when it is not valid
        """
        entry = (await self._store.get(KEY)).entry
        if entry is None:
            return Stored(None, 0)
        document = document_lib.decode(entry.value)
        return Stored(document, entry.mod_revision)

    async def apply(
        self, file: loader.ConfigFile, *, base: int | None = None
    ) -> ApplyResult:
        """Write a file as the next revision.

        :param base: revision that the operator edited; without it the one
            that the file names, or else the one that is read here
        """
        stored = await self.read()
        expected = base if base is not None else file.based_on
        if expected is None:
            expected = stored.revision
        apply_id = f"{expected}-{self._rng.getrandbits(64):016x}"
        result = ApplyResult(
            Outcome.UNCHANGED, apply_id, expected, stored.revision
        )
        if stored.document and stored.document.body == file.body:
            return result
        if expected != stored.revision:
            return await self._conflict(result, stored, file)
        document = document_lib.successor(
            stored.document, body=file.body, apply_id=apply_id
        )
        result = dataclasses.replace(
            result,
            revision=document.revision,
            changes=differences(stored, file),
        )
        operation = _Apply(self, file, stored, document, result)
        self.pending_apply_id = apply_id
        result = await operation.run()
        self.pending_apply_id = None
        return result

    async def resolve(self, apply_id: str) -> Resolution:
        """Find out what became of an apply operation.

        :raises ConfigError: when ``apply_id`` is none
        """
        match = _APPLY_ID.fullmatch(apply_id)
        if match is None:
            raise errors.ConfigError(
                f"{apply_id!r} is not an apply id as printed by `config apply`"
            )
        base = int(match.group(1))
        stored = await self.read()
        outcome = _judge(stored, apply_id, base + 1)
        if outcome is Outcome.APPLIED:
            return Resolution(outcome, base + 1, "the apply id is recorded")
        if outcome is Outcome.NOT_APPLIED:
            reason = f"another file is revision {base + 1}"
        elif stored.revision > base:
            reason = f"revision {base + 1} is older than the history"
        else:
            reason = "the write may still take effect"
        return Resolution(outcome, stored.revision, reason)

    async def _conflict(
        self,
        result: ApplyResult,
        stored: Stored,
        file: loader.ConfigFile,
        known_base: Stored | None = None,
    ) -> ApplyResult:
        """Tell what changed since the base of an operation."""
        old = known_base or await self._stored_at(result.base, stored)
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

    async def _stored_at(self, revision: int, stored: Stored) -> Stored | None:
        """Read an earlier document from the history of the store."""
        earlier = stored
        for _ in range(document_lib.HISTORY_LENGTH):
            if earlier.revision <= revision or earlier.mod_revision < 2:
                break
            try:
                answer = await self._store.get(
                    KEY, revision=earlier.mod_revision - 1
                )
                if answer.entry is None:
                    return None
                document = document_lib.decode(answer.entry.value)
            except (errors.StoreError, errors.ConfigError):
                return None
            earlier = Stored(document, answer.entry.mod_revision)
        return earlier if earlier.revision == revision else None


class _Apply:
    """One apply operation from its first write to its outcome.

    The same write with the same apply id is sent again while the key still
    has the revision that the operation compared with. At most one copy can
    pass that comparison, so a repeated write cannot be applied twice.
    """

    def __init__(
        self,
        operator: Operator,
        file: loader.ConfigFile,
        stored: Stored,
        document: document_lib.Document,
        result: ApplyResult,
    ) -> None:
        self._operator = operator
        self._file = file
        self._base = stored
        self._mod_revision = stored.mod_revision
        self._document = document
        self._data = document_lib.encode(document)
        self._result = result
        # A write was sent whose effect is not known.
        self._in_doubt = False
        self._reason = ""
        self._pause_ms = _FIRST_PAUSE_MS

    async def run(self) -> ApplyResult:
        """Write until the outcome is known or the time is over."""
        clock = self._operator._clock
        deadline_ms = clock.now_ms() + self._operator._wait_ms
        while True:
            outcome = await self._write()
            if outcome is not None:
                return self._end(outcome)
            may_write = False
            while not may_write:
                stored = await self._read()
                if stored is not None:
                    result = await self._judged(stored)
                    if result is not None:
                        return result
                    may_write = self._may_write(stored)
                if clock.now_ms() >= deadline_ms:
                    return self._end(
                        Outcome.UNKNOWN
                        if self._in_doubt
                        else Outcome.NOT_APPLIED
                    )
                await self._wait()

    async def _write(self) -> Outcome | None:
        try:
            put = await self._operator._store.compare_and_put(
                KEY, self._data, mod_revision=self._mod_revision
            )
        except errors.StoreOutcomeUnknownError as exc:
            self._in_doubt = True
            self._reason = str(exc)
            return None
        except errors.StoreError as exc:
            self._reason = str(exc)
            return None if self._in_doubt else Outcome.NOT_APPLIED
        self._reason = "the stored configuration was changed meanwhile"
        return Outcome.APPLIED if put.written else None

    async def _read(self) -> Stored | None:
        try:
            return await self._operator.read()
        except (errors.StoreError, errors.ConfigError) as exc:
            self._reason = str(exc)
            return None

    async def _judged(self, stored: Stored) -> ApplyResult | None:
        outcome = _judge(
            stored, self._result.apply_id, self._document.revision
        )
        if outcome is Outcome.APPLIED:
            return self._end(outcome)
        if outcome is Outcome.NOT_APPLIED:
            if stored.document and stored.document.body == self._file.body:
                return dataclasses.replace(
                    self._result,
                    outcome=Outcome.UNCHANGED,
                    revision=stored.revision,
                    changes=(),
                )
            return await self._operator._conflict(
                self._result, stored, self._file, self._base
            )
        return None

    def _may_write(self, stored: Stored) -> bool:
        """Tell whether the key still holds the base of the operation.

        It has another mod revision after a balancer wrote the same document
        back; a write of this operation that is on its way cannot take
        effect then.
        """
        if stored.document != self._base.document:
            return False
        self._mod_revision = stored.mod_revision
        return True

    async def _wait(self) -> None:
        pause_ms = self._pause_ms * self._operator._rng.uniform(0.5, 1.0)
        self._pause_ms = min(2 * self._pause_ms, _MAX_PAUSE_MS)
        await self._operator._sleep(pause_ms / 1000)

    def _end(self, outcome: Outcome) -> ApplyResult:
        if outcome is Outcome.APPLIED:
            return dataclasses.replace(self._result, outcome=outcome)
        return dataclasses.replace(
            self._result,
            outcome=outcome,
            revision=self._base.revision,
            reason=self._reason,
            changes=(),
        )


def _judge(stored: Stored, apply_id: str, revision: int) -> Outcome:
    """Tell what became of the operation that was to write ``revision``."""
    document = stored.document
    if document is None:
        return Outcome.UNKNOWN
    recorded = document_lib.apply_id_at(document, revision)
    if recorded == apply_id:
        return Outcome.APPLIED
    return Outcome.UNKNOWN if recorded is None else Outcome.NOT_APPLIED


def differences(
    stored: Stored, file: loader.ConfigFile
) -> tuple[diff.Change, ...]:
    """Return what a file would change, nothing for the first file."""
    if stored.document is None:
        return ()
    return _compare_bodies(stored.document.body, file.body)


def _compare_bodies(old: str, new: str) -> tuple[diff.Change, ...]:
    """Compare two bodies; an unreadable one has no comparison."""
    try:
        return diff.compare(loader.parse(old), loader.parse(new))
    except errors.ConfigError:
        return ()
