"""Rereads the settings file after a signal or a change."""

import asyncio
from collections.abc import Callable
import os

import cyclamenridge.errors as errors
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import settings as settings_lib
from cyclamenridge.ports import component

# The file may change without a signal.
CHECK_S = 1.0

# Fields that can change while the process runs.
_APPLIED = frozenset({"seeds", "stop_ms"})

Loader = Callable[[str], settings_lib.FlowSettings]


class SettingsWatch(component.Component):
    """Applies what can change, and names what needs a restart."""

    def __init__(
        self,
        path: str,
        current: settings_lib.FlowSettings,
        *,
        load: Loader,
        apply: Callable[[settings_lib.FlowSettings], None],
        log: log_port.FlowLog,
    ) -> None:
        self._path = path
        self._current = current
        self._load = load
        self._apply = apply
        self._log = log
        self._stamp = self._stat()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Begin to look at the file."""
        self._task = asyncio.get_running_loop().create_task(
            self._run(), name="settings"
        )

    async def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload(self) -> None:
        """Read the file; settings that cannot be used change nothing."""
        self._stamp = self._stat()
        try:
            loaded = self._load(self._path)
        except errors.ConfigError as exc:
            self._log.process("settings_refused", error=str(exc))
            return
        changed = [
            name
            for name in settings_lib.FlowSettings.__struct_fields__
            if getattr(loaded, name) != getattr(self._current, name)
        ]
        self._current = loaded
        self._apply(loaded)
        self._log.process(
            "settings_read",
            applied=[name for name in changed if name in _APPLIED],
            at_next_start=[name for name in changed if name not in _APPLIED],
        )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            if self._stat() != self._stamp:
                self.reload()

    def _stat(self) -> tuple[int, int, int] | None:
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
