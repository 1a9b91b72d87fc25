"""Entry points of the processes that run on the platform's machines."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import aiohttp
import uvloop

from celerypulley.allocator import return_large_blocks
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog, LogFormat
from celerypulley.fleet_settings import FleetSettings
from celerypulley.hosts.fleet_host import FleetHost, PlatformSchema
from celerypulley.hosts.storage_host import StorageHost
from celerypulley.links.server_session import open_server_session
from celerypulley.log_stream import LogStream
from celerypulley.platform.desired_state import (
    DESIRED_STATE_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    SERVER_PREFIX,
    decode_desired_state,
    decode_server,
)
from celerypulley.platform.requests import DIALECT
from celerypulley.platform.retirement import follow_retirement
from celerypulley.platform.settings_file import SETTINGS_VARIABLE, read_settings
from celerypulley.platform.store import PlatformStore

__all__ = ["run_edge", "run_store"]

_EXIT_BAD_SETTINGS = 2
_STORE_TIMEOUT_MS = 1_000.0  # tolerates a store sixty times slower than 4 ms
_STORE_STOP_MS = 2_000.0  # to close connections and files before SIGKILL
PLATFORM_SCHEMA = PlatformSchema(
    OPERATOR_PREFIX,
    DESIRED_STATE_KEY,
    decode_desired_state,
    SERVER_PREFIX,
    decode_server,
    DIALECT,
    EVACUATION_PREFIX,
)
_log = DecisionLog("process")


def run_edge() -> None:
    """Serve callers until SIGTERM."""
    settings = _load_settings()
    return_large_blocks()
    uvloop.run(_serve_edge(settings))


def run_store() -> None:
    """Store turn records on this machine's disk until SIGTERM."""
    settings = _load_settings()
    return_large_blocks()
    uvloop.run(_serve_store(settings))


def _load_settings() -> FleetSettings:
    try:
        settings = read_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    except (OSError, ValueError) as error:
        print(f"settings: {error}", file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    DecisionLog.format = LogFormat.JSON
    DecisionLog.host_id = settings.host_id
    DecisionLog.stream = LogStream()
    return settings


def _make_store(
    settings: FleetSettings, session: aiohttp.ClientSession
) -> PlatformStore:
    return PlatformStore(settings.store_address, session, _STORE_TIMEOUT_MS)


async def _serve_edge(settings: FleetSettings) -> None:
    stop_requested = _install_stop_event()
    async with open_server_session() as session:
        store = _make_store(settings, session)
        host = FleetHost(settings, store, PLATFORM_SCHEMA, Clock())
        await host.start()
        await stop_requested.wait()
        await host.leave()
        await host.stop()
        await store.close()
    _log_stopped()


async def _serve_store(settings: FleetSettings) -> None:
    stop_requested = _install_stop_event()
    async with open_server_session() as session:
        store = _make_store(settings, session)
        host = StorageHost(settings, store, Clock())
        await host.start()
        retirement = asyncio.create_task(
            follow_retirement(
                settings.host_id, store, host.record_service.drain, Clock()
            )
        )
        await stop_requested.wait()
        retirement.cancel()
        await host.record_service.leave(settings.shutdown_grace_ms - _STORE_STOP_MS)
        await host.stop()
        await store.close()
    _log_stopped()


def _install_stop_event() -> asyncio.Event:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(
        signal.SIGHUP,
        _log.write,
        "reload",
        "ignored: settings cannot change while the process runs",
    )
    return stop_requested


def _log_stopped() -> None:
    _log.write("stopped", "received a stop signal")
    if DecisionLog.stream is not None:
        DecisionLog.stream.flush()
