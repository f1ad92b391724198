"""Reloads the settings file after a signal or a change of the file."""

import asyncio
from collections.abc import Callable
import os

import cyclamenridge.errors as errors
from cyclamenridge.flow import log as log_port
from cyclamenridge.flow import settings as settings_lib
from cyclamenridge.ports import component

# The file may be replaced without a signal.
CHECK_INTERVAL_S = 1.0

# Fields that take effect without a restart.
_RELOADABLE_FIELDS = frozenset(
    {"seeds", "stop_ms", "warmup_overage", "warmup_slack"}
)

SettingsLoader = Callable[[str], settings_lib.FlowSettings]


class SettingsWatcher(component.Component):
    """Applies changed settings and logs those that need a restart."""

    def __init__(
        self,
        path: str,
        current: settings_lib.FlowSettings,
        *,
        load: SettingsLoader,
        apply: Callable[[settings_lib.FlowSettings], None],
        log: log_port.FlowLog,
    ) -> None:
        self._path = path
        self._current = current
        self._load = load
        self._apply = apply
        self._log = log
        self._last_stat = self._read_stat()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start checking the file for changes."""
        self._task = asyncio.get_running_loop().create_task(
            self._check_periodically(), name="settings"
        )

    async def stop(self) -> None:
        """Stop checking the file."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload(self) -> None:
        """Load and apply the file; invalid settings are logged and ignored."""
        self._last_stat = self._read_stat()
        try:
            new_settings = self._load(self._path)
        except errors.ConfigError as exc:
            self._log.process_event("settings_refused", error=str(exc))
            return
        changed_fields = [
            name
            for name in settings_lib.FlowSettings.__struct_fields__
            if getattr(new_settings, name) != getattr(self._current, name)
        ]
        self._current = new_settings
        self._apply(new_settings)
        self._log.process_event(
            "settings_read",
            applied=[
                name for name in changed_fields if name in _RELOADABLE_FIELDS
            ],
            at_next_start=[
                name
                for name in changed_fields
                if name not in _RELOADABLE_FIELDS
            ],
        )

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._read_stat() != self._last_stat:
                self.reload()

    def _read_stat(self) -> tuple[int, int, int] | None:
        try:
            stat = os.stat(self._path)
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
