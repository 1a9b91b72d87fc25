"""Requests between hosts by datagrams, if hosts restart or are slow."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgpack
import pytest

from celerypulley.fleet.fleet_datagrams import FleetDatagrams, NoReplyError
from tests.fleet import free_udp_port

_LOOPBACK = "127.0.0.1"


@asynccontextmanager
async def _running_hosts(*names: str) -> AsyncIterator[list[FleetDatagrams]]:
    addresses = {name: (_LOOPBACK, free_udp_port()) for name in names}
    hosts = [
        FleetDatagrams(name, *address, addresses) for name, address in addresses.items()
    ]
    for host in hosts:
        await host.start()
    try:
        yield hosts
    finally:
        for host in hosts:
            await host.stop()


async def test_reply_to_an_earlier_start_is_taken_for_a_reservation():
    """A restarted host numbers its requests from the beginning again."""
    async with _running_hosts("a", "b") as (requester, responder):

        async def reserve(_sender: str, payload: list) -> list:
            if payload == ["of the earlier start"]:
                await asyncio.sleep(0.15)
                return ["granted"]
            await asyncio.Event().wait()
            return []

        responder.handlers["reserve"] = reserve
        earlier = asyncio.create_task(
            requester.request("b", "reserve", ["of the earlier start"])
        )
        await asyncio.sleep(0.02)
        earlier.cancel()
        await requester.stop()
        await asyncio.sleep(0)  # the socket closes in the next iteration of the loop
        restarted = FleetDatagrams(
            "a", requester.ip, requester.port, requester.addresses
        )
        await restarted.start()
        with pytest.raises(NoReplyError):
            await restarted.request("b", "reserve", ["of this start"])
        await restarted.stop()


@pytest.mark.parametrize("reply_after_s", [0.0, 0.4, 0.6])
async def test_slow_reply_is_taken_for_no_reply(reply_after_s):
    """A responder that is at work says so when the request is resent."""
    async with _running_hosts("a", "b") as (requester, responder):
        received = []

        async def reserve(_sender: str, payload: list) -> list:
            received.append(payload)
            await asyncio.sleep(reply_after_s)
            return ["granted"]

        responder.handlers["reserve"] = reserve
        assert await requester.request("b", "reserve", ["turn"]) == ["granted"]
        assert received == [["turn"]]


async def test_request_waits_for_a_dead_host_as_long_as_for_a_slow_one():
    async with _running_hosts("a", "b") as (requester, responder):
        await responder.stop()
        sent: list[str] = []
        requester._send_packet = lambda host, _message: sent.append(host)
        with pytest.raises(NoReplyError, match="nothing was heard for 240 ms"):
            await requester.request("b", "reserve", ["turn"])
        assert len(sent) == 6


async def test_request_that_is_never_answered_waits_for_ever():
    async with _running_hosts("a", "b") as (requester, responder):

        async def never_reply(_sender: str, _payload: list) -> list:
            await asyncio.Event().wait()
            return []

        responder.handlers["reserve"] = never_reply
        with pytest.raises(NoReplyError):
            await requester.request("b", "reserve", ["turn"])


@pytest.mark.parametrize("identifier", [7, "x", [[]], [1, {}]])
async def test_malformed_identifier_is_an_unhandled_exception(identifier):
    async with _running_hosts("a") as (host,):
        host.handlers["reserve"] = lambda _sender, _payload: None
        for kind in ("reserve", "reply", "in progress"):
            raw = msgpack.packb((kind, "b", identifier, []))
            host.datagram_received(raw, (_LOOPBACK, 1))
        assert not host._tasks
