"""Loopback TCP proxy that injects delay, loss and resets."""

import asyncio
import contextlib


class TcpProxy:
    """Forwards connections to a port of 127.0.0.1.

    :ivar delay_s: delay added to each chunk of data
    :ivar drop_answers: data from the target is dropped, also on new
        connections
    """

    def __init__(self, target_port):
        self.delay_s = 0.0
        self.drop_answers = False
        self.port = 0
        self._target_port = target_port
        self._server = None
        self._open = set()
        self._blackholed = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        self._server.close()
        self.reset()

    def reset(self):
        """Reset all open connections; new ones work."""
        for writer in self._open:
            writer.transport.abort()

    def blackhole(self):
        """Drop all data on the open connections for good; new ones work."""
        self._blackholed.update(self._open)

    async def _serve(self, reader, writer):
        try:
            back_reader, back_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._open.update((writer, back_writer))
        pumps = (
            asyncio.create_task(self._pump(reader, back_writer, False)),
            asyncio.create_task(self._pump(back_reader, writer, True)),
        )
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            for end in (writer, back_writer):
                self._open.discard(end)
                self._blackholed.discard(end)
                end.transport.abort()

    async def _pump(self, reader, writer, is_answer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if writer in self._blackholed or (
                    is_answer and self.drop_answers
                ):
                    continue
                writer.write(data)
                await writer.drain()
