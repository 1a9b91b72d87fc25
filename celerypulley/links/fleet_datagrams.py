"""Datagrams between hosts: messages that may be lost, and requests with replies."""

import asyncio
import secrets
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import msgpack
from mode import Service

from celerypulley.decision_log import DecisionLog

__all__ = ["FleetDatagrams", "NoReplyError"]

_RESEND_INTERVAL_MS = 40.0  # ten round trips between failure domains
_REQUEST_TIMEOUT_MS = 440.0  # over twice a responder's wait for the store, 200 ms
_MAX_CACHED_REPLIES = 2_000  # one second of requests at the busiest host
_log = DecisionLog("datagrams")

Handler = Callable[[str, list], Awaitable[list] | None]


class NoReplyError(Exception):
    """No reply arrived in time; the request may have been processed."""


class FleetDatagrams(Service, asyncio.DatagramProtocol):
    """One UDP socket, with a handler for each kind of message.

    A message is [kind, sender, identifier, payload]. Only requests and their replies
    have an identifier, the requester's instance and a number. A request is resent until
    its reply arrives or it times out; the responder caches replies, so that it
    processes a request once.
    """

    def __init__(
        self, host: str, ip: str, port: int, addresses: dict[str, tuple[str, int]]
    ) -> None:
        """Listen on `ip` and `port` as `host`.

        `addresses` maps host names to addresses; the member list keeps it up to date.
        """
        super().__init__()
        self.host = host
        self.ip = ip
        self.port = port
        self.addresses = addresses
        self.instance_id = secrets.token_hex(4)
        self.handlers: dict[str, Handler] = {}
        self.bytes_sent = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._last_number = 0
        self._pending: dict[int, asyncio.Future] = {}
        self._cached_replies: OrderedDict[tuple, bytes | None] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()

    async def on_start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )

    async def on_stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Do nothing: the socket closes with the process."""

    def error_received(self, exc: Exception) -> None:
        """Do nothing: a host that is down is detected by its missing messages."""

    def send(self, host: str, kind: str, payload: list) -> None:
        """Send a message that may be lost."""
        self._send_packet(host, msgpack.packb((kind, self.host, None, payload)))

    def broadcast(self, kind: str, payload: list) -> None:
        """Send a message to every other member."""
        message = msgpack.packb((kind, self.host, None, payload))
        for host in self.addresses:
            if host != self.host:
                self._send_packet(host, message)

    async def request(self, host: str, kind: str, payload: list) -> list:
        """Send a request and return its reply; raise NoReplyError."""
        self._last_number += 1
        number = self._last_number
        message = msgpack.packb((kind, self.host, (self.instance_id, number), payload))
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            for _ in range(int(_REQUEST_TIMEOUT_MS / _RESEND_INTERVAL_MS)):
                self._send_packet(host, message)
                await asyncio.wait([reply], timeout=_RESEND_INTERVAL_MS / 1000)
                if reply.done():
                    return reply.result()
        finally:
            del self._pending[number]
        raise NoReplyError(f"{host} did not reply within {_REQUEST_TIMEOUT_MS:.0f} ms")

    def _send_packet(self, host: str, message: bytes) -> None:
        address = self.addresses.get(host)
        if self._transport is None or address is None:
            return
        self.bytes_sent += len(message)
        self._transport.sendto(message, tuple(address))

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Pass a message to its handler; drop one that cannot be decoded."""
        try:
            kind, sender, identifier, payload = msgpack.unpackb(data)
            if kind == "reply":
                self._receive_reply(identifier, payload)
                return
            handler = self.handlers[kind]
        except (ValueError, KeyError, TypeError, msgpack.UnpackException) as error:
            _log.write("datagram dropped", f"unreadable: {error!r}", sender=addr[0])
            return
        if identifier is None:
            self._handle_message(handler, sender, payload)
            return
        request_id = (sender, *identifier)
        if request_id in self._cached_replies:
            self._send_reply(sender, self._cached_replies[request_id])
            return
        self._cached_replies[request_id] = None
        while len(self._cached_replies) > _MAX_CACHED_REPLIES:
            self._cached_replies.popitem(last=False)
        task = asyncio.create_task(self._handle_request(handler, request_id, payload))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle_message(self, handler: Handler, sender: str, payload: list) -> None:
        try:
            handler(sender, payload)
        except (ValueError, TypeError, AttributeError) as error:
            _log.write("message dropped", f"invalid payload: {error!r}", sender=sender)

    async def _handle_request(
        self, handler: Handler, request_id: tuple, payload: list
    ) -> None:
        sender, *identifier = request_id
        try:
            reply = await handler(sender, payload)
        except (ValueError, TypeError, AttributeError) as error:
            _log.write("request dropped", f"invalid payload: {error!r}", sender=sender)
            return
        message = msgpack.packb(("reply", self.host, identifier, reply))
        self._cached_replies[request_id] = message
        self._send_reply(sender, message)

    def _send_reply(self, host: str, message: bytes | None) -> None:
        if message is not None:
            self._send_packet(host, message)

    def _receive_reply(self, identifier: list, payload: list) -> None:
        """Store a reply; ignore one to a request of an earlier start of this host."""
        instance_id, number = identifier
        reply = self._pending.get(number)
        if instance_id != self.instance_id or reply is None or reply.done():
            return
        reply.set_result(payload)
