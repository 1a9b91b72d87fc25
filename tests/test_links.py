"""Contracts of the links to peers, the key-value store and engines."""

import asyncio

import aiohttp
import msgpack
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celerypulley.errors import CallRefusedError
from celerypulley.links import peer_messages
from celerypulley.links.codec import CodecError, decode, encode, from_wire
from celerypulley.links.cuts import CutTable
from celerypulley.links.peer_messages import Hello, Ping, RunTurn
from celerypulley.links.platform_link import (
    PlatformLink,
    PlatformUnavailableError,
    WatchCompactedError,
)
from celerypulley.programs.chat import CompletionReader, read_chat_request
from celerypulley.stand_ins.kv import EtcdStore, make_kv_app
from tests.harness import ManualClock, run_clock, running_deployment, start_app


@given(
    st.recursive(
        st.none() | st.integers(-5, 60) | st.text(max_size=5) | st.binary(max_size=5),
        lambda inner: st.lists(inner, max_size=9),
        max_leaves=30,
    )
)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_no_frame_gets_past_the_codec_unchecked(frame: object) -> None:
    try:
        _, message = decode(frame)
    except CodecError:
        return
    assert type(message).__name__ in (*peer_messages.__all__, *_record_names())


def _record_names() -> list[str]:
    from celerypulley.programs import records

    return list(records.__all__)


def test_message_round_trip() -> None:
    message = RunTurn("p", "kiosk", None, "", True, b"{}", "id")
    assert decode(msgpack.unpackb(encode(7, message))) == (7, message)
    with pytest.raises(CodecError, match="RunTurn.turn"):
        from_wire([10, "p", "kiosk", "one", "", True, b"{}", "id"])


BAD_GREETINGS = [
    ("no hello", Ping()),
    ("a wrong proof", Hello("h9+0", "north", b"n", b"\0" * 32)),
]


@pytest.mark.parametrize(("name", "greeting"), BAD_GREETINGS)
async def test_peer_port_answers_nobody_without_the_secret(
    name: str, greeting: object
) -> None:
    async with running_deployment() as deployment:
        address = deployment.hosts[0].settings.peer_address
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        await reader.read(1_000)
        forged = RunTurn("", "kiosk", None, "", False, b"{}", "forged")
        writer.write(encode(0, greeting) + encode(1, forged))
        received = await asyncio.wait_for(reader.read(1_000), 20)
        assert received == b""
        writer.close()


class RunningStore:
    """A link to a running stand-in of the key-value store."""

    def __init__(self, link: PlatformLink, session: aiohttp.ClientSession) -> None:
        self.link = link
        self.session = session

    async def set_faults(self, **faults: object) -> None:
        url = self.link.base_url + "/faults"
        async with self.session.post(url, json=faults) as response:
            assert response.status == 200


async def run_with_store(check: object) -> None:
    runner, address = await start_app(
        make_kv_app(run_clock(), seed=1, max_history_events=50)
    )
    async with aiohttp.ClientSession() as session:
        link = PlatformLink(f"http://{address}", session, CutTable())
        await check(RunningStore(link, session))
    await runner.cleanup()


async def test_write_takes_effect_only_at_the_revision_that_was_read() -> None:
    async def check(kv: RunningStore) -> None:
        assert await kv.link.write_if("k", b"1", 0)
        assert not await kv.link.write_if("k", b"2", 0)
        item = await kv.link.read("k")
        assert item.value == b"1"
        assert await kv.link.write_if("k", b"2", item.revision)
        assert not await kv.link.write_if("k", b"3", item.revision)
        attempts = [kv.link.write_if("race", b"%d" % n, 0) for n in range(20)]
        assert sum(await asyncio.gather(*attempts)) == 1

    await run_with_store(check)


async def test_lost_response_is_resolved_by_reading_back() -> None:
    async def check(kv: RunningStore) -> None:
        await kv.set_faults(lose_answer_share=1.0)
        with pytest.raises(PlatformUnavailableError):
            await kv.link.write_if("k", b"1", 0)
        await kv.set_faults()
        assert (await kv.link.read("k")).value == b"1"

    await run_with_store(check)


async def test_watch_yields_changes_in_order_and_fails_in_an_outage() -> None:
    async def check(kv: RunningStore) -> None:
        received = []

        async def follow() -> None:
            async for batch in kv.link.watch("a/", 1):
                received.extend((item.key, item.value) for item in batch)

        task = asyncio.create_task(follow())
        for number in range(5):
            await kv.link.write_if(f"a/{number}", b"x", 0)
            await kv.link.write_if(f"b/{number}", b"x", 0)
        while len(received) < 5:
            await asyncio.sleep(0.01)
        assert received == [(f"a/{number}", b"x") for number in range(5)]
        await kv.set_faults(down=True)
        with pytest.raises(PlatformUnavailableError):
            await task
        with pytest.raises(PlatformUnavailableError):
            await kv.link.read("a/0")

    await run_with_store(check)


def test_expired_lease_removes_its_keys_and_watches_see_it() -> None:
    clock = ManualClock()
    store = EtcdStore(clock.clock)
    lease = store.grant(1_000)
    store.put("k", b"1", lease)
    clock.advance(900)
    assert store.renew(lease) == 1_000
    clock.advance(999)
    store.expire_leases()
    assert "k" in store.items
    clock.advance(2)
    store.expire_leases()
    assert "k" not in store.items and store.renew(lease) == 0.0
    assert [change[1:] for change in store.changes_from(2)] == [
        ("k", b"1"),
        ("k", None),
    ]


async def test_watch_behind_the_kept_history_is_refused() -> None:
    async def check(kv: RunningStore) -> None:
        for number in range(60):
            await kv.link.write_if(f"a/{number}", b"x", 0)
        with pytest.raises(WatchCompactedError):
            async for _ in kv.link.watch("a/", 2):
                pass

    await run_with_store(check)


def sse_event(content: str, finish: str | None = None) -> bytes:
    choice = {"delta": {"content": content} if content else {}, "finish_reason": finish}
    return b"data: " + orjson.dumps({"id": "r", "choices": [choice]}) + b"\n\n"


STREAM = (
    sse_event("one") + sse_event(" two") + sse_event("", "stop") + b"data: [DONE]\n\n"
)


@pytest.mark.parametrize("size", [1, 2, 7, 50, 10_000])
def test_stream_is_read_once_whatever_its_pieces(size: int) -> None:
    reader = CompletionReader(10)
    forwarded = b"".join(
        reader.feed(STREAM[start : start + size])
        for start in range(0, len(STREAM), size)
    )
    assert forwarded == sse_event("one") + sse_event(" two")
    assert reader.withheld_events == sse_event("", "stop")
    assert reader.done and reader.tokens == 2
    assert reader.message() == {"role": "assistant", "content": "one two"}


def test_answer_of_an_engine_that_overruns_is_cut_at_the_reserve() -> None:
    reader = CompletionReader(2)
    forwarded = reader.feed(b"".join(sse_event(f"w{number}") for number in range(9)))
    assert forwarded == sse_event("w0") + sse_event("w1")
    assert reader.done and reader.finish_reason == "length"


@pytest.mark.parametrize(
    ("content", "is_refused"),
    [
        (b'"' + b"[1,2]:{," * 400_000 + b'"', False),
        (b'"' + b'\\",' * 400_000 + b'"', False),
        (b"[" + b"[]," * 150_000 + b"[]]", True),
        (b"[" + b'"ab",' * 150_000 + b'"ab"]', True),
    ],
    ids=["marks in a text", "quotes in a text", "lists", "texts"],
)
def test_chat_request_of_very_many_values_is_parsed(content, is_refused):
    body = b'{"model":"m","messages":[{"role":"user","content":%s}]}' % content
    if not is_refused:
        assert read_chat_request(body).message_count == 1
        return
    with pytest.raises(CallRefusedError):
        read_chat_request(body)


@given(st.binary(max_size=60))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_no_body_breaks_the_chat_reader(body: bytes) -> None:
    with pytest.raises(CallRefusedError):
        read_chat_request(body)
