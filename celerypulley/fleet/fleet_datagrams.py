"""Datagrams between hosts: messages that may be lost, and requests with replies."""

import asyncio
import secrets
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable, Iterable, Mapping

import attrs
import msgpack
from mode import Service

from celerypulley.decision_log import DecisionLog

__all__ = ["FleetDatagrams", "NoReplyError"]

_RESEND_INTERVAL_MS = 40.0  # ten round trips between failure domains
# A host that is still working on a request says so each time the request is resent.
_MAX_SENDS_UNHEARD = 6  # 240 ms
_MAX_SENDS = 20  # 800 ms, more than a responder's wait for the store, 600 ms
_REPLY = "reply"
_IN_PROGRESS = "in progress"
_MAX_CACHED_REPLIES = 2_000  # one second of requests at the busiest host
# A message to every host waits behind no more than this on a link of 15 Mbit/s, 2 ms.
_MAX_BURST_BYTES = 3_750
_HEADER_BYTES = 28  # of IPv4 and UDP
_BURST_INTERVAL_S = 0.01
_log = DecisionLog("datagrams")

Handler = Callable[[str, list], Awaitable[list] | None]


class NoReplyError(Exception):
    """No reply arrived in time; the request may have been processed."""


@attrs.define(eq=False)
class _PendingRequest:
    """A request without a reply, and the times it was sent since its host was heard."""

    reply: asyncio.Future
    sends_unheard: int = 0


class FleetDatagrams(Service, asyncio.DatagramProtocol):
    """One UDP socket, with a handler for each kind of message.

    A message is [kind, sender, identifier, payload]. Only requests and their replies
    have an identifier, the requester's instance and a number. A request is resent until
    its reply arrives or it times out; the responder caches replies, so that it
    processes a request once.
    """

    def __init__(
        self,
        host: str,
        ip: str,
        port: int,
        addresses: dict[str, tuple[str, int]],
        storage_addresses: Mapping[str, tuple[str, int]] | None = None,
    ) -> None:
        """Listen on `ip` and `port` as `host`.

        `addresses` maps the names of hosts to addresses, and `storage_addresses` those
        of storage hosts, to which no message is broadcast. The member list keeps both
        up to date.
        """
        super().__init__()
        self.host = host
        self.ip = ip
        self.port = port
        self.addresses = addresses
        self.storage_addresses = {} if storage_addresses is None else storage_addresses
        self.instance_id = secrets.token_hex(4)
        self.handlers: dict[str, Handler] = {}
        self.bytes_sent = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._last_number = 0
        self._pending: dict[int, _PendingRequest] = {}
        self._cached_replies: OrderedDict[tuple, bytes] = OrderedDict()
        self._tasks: set[asyncio.Task] = set()
        self._broadcasts: deque[tuple[str, bytes]] = deque()
        self._has_broadcasts = asyncio.Event()

    async def on_start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self.ip, self.port)
        )

    async def on_stop(self) -> None:
        """Send the broadcasts that wait, and close the socket."""
        while self._broadcasts:
            self.send_burst()
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
        """Send a message to every other member, in bursts that leave links free."""
        self.multicast(self.addresses, kind, payload)

    def multicast(
        self, hosts: Iterable[str], kind: str, payload: list, origin: str = ""
    ) -> None:
        """Send a message to `hosts` but this one, in bursts that leave links free.

        `origin` is the host that wrote the message, if it is another one.
        """
        message = msgpack.packb((kind, origin or self.host, None, payload))
        for host in hosts:
            if host not in (self.host, origin):
                self._broadcasts.append((host, message))
        self._has_broadcasts.set()

    def send_burst(self) -> None:
        """Send as many of the waiting broadcasts as one burst may hold."""
        burst_bytes = 0
        while self._broadcasts:
            host, message = self._broadcasts[0]
            size = len(message) + _HEADER_BYTES
            if burst_bytes and burst_bytes + size > _MAX_BURST_BYTES:
                return
            burst_bytes += size
            self._broadcasts.popleft()
            self._send_packet(host, message)

    @Service.task
    async def _send_broadcasts(self) -> None:
        while not self.should_stop:
            await self._has_broadcasts.wait()
            self.send_burst()
            if not self._broadcasts:
                self._has_broadcasts.clear()
            await asyncio.sleep(_BURST_INTERVAL_S)

    async def request(self, host: str, kind: str, payload: list) -> list:
        """Send a request and return its reply; raise NoReplyError."""
        self._last_number += 1
        number = self._last_number
        message = msgpack.packb((kind, self.host, (self.instance_id, number), payload))
        pending = _PendingRequest(asyncio.get_running_loop().create_future())
        self._pending[number] = pending
        try:
            for _ in range(_MAX_SENDS):
                self._send_packet(host, message)
                pending.sends_unheard += 1
                await asyncio.wait([pending.reply], timeout=_RESEND_INTERVAL_MS / 1000)
                if pending.reply.done():
                    return pending.reply.result()
                if pending.sends_unheard >= _MAX_SENDS_UNHEARD:
                    break
        finally:
            del self._pending[number]
        unheard_ms = pending.sends_unheard * _RESEND_INTERVAL_MS
        raise NoReplyError(
            f"{host} did not reply; nothing was heard for {unheard_ms:.0f} ms"
        )

    def _send_packet(self, host: str, message: bytes) -> None:
        address = self.addresses.get(host) or self.storage_addresses.get(host)
        if self._transport is None or address is None:
            return
        self.bytes_sent += len(message)
        self._transport.sendto(message, tuple(address))

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Pass a message to its handler; drop one that cannot be decoded."""
        try:
            kind, sender, identifier, payload = msgpack.unpackb(data)
            if kind in (_REPLY, _IN_PROGRESS):
                self._receive_reply(kind, identifier, payload)
                return
            handler = self.handlers[kind]
            if identifier is None:
                self._handle_message(handler, sender, payload)
                return
            instance_id, number = identifier
            request_id = (sender, instance_id, number)
            cached_reply = self._cached_replies.get(request_id)
        except (ValueError, KeyError, TypeError, msgpack.UnpackException) as error:
            _log.write("datagram dropped", f"unreadable: {error!r}", sender=addr[0])
            return
        if cached_reply is not None:
            self._send_packet(sender, cached_reply)
            return
        self._cached_replies[request_id] = msgpack.packb(
            (_IN_PROGRESS, self.host, identifier, None)
        )
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
        message = msgpack.packb((_REPLY, self.host, identifier, reply))
        self._cached_replies[request_id] = message
        self._send_packet(sender, message)

    def _receive_reply(self, kind: str, identifier: list, payload: list) -> None:
        """Store a reply; ignore one to a request of an earlier start of this host."""
        instance_id, number = identifier
        pending = self._pending.get(number)
        if instance_id != self.instance_id or pending is None:
            return
        pending.sends_unheard = 0
        if kind == _REPLY and not pending.reply.done():
            pending.reply.set_result(payload)
