"""A proxy whose open channels can go silent without a reset, while new ones work."""

import asyncio
from contextlib import suppress

import attrs

from celerypulley.settings import Address

__all__ = ["SilencingProxy"]

_READ_BYTES = 65_536


@attrs.define(eq=False)
class _Channel:
    """The two ends of one channel, and whether it still delivers."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    is_silent: bool = False


class SilencingProxy:
    """Forwards channels to one address."""

    def __init__(self, address: Address, target: Address) -> None:
        """Listen on `address` once started, and connect to `target`."""
        self.address = address
        self.target = target
        self._channels: set[_Channel] = set()
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> "SilencingProxy":
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.address.ip, self.address.port
        )
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Stop listening, and abort all channels."""
        assert self._server is not None, "the proxy has been started"
        self._server.close()
        for channel in list(self._channels):
            channel.near.transport.abort()
            channel.far.transport.abort()

    def silence_open(self) -> int:
        """Deliver nothing more on the channels that are open; return their count."""
        for channel in self._channels:
            channel.is_silent = True
        return len(self._channels)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.target.ip, self.target.port
            )
        except OSError:
            writer.transport.abort()
            return
        channel = _Channel(writer, far_writer)
        self._channels.add(channel)
        await asyncio.gather(
            self._forward(channel, reader, far_writer),
            self._forward(channel, far_reader, writer),
        )
        self._channels.discard(channel)

    async def _forward(
        self,
        channel: _Channel,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                if channel.is_silent:
                    continue
                writer.write(data)
                await writer.drain()
        if not channel.is_silent:
            writer.close()
