"""Administration interface over HTTP."""

from collections.abc import Callable
from typing import Any

from aiohttp import web
import msgspec

from cyclamenridge import address as address_lib
from cyclamenridge import errors
from cyclamenridge.ports import component
from cyclamenridge.ports import metrics

_SHUTDOWN_TIMEOUT_S = 0.5

ReportSource = Callable[[], Any]


class AdminServer(component.Component):
    """Serves GET /status, /dump and /metrics, and POST /drain."""

    def __init__(
        self,
        bind: address_lib.Address,
        *,
        status: ReportSource,
        dump: ReportSource,
        drain: Callable[[], None],
        metrics_port: metrics.Metrics,
    ) -> None:
        self._bind = bind
        self._status = status
        self._dump = dump
        self._drain = drain
        self._metrics = metrics_port
        app = web.Application()
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/dump", self._get_dump)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_post("/drain", self._post_drain)
        self._runner = web.AppRunner(
            app,
            handle_signals=False,
            access_log=None,
            shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )

    @property
    def addresses(self) -> list[tuple[str, int]]:
        """Addresses that the server is bound to."""
        return list(self._runner.addresses)

    async def start(self) -> None:
        """Start listening on the admin address."""
        await self._runner.setup()
        site = web.TCPSite(
            self._runner,
            self._bind.host,
            self._bind.port,
        )
        try:
            await site.start()
        except OSError as exc:
            raise errors.ConfigError(
                f"cannot listen on admin address {self._bind}: {exc.strerror}"
            ) from exc

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self._runner.cleanup()

    async def _get_status(self, request: web.Request) -> web.Response:
        return _json_response(self._status())

    async def _get_dump(self, request: web.Request) -> web.Response:
        return _json_response(self._dump())

    async def _get_metrics(self, request: web.Request) -> web.Response:
        response = web.Response(body=self._metrics.render())
        response.headers["Content-Type"] = self._metrics.content_type
        return response

    async def _post_drain(self, request: web.Request) -> web.Response:
        self._drain()
        return _json_response(self._status())


def _json_response(report: Any) -> web.Response:
    builtin = msgspec.to_builtins(report, str_keys=True, enc_hook=str)
    return web.Response(
        body=msgspec.json.encode(builtin), content_type="application/json"
    )
