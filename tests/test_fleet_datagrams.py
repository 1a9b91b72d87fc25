"""Requests between hosts by datagrams, if hosts restart or are slow."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from celerypulley.links.fleet_datagrams import FleetDatagrams, NoReplyError
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
