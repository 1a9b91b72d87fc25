"""Run a service as a process: event loop, signals and logging."""

import asyncio
import signal
from collections.abc import Callable

import uvloop
from absl import logging
from aiohttp import web

from celerypulley.allocator import return_large_blocks
from celerypulley.clock import Clock
from celerypulley.decision_log import DecisionLog, LogFormat
from celerypulley.hosts.host import Host
from celerypulley.settings import Address, Settings

__all__ = ["run_app", "run_host"]


def run_host(settings: Settings) -> None:
    """Run a host until SIGTERM or SIGINT, then drain its requests and stop."""
    _configure_logging(settings.log_format, settings.host_id)
    return_large_blocks()
    uvloop.run(_serve_host(settings))


def run_app(make_app: Callable[[], web.Application], address: Address) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    _configure_logging("text", "stand-in")
    uvloop.run(_serve_app(make_app, address))


def _configure_logging(log_format: str, host_id: str) -> None:
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    DecisionLog.format = LogFormat(log_format)
    DecisionLog.host_id = host_id


async def _serve_host(settings: Settings) -> None:
    host = Host(settings, Clock())
    await host.start()
    await _wait_for_signal()
    await host.leave()
    await host.stop()


async def _serve_app(make_app: Callable[[], web.Application], address: Address) -> None:
    runner = web.AppRunner(
        make_app(), access_log=None, shutdown_timeout=1.0, handler_cancellation=True
    )
    await runner.setup()
    await web.TCPSite(runner, address.ip, address.port).start()
    await _wait_for_signal()
    await runner.cleanup()


async def _wait_for_signal() -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    await stopped.wait()
