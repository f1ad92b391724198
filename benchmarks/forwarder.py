"""Bare asyncio datagram forwarders, the baselines of ``datapath``."""

import asyncio
import collections
from typing import Annotated
from typing import cast

import typer

from cyclamenridge.adapters import udp
import cyclamenridge.address as address_lib

_MAX_BYTES = 1472


class _Forwarder(asyncio.DatagramProtocol):
    def __init__(self, dest: tuple[str, int]) -> None:
        self._dest = dest
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        assert self._transport is not None
        self._transport.sendto(data, self._dest)


async def _run(
    listen: address_lib.Address, dest: address_lib.Address, batch: bool
) -> None:
    if batch:
        endpoint = udp.UdpDatagrams(
            listen,
            name="bare",
            max_bytes=_MAX_BYTES,
            counters=collections.Counter(),
        )
        endpoint.open(lambda source, data: endpoint.send(dest, data))
    else:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: _Forwarder(dest.as_tuple()), local_addr=listen.as_tuple()
        )
    print("ready", flush=True)
    await asyncio.Event().wait()


def main(
    *,
    listen: Annotated[str, typer.Option(help="HOST:PORT to bind.")],
    dest: Annotated[str, typer.Option(help="HOST:PORT to send to.")],
    batch: Annotated[
        bool, typer.Option(help="Use the socket adapter of the balancer.")
    ] = False,
) -> None:
    """Forward each received datagram to one destination."""
    asyncio.run(
        _run(
            address_lib.Address.parse(listen),
            address_lib.Address.parse(dest),
            batch,
        )
    )


if __name__ == "__main__":
    typer.run(main)
