"""The last window on the disk of a storage host, which a start restores."""

import os
from pathlib import Path

import pytest

from celerypulley.fleet import window_copier
from celerypulley.fleet.fleet_datagrams import FleetDatagrams
from celerypulley.fleet.fleet_gossip import PeerCounts
from celerypulley.fleet.window_copier import WitnessCopier
from celerypulley.fleet.window_saver import WindowSaver
from celerypulley.fleet.window_table import WindowRow, WindowSource
from celerypulley.fleet.window_witness import WindowWitness
from celerypulley.storage import window_journal
from celerypulley.storage.frames import encode_frame
from celerypulley.storage.window_journal import WindowJournal
from tests.harness import ManualClock, run_clock, wait_until

_WINDOW_MS = 5_000.0


def _make_saver(folder: Path, is_first_start: bool = False) -> WindowSaver:
    clock = run_clock()
    datagrams = FleetDatagrams("storage-0", "", 1, {})
    witness = WindowWitness(datagrams, _WINDOW_MS, clock)
    return WindowSaver(witness, WindowJournal(folder), is_first_start, clock)


def _hear(saver: WindowSaver, number: int, admitted: dict[str, int]) -> None:
    """Let the witness hear totals of a host that has just started."""
    peer = PeerCounts(f"host-{number}", "s", 1, 0.0, admitted, uptime_ms=100.0)
    saver.witness._on_peer_counts(peer, None)


def _total(saver: WindowSaver, organisation: str) -> float:
    return sum(saver.witness.report().table.get(organisation, []))


async def _save(folder: Path, rows: list[dict[str, int]]) -> None:
    """Save each row by itself, and end without a last save, as if killed."""
    saver = _make_saver(folder, is_first_start=True)
    await saver._save()
    for number, admitted in enumerate(rows):
        _hear(saver, number, admitted)
        await saver._save()


_LAST_ROW = 1


@pytest.mark.parametrize(
    ("cut_bytes", "appended", "expected"),
    [
        pytest.param(0, b"", 12, id="whole"),
        pytest.param(_LAST_ROW, b"", 7, id="last row cut short"),
        pytest.param(0, b"\xff" * 40, 12, id="torn write behind the last row"),
        pytest.param(0, encode_frame(b"\xc1"), 12, id="row that is no row"),
        pytest.param(0, encode_frame(b"\x92\x01\x05"), 12, id="row without counts"),
    ],
)
async def test_window_is_restored_as_far_as_it_was_saved(
    tmp_path, cut_bytes, appended, expected
):
    """Guards against a limit that is admitted again after all processes were killed."""
    await _save(tmp_path, [{"o": 7}, {"o": 5}])
    (path,) = tmp_path.iterdir()
    raw = path.read_bytes()
    path.write_bytes(raw[: len(raw) - cut_bytes] + appended)
    restored = _make_saver(tmp_path)
    assert restored.witness.report().source is WindowSource.RESTORED
    assert _total(restored, "o") == expected


@pytest.mark.parametrize(
    ("is_first_start", "source"),
    [(True, WindowSource.RESTORED), (False, WindowSource.NONE)],
)
async def test_lost_disk_tells_nothing_of_the_window(tmp_path, is_first_start, source):
    """Only where no disk was ever written, no request was admitted before."""
    saver = _make_saver(tmp_path, is_first_start)
    _hear(saver, 0, {"o": 7})
    assert saver.witness.report().source is source


async def test_window_outlasts_several_starts(tmp_path):
    """Guards against a second kill in the same window."""
    await _save(tmp_path, [{"o": 7}])
    second = _make_saver(tmp_path)
    await second._save()
    _hear(second, 1, {"o": 5, "p": 1})
    await second._save()
    third = _make_saver(tmp_path)
    assert (_total(third, "o"), _total(third, "p")) == (12, 1)


async def test_running_saver_saves_what_is_heard(tmp_path):
    saver = _make_saver(tmp_path, is_first_start=True)
    async with saver:
        await wait_until(lambda: saver.saves == 1)
        _hear(saver, 0, {"o": 1})
        await wait_until(lambda: saver.saves == 2)
        _hear(saver, 1, {"o": 2})
    assert _total(_make_saver(tmp_path), "o") == 3


async def test_failed_write_is_made_up_for(tmp_path, monkeypatch):
    """What follows a row that was cut short would not be read again."""
    saver = _make_saver(tmp_path, is_first_start=True)
    await saver._save()
    _hear(saver, 0, {"o": 7})
    with monkeypatch.context() as patch:
        patch.setattr(os, "fdatasync", _fail)
        with pytest.raises(OSError, match="disk"):
            await saver._save()
    _hear(saver, 1, {"o": 5})
    await saver._save()
    assert _total(_make_saver(tmp_path), "o") == 12


@pytest.mark.parametrize(
    ("payload", "source", "total"),
    [
        pytest.param(["heard", {"o": [9, 0, 0, 0, 2]}], "heard", 11, id="ran on"),
        pytest.param(["heard", {"o": [0, 7, 0, 0, 0]}], "heard", 7, id="not twice"),
        pytest.param(["heard", {}], "heard", 0, id="older than a window"),
        pytest.param(["restored", {"o": [9]}], "restored", 7, id="started, too"),
        pytest.param(["none", {}], "restored", 7, id="knows nothing"),
        pytest.param(["heard", {"o": [9]}], "restored", 7, id="another form"),
        pytest.param(["heard", 5], "restored", 7, id="no table"),
        pytest.param([True, {}], "restored", 7, id="unknown source"),
    ],
)
async def test_witness_learns_what_was_admitted_while_it_was_down(
    tmp_path, payload, source, total
):
    """Guards against a kill of storage hosts that is followed by one of hosts."""
    await _save(tmp_path, [{"o": 7}])
    witness = _make_saver(tmp_path).witness
    witness.datagrams.addresses["host-0"] = ("127.0.0.1", 1)

    async def request(_host: str, _kind: str, _payload: list) -> list:
        return payload

    witness.datagrams.request = request
    await WitnessCopier(witness)._try_copy()
    assert witness.report().source is WindowSource(source)
    assert sum(witness.report().table.get("o", [])) == total


@pytest.mark.parametrize(("source", "asked"), [("heard", 2), ("restored", 1)])
async def test_witness_copies_twice_or_not_at_all(tmp_path, monkeypatch, source, asked):
    """Guards against a window that was heard being replaced by a coarser one."""
    monkeypatch.setattr(window_copier, "_FIRST_MESSAGES_S", 0.0)
    witness = _make_saver(tmp_path).witness
    witness.datagrams.addresses["host-0"] = ("127.0.0.1", 1)
    requests = []

    async def request(host: str, _kind: str, _payload: list) -> list:
        requests.append(host)
        witness._started_ms -= _WINDOW_MS
        return [source, {}]

    witness.datagrams.request = request
    copier = WitnessCopier(witness)
    await copier._copy_window.fun(copier)
    assert len(requests) == asked


def _fail(_descriptor: int) -> None:
    raise OSError("disk")


async def test_full_file_is_replaced_by_the_window(tmp_path, monkeypatch):
    monkeypatch.setattr(window_journal, "_MAX_GROWTH_BYTES", 100)
    saver = _make_saver(tmp_path, is_first_start=True)
    await saver._save()
    (path,) = tmp_path.iterdir()
    for _ in range(40):
        await saver._save()
    assert path.stat().st_size < 40 * len(WindowRow(1e9, {}).pack())
    assert _make_saver(tmp_path).witness.report().source is WindowSource.RESTORED


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        pytest.param([(0.0, 3), (4_000.0, 4)], [4, 0, 0, 0, 3], id="ages are kept"),
        pytest.param(
            [(0.0, 3), (5_000.0, 4)], [4, 0, 0, 0, 0], id="older than a window"
        ),
        pytest.param([(0.0, 3), (2_000.0, 0)], [0, 0, 3, 0, 0], id="marked"),
        pytest.param([(9e9, 3), (9e9 + 500, 4)], [7, 0, 0, 0, 0], id="another clock"),
    ],
)
def test_newest_saved_row_counts_as_just_admitted(rows, expected):
    """Guards against rows that leave the window too soon, whatever the clocks say."""
    clock = ManualClock()
    datagrams = FleetDatagrams("storage-0", "", 1, {})
    witness = WindowWitness(datagrams, _WINDOW_MS, clock.clock)
    witness.restore([WindowRow(at_ms, {"o": count}) for at_ms, count in rows])
    assert witness.report().table["o"] == expected
