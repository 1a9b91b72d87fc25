"""Bytes from outside: invalid input is rejected and causes no other error."""

import asyncio

import msgpack
import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from celerypulley.fleet.fleet_datagrams import FleetDatagrams
from celerypulley.fleet.fleet_gossip import FleetGossip
from celerypulley.fleet.fleet_members import FleetMember
from celerypulley.links.codec import CodecError
from celerypulley.links.frame_scanner import FrameScanner
from celerypulley.platform.desired_state import decode_desired_state, decode_server
from celerypulley.platform.settings_file import read_settings
from celerypulley.programs.event_stream import EventReader
from celerypulley.storage.record_journal import RecordJournal
from celerypulley.storage.turn_records import TurnRecord
from tests.harness import run_clock

JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    *("version", "routes", "services", "tenants", "limits", "name"),
                    *("host", "pathPrefix", "type", "service", "split", "weight"),
                    *("addr", "zone", "slots", "state", "coldLeftMs", "seq", "born"),
                    *("apiKeys", "engineId", "ratePerS"),
                ]
            ),
            inner,
            max_size=8,
        )
    ),
    max_leaves=20,
)
PACKED = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(width=32)
    | st.builds(msgpack.Timestamp, st.integers(0, 2**40), st.integers(0, 10**9 - 1))
    | st.builds(msgpack.ExtType, st.integers(0, 127), st.binary(max_size=300))
    | st.sampled_from([0, 31, 32, 255, 256, 65_535, 65_536]).map(bytes)
    | st.sampled_from([0, 31, 32, 255, 256, 65_535, 65_536]).map("x".__mul__),
    lambda inner: (
        st.lists(inner, max_size=20)
        | st.dictionaries(st.text(max_size=3), inner, max_size=20)
        | st.sampled_from([65_535, 65_536]).map(lambda count: [None] * count)
    ),
    max_leaves=30,
)
SETTINGS = """nodeName=edge-1
zone=a
ip=10.0.0.1
listen.front=10.0.0.1:80
listen.readyAddr=10.0.0.1:81
portRange=7780,7795
platform.addr=10.0.0.9:83
bounds.revokeMs=5000
dataDir=
a.field.of.tomorrow=1
"""


@settings(max_examples=300, deadline=None, derandomize=True)
@given(JSON | st.binary(max_size=40))
def test_values_of_other_writers_are_refused_and_nothing_else(value):
    raw = value if isinstance(value, bytes) else orjson.dumps(value)
    for decode in (decode_desired_state, lambda each: decode_server("servers/x", each)):
        try:
            decode(raw)
        except ValueError:
            continue


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.binary(min_size=1, max_size=12), min_size=1, max_size=6),
    st.lists(st.integers(1, 7), min_size=1, max_size=40),
)
def test_events_are_the_same_however_the_stream_is_cut(bodies, cuts):
    clean = [body.replace(b"\n", b"-").replace(b"\r", b"-") for body in bodies]
    stream = b"".join(b"id: %d\ndata: %b\n\n" % (n, b) for n, b in enumerate(clean))
    reader = EventReader()
    events = []
    rest = stream
    for cut in cuts:
        events += reader.feed(rest[:cut])
        rest = rest[cut:]
    events += reader.feed(rest)
    assert b"".join(event.raw for event in events) == stream
    assert [event.data for event in events] == clean
    assert [int(event.event_id) for event in events] == list(range(len(clean)))
    assert reader.pending == b""


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=60) | JSON.map(msgpack.packb))
def test_datagrams_and_entries_that_nobody_sent_are_dropped(raw):
    heard = []
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, {"me": ("127.0.0.1", 1)})
    datagrams.handlers["counts"] = lambda host, payload: heard.append(payload)
    asyncio.run(_receive(datagrams, raw))
    assert heard == []
    with pytest.raises(ValueError):
        FleetMember.unpack("x", raw)
    with pytest.raises(ValueError):
        TurnRecord.from_row(raw)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(JSON, st.sampled_from([None, ["start", 1]]))
def test_counts_of_another_form_are_dropped(payload, number):
    members = {"me": ("127.0.0.1", 1), "h": ("127.0.0.1", 2)}
    datagrams = FleetDatagrams("me", "127.0.0.1", 1, members)
    gossip = FleetGossip(datagrams, lambda: ({}, {}, {}), lambda: 1, run_clock())
    raw = msgpack.packb(("counts", "h", number, payload))
    asyncio.run(_receive(datagrams, raw))
    assert gossip.peers == {}


async def _receive(datagrams: FleetDatagrams, raw: bytes) -> None:
    datagrams.datagram_received(raw, ("127.0.0.1", 1))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_files_of_other_bytes_hold_no_records(tmp_path_factory, raw):
    folder = tmp_path_factory.mktemp("journal")
    (folder / "0000000001.records").write_bytes(raw)
    assert list(RecordJournal(folder).read_all()) == []


@pytest.mark.parametrize(
    ("line", "field"),
    [
        ("nodeName=", "nodeName"),
        ("zone=", "zone"),
        ("ip=", "ip"),
        ("listen.front=nowhere", "listen.front"),
        ("listen.readyAddr=10.0.0.1:0", "listen.readyAddr"),
        ("portRange=x,y", "portRange"),
        ("platform.addr=", "platform.addr"),
        ("bounds.revokeMs=soon", "bounds.revokeMs"),
        ("bounds.coldSlack=few", "bounds.coldSlack"),
    ],
)
def test_settings_file_names_the_bad_field(tmp_path, line, field):
    path = tmp_path / "node.conf"
    name = line.partition("=")[0]
    other_lines = [
        row for row in SETTINGS.splitlines() if not row.startswith(name + "=")
    ]
    path.write_text("\n".join([*other_lines, line]))
    with pytest.raises(ValueError, match=field.replace(".", r"\.")):
        read_settings(path)


def test_settings_file_is_read(tmp_path):
    path = tmp_path / "node.conf"
    path.write_text(SETTINGS)
    read = read_settings(path)
    assert (read.host_id, read.domain, read.fleet_port) == ("edge-1", "a", 7780)
    assert str(read.caller_address) == "10.0.0.1:80"
    assert read.data_dir is None


@settings(max_examples=200, deadline=None, derandomize=True)
@given(PACKED, st.integers(1, 50))
def test_end_of_a_frame_is_missed(value, step_bytes):
    packed = msgpack.packb(value, use_single_float=step_bytes % 2 == 0)
    scanner = FrameScanner(len(packed), 1_000_000)
    step_bytes = max(step_bytes, len(packed) // 50)
    buffer = bytearray()
    for start in range(0, len(packed), step_bytes):
        assert scanner.find_end(buffer) is None
        buffer += packed[start : start + step_bytes]
    buffer += b"\xc0"
    assert scanner.find_end(buffer) == len(packed)
    scanner.restart()
    assert scanner.find_end(buffer[len(packed) :]) == 1


@pytest.mark.parametrize(
    "raw",
    [
        b"\xc1",
        b"\x91" * 101,
        b"\xdc\x00\x65",
        b"\xdd\xff\xff\xff\xff",
        b"\xdf\x00\x00\x00\x33",
        b"\xc6\xff\xff\xff\xff",
        b"\xc5\x03\xfe",
    ],
)
def test_frame_beyond_its_limits_is_waited_for(raw):
    with pytest.raises(CodecError):
        FrameScanner(1_024, 100).find_end(bytearray(raw))
