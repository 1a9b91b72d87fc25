"""The server of peer links, with one task for each connection."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

from mode import Service

from celerypulley.decision_log import DecisionLog
from celerypulley.errors import CallRefusedError, ErrorKind, Refusal
from celerypulley.links.codec import CodecError
from celerypulley.links.frame_stream import FrameStream, LinkConditions
from celerypulley.links.peer_auth import (
    PeerRefusedError,
    make_nonce,
    make_proof,
    verify_proof,
)
from celerypulley.links.peer_link import PeerIdentity
from celerypulley.links.peer_messages import (
    Cancel,
    Challenge,
    Hello,
    Ping,
    Pong,
    Refused,
    Welcome,
)
from celerypulley.settings import Address

__all__ = ["PeerCall", "PeerServer", "refused_message"]

_HANDSHAKE_TIMEOUT_S = 2.0
_log = DecisionLog("peer-server")


class PeerCall:
    """One request of a peer, to which replies can be sent."""

    def __init__(self, stream: FrameStream, stream_id: int, message: object) -> None:
        """Reply to `message`, which arrived as stream `stream_id`."""
        self.stream = stream
        self.stream_id = stream_id
        self.message = message
        self.peer = stream.peer_member

    async def reply(self, message: object) -> None:
        """Send one reply; raise OSError if the peer has disconnected."""
        self.stream.send(self.stream_id, message)
        await self.stream.drain()


def refused_message(refusal: Refusal) -> Refused:
    """Return a refusal as a message to a peer."""
    return Refused(
        refusal.kind.value, refusal.detail, refusal.run.value, refusal.retry_after_s
    )


class PeerServer(Service):
    """Accept peers that know the shared secret and dispatch their requests."""

    def __init__(
        self,
        identity: PeerIdentity,
        address: Address,
        conditions: LinkConditions,
        handle: Callable[[PeerCall], Awaitable[None]],
    ) -> None:
        """Listen on `address` as `identity`; `handle` replies to each request."""
        super().__init__()
        self.identity = identity
        self.address = address
        self.conditions = conditions
        self.handle = handle
        self.received_bytes = 0
        self.sent_bytes = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._streams: set[FrameStream] = set()

    async def on_start(self) -> None:
        """Open the listening socket."""
        self._server = await asyncio.start_server(
            self._serve_connection,
            self.address.ip,
            self.address.port,
            limit=1024 * 1024,
        )

    async def on_stop(self) -> None:
        """Close the socket and all connections, and cancel the tasks of requests."""
        if self._server is not None:
            self._server.close()
        for stream in list(self._streams):
            stream.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = FrameStream(reader, writer, self.conditions)
        self._streams.add(stream)
        calls: dict[int, asyncio.Task] = {}
        frames = stream.frames()
        try:
            await asyncio.wait_for(
                self._handshake(stream, frames), _HANDSHAKE_TIMEOUT_S
            )
            async for number, message in frames:
                if isinstance(message, Cancel):
                    self._cancel_call(calls, number)
                    continue
                if isinstance(message, Ping):
                    stream.send(number, Pong())
                    continue
                self._start_call(calls, PeerCall(stream, number, message))
        except (OSError, TimeoutError, CodecError, PeerRefusedError) as error:
            _log.write(
                "peer connection closed", repr(error), peer=stream.peer_names or "-"
            )
        except StopAsyncIteration:
            _log.write("peer connection closed", "the peer left during the handshake")
        finally:
            self._streams.discard(stream)
            self.received_bytes += stream.received_bytes
            self.sent_bytes += stream.sent_bytes
            stream.close()
            for number in list(calls):
                self._cancel_call(calls, number)

    def _start_call(self, calls: dict[int, asyncio.Task], call: PeerCall) -> None:
        task = asyncio.create_task(self._run_call(call))
        calls[call.stream_id] = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: calls.pop(call.stream_id, None))

    @staticmethod
    def _cancel_call(calls: dict[int, asyncio.Task], stream_id: int) -> None:
        task = calls.pop(stream_id, None)
        if task is not None:
            task.cancel()

    async def _run_call(self, call: PeerCall) -> None:
        try:
            await self.handle(call)
        except CallRefusedError as error:
            await self._send_refusal(call, error.refusal)
        except OSError as error:
            _log.write("reply not sent", repr(error), peer=call.peer)
        except Exception as error:
            self.log.exception("peer request failed: %r", error)
            detail = f"unexpected error at the peer: {type(error).__name__}"
            refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, detail)
            await self._send_refusal(call, refusal)

    async def _send_refusal(self, call: PeerCall, refusal: Refusal) -> None:
        try:
            await call.reply(refused_message(refusal))
        except OSError as error:
            _log.write("reply not sent", repr(error), peer=call.peer)

    async def _handshake(self, stream: FrameStream, frames: AsyncIterator) -> None:
        own = self.identity
        nonce = make_nonce()
        stream.send(0, Challenge(nonce))
        _, hello = await anext(frames)
        if not isinstance(hello, Hello):
            raise PeerRefusedError("the peer did not send a hello")
        expected = make_proof(own.secret, "hello", hello.member, hello.domain, nonce)
        verify_proof(expected, hello.proof)
        proof = make_proof(own.secret, "welcome", own.member, own.domain, hello.nonce)
        stream.send(0, Welcome(own.member, own.domain, proof))
        stream.peer_member = hello.member
        stream.peer_names = (hello.member.partition("+")[0], hello.domain)
