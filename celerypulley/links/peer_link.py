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
    proof_of,
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

__all__ = ["LinkError", "PeerIdentity", "PeerLink"]

_CONNECT_TIMEOUT_S = 1.0
_RETRY_S = 0.25
_SILENT_PERIODS = 4
_log = DecisionLog("peer-link")


class LinkError(Exception):
    """No reply came.

    `sent` says whether the request may have reached the peer.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        """Keep what happened and whether the request may have got through."""
        super().__init__(detail)
        self.sent = sent


@attrs.frozen
class PeerIdentity:
    """What this host shows to its peers."""

    member: str
    domain: str
    secret: str


class PeerLink(Service):
    """Keep one connection to one peer and carry requests over it."""

    def __init__(
        self,
        identity: PeerIdentity,
        member: str,
        address: Address,
        conditions: LinkConditions,
    ) -> None:
        """Link to `member`, who listens on `address`."""
        super().__init__()
        self.identity = identity
        self.member = member
        self.address = address
        self.conditions = conditions
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Queue] = {}
        self._stream: FrameStream | None = None
        self._connected = asyncio.Event()
        self._silent_periods = 0
        self._seen_bytes = -1
        self._closed_sent_bytes = 0
        self._closed_received_bytes = 0

    @property
    def total_sent_bytes(self) -> int:
        """Return the bytes sent over this link's connections so far."""
        current = self._stream.sent_bytes if self._stream else 0
        return self._closed_sent_bytes + current

    @property
    def total_received_bytes(self) -> int:
        """Return the bytes received over this link's connections so far."""
        current = self._stream.received_bytes if self._stream else 0
        return self._closed_received_bytes + current

    @property
    def is_up(self) -> bool:
        """Return whether the connection stands."""
        return self._stream is not None

    def tell(self, item: object) -> None:
        """Send a message that has no reply, if the connection stands."""
        if self._stream is not None:
            self._stream.send(next(self._numbers), item)

    async def request(self, item: object, timeout_ms: float) -> object:
        """Send a request and return its only reply; raise LinkError."""
        replies = self._replies_to(item, timeout_ms, cancels=False)
        async with aclosing(replies):
            return await anext(replies)

    async def stream(self, item: object, timeout_ms: float) -> AsyncIterator[object]:
        """Send a request and yield its replies until the reader stops.

        `timeout_ms` is the longest wait for each reply. Raise LinkError. A
        reader that stops early cancels the request at the peer.
        """
        replies = self._replies_to(item, timeout_ms, cancels=True)
        async with aclosing(replies):
            async for reply in replies:
                yield reply

    async def _replies_to(
        self, item: object, timeout_ms: float, cancels: bool
    ) -> AsyncIterator[object]:
        stream = await self._wait_connected(timeout_ms)
        number = next(self._numbers)
        queue: asyncio.Queue = asyncio.Queue()
        self._replies[number] = queue
        try:
            stream.send(number, item)
            await stream.drain()
            while True:
                reply = await asyncio.wait_for(queue.get(), timeout_ms / 1000)
                if reply is None:
                    raise LinkError(f"the link to {self.member} broke", sent=True)
                yield reply
        except TimeoutError:
            raise LinkError(f"{self.member} did not reply in time", True) from None
        except OSError as error:
            raise LinkError(f"{self.member}: {error}", sent=True) from error
        except (GeneratorExit, asyncio.CancelledError):
            if cancels:
                stream.send(number, Cancel())
            raise
        finally:
            del self._replies[number]

    async def _wait_connected(self, timeout_ms: float) -> FrameStream:
        wait_s = min(timeout_ms / 1000, _CONNECT_TIMEOUT_S)
        try:
            await asyncio.wait_for(self._connected.wait(), wait_s)
        except TimeoutError:
            raise LinkError(f"no link to {self.member}", sent=False) from None
        if self._stream is None:
            raise LinkError(f"no link to {self.member}", sent=False)
        return self._stream

    @Service.task
    async def _run(self) -> None:
        while not self.should_stop:
            try:
                await self._carry()
            except (OSError, TimeoutError, CodecError, PeerRefusedError) as error:
                _log.write("link down", repr(error), peer=self.member)
            finally:
                self._drop_connection()
            await self.sleep(_RETRY_S)

    async def _carry(self) -> None:
        ip, port = self.address.ip, self.address.port
        connecting = asyncio.open_connection(ip, port, limit=1024 * 1024)
        reader, writer = await asyncio.wait_for(connecting, _CONNECT_TIMEOUT_S)
        stream = FrameStream(reader, writer, self.conditions)
        frames = stream.frames()
        try:
            await asyncio.wait_for(self._greet(stream, frames), _CONNECT_TIMEOUT_S)
            self._stream = stream
            self._connected.set()
            async for number, reply in frames:
                queue = self._replies.get(number)
                if queue is not None:
                    queue.put_nowait(reply)
        finally:
            self._closed_sent_bytes += stream.sent_bytes
            self._closed_received_bytes += stream.received_bytes
            stream.close()

    async def _greet(self, stream: FrameStream, frames: AsyncIterator) -> None:
        me = self.identity
        _, challenge = await anext(frames)
        if not isinstance(challenge, Challenge):
            raise CodecError("the peer did not begin with a challenge")
        proof = proof_of(me.secret, "hello", me.member, me.domain, challenge.nonce)
        nonce = make_nonce()
        stream.send(0, Hello(me.member, me.domain, nonce, proof))
        _, welcome = await anext(frames)
        if not isinstance(welcome, Welcome):
            raise PeerRefusedError("the peer did not welcome this host")
        expected = proof_of(me.secret, "welcome", welcome.member, welcome.domain, nonce)
        verify_proof(expected, welcome.proof)
        if welcome.member != self.member:
            raise PeerRefusedError(f"{self.address} is {welcome.member}")
        stream.peer_names = (welcome.member.partition("+")[0], welcome.domain)

    def check_silence(self) -> None:
        """Give up a connection that carries nothing back while replies are due.

        Called once a period for every link of a host.
        """
        stream = self._stream
        if stream is None or not self._replies:
            self._silent_periods = 0
            return
        silent = stream.received_bytes == self._seen_bytes
        self._silent_periods = self._silent_periods + 1 if silent else 0
        self._seen_bytes = stream.received_bytes
        if self._silent_periods >= _SILENT_PERIODS:
            _log.write("link given up", "nothing comes back", peer=self.member)
            self._silent_periods = 0
            stream.close()
            self._drop_connection()
            return
        if silent:
            stream.send(0, Ping())

    def _drop_connection(self) -> None:
        self._stream = None
        self._connected.clear()
        for queue in self._replies.values():
            queue.put_nowait(None)

    async def on_stop(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.close()
