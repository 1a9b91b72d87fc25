"""The link to one peer host: requests out, replies back."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import aclosing

import attrs
from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.links.codec import CodecError
from celerypulley.links.frame_stream import FrameStream, LinkConditions
from celerypulley.links.peer_auth import (
    PeerRefusedError,
    make_nonce,
    make_proof,
    verify_proof,
)
from celerypulley.links.peer_messages import (
    Cancel,
    Challenge,
    Hello,
    Ping,
    Welcome,
)
from celerypulley.settings import Address

__all__ = ["PeerIdentity", "PeerLink", "PeerLinkError"]

_CONNECT_TIMEOUT_S = 1.0
_RECONNECT_DELAY_S = 0.25
_MAX_STALLED_PERIODS = 4
_log = DecisionLog("peer-link")


class PeerLinkError(Exception):
    """A request got no reply.

    `sent` tells whether the request may have reached the peer.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        """Set the message to `detail`; see the class for `sent`."""
        super().__init__(detail)
        self.sent = sent


@attrs.frozen
class PeerIdentity:
    """The name and domain of this host, and the secret that proves them to peers."""

    member: str
    domain: str
    secret: str


class PeerLink(Service):
    """Maintain one connection to one peer and send requests over it."""

    def __init__(
        self,
        identity: PeerIdentity,
        member: str,
        address: Address,
        conditions: LinkConditions,
    ) -> None:
        """Connect as `identity` to `member`, which listens on `address`."""
        super().__init__()
        self.identity = identity
        self.member = member
        self.address = address
        self.conditions = conditions
        self._stream_ids = itertools.count(1)
        self._reply_queues: dict[int, asyncio.Queue] = {}
        self._stream: FrameStream | None = None
        self._connected = asyncio.Event()
        self._stalled_periods = 0
        self._last_received_bytes = -1
        self._closed_sent_bytes = 0
        self._closed_received_bytes = 0

    @property
    def total_sent_bytes(self) -> int:
        """Return the bytes sent so far over all connections of this link."""
        current = self._stream.sent_bytes if self._stream else 0
        return self._closed_sent_bytes + current

    @property
    def total_received_bytes(self) -> int:
        """Return the bytes received so far over all connections of this link."""
        current = self._stream.received_bytes if self._stream else 0
        return self._closed_received_bytes + current

    @property
    def is_connected(self) -> bool:
        """Return whether the connection is established."""
        return self._stream is not None

    def send(self, message: object) -> None:
        """Send a message that has no reply; drop it if there is no connection."""
        if self._stream is not None:
            self._stream.send(next(self._stream_ids), message)

    async def request(self, message: object, timeout_ms: float) -> object:
        """Send a request and return its only reply; raise PeerLinkError."""
        replies = self._exchange(message, timeout_ms, sends_cancel=False)
        async with aclosing(replies):
            return await anext(replies)

    async def stream(self, message: object, timeout_ms: float) -> AsyncIterator[object]:
        """Send a request and yield its replies until the consumer stops.

        `timeout_ms` limits the wait for each reply. Raise PeerLinkError. A consumer
        that stops early cancels the request at the peer.
        """
        replies = self._exchange(message, timeout_ms, sends_cancel=True)
        async with aclosing(replies):
            async for reply in replies:
                yield reply

    async def _exchange(
        self, message: object, timeout_ms: float, sends_cancel: bool
    ) -> AsyncIterator[object]:
        stream = await self._wait_connected(timeout_ms)
        number = next(self._stream_ids)
        queue: asyncio.Queue = asyncio.Queue()
        self._reply_queues[number] = queue
        try:
            stream.send(number, message)
            await stream.drain()
            while True:
                reply = await asyncio.wait_for(queue.get(), timeout_ms / 1000)
                if reply is None:
                    raise PeerLinkError(
                        f"the connection to {self.member} broke", sent=True
                    )
                yield reply
        except TimeoutError:
            raise PeerLinkError(f"{self.member} did not reply in time", True) from None
        except OSError as error:
            raise PeerLinkError(f"{self.member}: {error}", sent=True) from error
        except (GeneratorExit, asyncio.CancelledError):
            if sends_cancel:
                stream.send(number, Cancel())
            raise
        finally:
            del self._reply_queues[number]

    async def _wait_connected(self, timeout_ms: float) -> FrameStream:
        wait_s = min(timeout_ms / 1000, _CONNECT_TIMEOUT_S)
        try:
            await asyncio.wait_for(self._connected.wait(), wait_s)
        except TimeoutError:
            raise PeerLinkError(f"no connection to {self.member}", sent=False) from None
        if self._stream is None:
            raise PeerLinkError(f"no connection to {self.member}", sent=False)
        return self._stream

    @Service.task
    async def _keep_connected(self) -> None:
        while not self.should_stop:
            try:
                await self._run_connection()
            except (OSError, TimeoutError, CodecError, PeerRefusedError) as error:
                _log.write("link down", repr(error), peer=self.member)
            finally:
                self._clear_connection()
            await self.sleep(_RECONNECT_DELAY_S)

    async def _run_connection(self) -> None:
        ip, port = self.address.ip, self.address.port
        connecting = asyncio.open_connection(ip, port, limit=1024 * 1024)
        reader, writer = await asyncio.wait_for(connecting, _CONNECT_TIMEOUT_S)
        stream = FrameStream(reader, writer, self.conditions)
        frames = stream.frames()
        try:
            await asyncio.wait_for(self._handshake(stream, frames), _CONNECT_TIMEOUT_S)
            self._stream = stream
            self._connected.set()
            async for number, reply in frames:
                queue = self._reply_queues.get(number)
                if queue is not None:
                    queue.put_nowait(reply)
        finally:
            self._closed_sent_bytes += stream.sent_bytes
            self._closed_received_bytes += stream.received_bytes
            stream.close()

    async def _handshake(self, stream: FrameStream, frames: AsyncIterator) -> None:
        own = self.identity
        challenge = await _receive(frames)
        if not isinstance(challenge, Challenge):
            raise CodecError("the peer did not send a challenge first")
        proof = make_proof(own.secret, "hello", own.member, own.domain, challenge.nonce)
        nonce = make_nonce()
        stream.send(0, Hello(own.member, own.domain, nonce, proof))
        welcome = await _receive(frames)
        if not isinstance(welcome, Welcome):
            raise PeerRefusedError("the peer did not reply with a welcome")
        expected = make_proof(
            own.secret, "welcome", welcome.member, welcome.domain, nonce
        )
        verify_proof(expected, welcome.proof)
        if welcome.member != self.member:
            raise PeerRefusedError(f"the peer at {self.address} is {welcome.member}")
        stream.peer_names = (welcome.member.partition("+")[0], welcome.domain)

    def check_stall(self) -> None:
        """Close a connection that delivers no data while replies are pending.

        Called once per period for every link of a host.
        """
        stream = self._stream
        if stream is None or not self._reply_queues:
            self._stalled_periods = 0
            return
        stalled = stream.received_bytes == self._last_received_bytes
        self._stalled_periods = self._stalled_periods + 1 if stalled else 0
        self._last_received_bytes = stream.received_bytes
        if self._stalled_periods >= _MAX_STALLED_PERIODS:
            _log.write("link closed", "no data while replies are due", peer=self.member)
            self._stalled_periods = 0
            stream.close()
            self._clear_connection()
            return
        if stalled:
            stream.send(0, Ping())

    def _clear_connection(self) -> None:
        self._stream = None
        self._connected.clear()
        for queue in self._reply_queues.values():
            queue.put_nowait(None)

    async def on_stop(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()


async def _receive(frames: AsyncIterator) -> object:
    """Return the next message; raise ConnectionError if the peer has closed."""
    async for _, message in frames:
        return message
    raise ConnectionError("the peer closed the connection during the handshake")
