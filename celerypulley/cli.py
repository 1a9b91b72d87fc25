"""The command line, built with fire."""

import sys
from pathlib import Path

import fire
import yaml
from returns.result import Failure

from celerypulley import __version__
from celerypulley.clock import Clock
from celerypulley.operators import commands
from celerypulley.process import run_app, run_host
from celerypulley.settings import Address, load_settings, setting_help
from celerypulley.stand_ins.engine import EngineOptions, make_engine_app
from celerypulley.stand_ins.engine_core import EngineLimits
from celerypulley.stand_ins.kv import make_kv_app
from celerypulley.stand_ins.plain_service import make_plain_app

__all__ = ["main"]

_USAGE_ERROR_STATUS = 2
_DEFAULT_PLATFORM = "127.0.0.1:7000"


class StandIns:
    """Run a stand-in for a part of the platform in the foreground."""

    def kv(self, address: str = _DEFAULT_PLATFORM, seed: int = 0) -> None:
        """Run the key-value store on `address` (ip:port)."""
        run_app(lambda: make_kv_app(Clock(), seed), Address.parse(address))

    def engine(
        self,
        address: str = "127.0.0.1:7100",
        models: str = "agent-70b",
        speed: float = 1.0,
        load_lag_ms: float = 500.0,
        event_gap: int = 0,
        ignores_fencing: bool = False,
        overrun_tokens: int = 0,
        memory_tokens: int = 1_300_000,
        batch_limit: int = 256,
    ) -> None:
        """Run a model engine on `address` (ip:port); commas separate `models`."""
        model_names = models if isinstance(models, tuple) else str(models).split(",")
        options = EngineOptions(
            tuple(model_names),
            speed,
            load_lag_ms,
            event_gap,
            ignores_fencing,
            overrun_tokens,
        )
        limits = EngineLimits(memory_tokens=memory_tokens, batch_limit=batch_limit)
        run_app(
            lambda: make_engine_app(limits, options, Clock()), Address.parse(address)
        )

    def plain(self, address: str = "127.0.0.1:7200") -> None:
        """Run a plain service with at-most-once calls on `address` (ip:port)."""
        run_app(make_plain_app, Address.parse(address))


class Platform:
    """Run a process on a machine of a platform, with the platform's settings."""

    def edge(self) -> None:
        """Serve callers as one host of the fleet."""
        from celerypulley.platform.roles import run_edge

        run_edge()

    def store(self) -> None:
        """Store turn records on the disk of this machine, as a storage host."""
        from celerypulley.platform.roles import run_store

        run_store()


class Keys:
    """Keys of organisations; `platform` is the key-value store, ip:port."""

    def give(self, organisation: str, platform: str = _DEFAULT_PLATFORM) -> None:
        """Give an organisation a new key; the last line is the key."""
        _run_with_store(platform, lambda store: commands.give_key(store, organisation))

    def withdraw(self, key_id: str, platform: str = _DEFAULT_PLATFORM) -> None:
        """Withdraw a key by its identifier."""
        _run_with_store(
            platform, lambda store: commands.withdraw_key(store, str(key_id))
        )

    def list(self, platform: str = _DEFAULT_PLATFORM) -> None:
        """List the keys in force by organisation and identifier."""
        _run_with_store(platform, commands.list_keys)


class CommandLine:
    """A scheduler for agent programs in front of engines and plain services."""

    def __init__(self) -> None:
        """Create the groups of commands."""
        self.stand_in = StandIns()
        self.keys = Keys()
        self.platform = Platform()

    def serve(self, **settings: object) -> None:
        """Run one host; `celerypulley settings` lists flags, units and defaults."""
        result = load_settings(settings)
        if isinstance(result, Failure):
            _exit_with_error("\n".join(str(error) for error in result.failure()))
        run_host(result.unwrap())

    def settings(self) -> None:
        """List every setting of `serve` with its variable, unit and default."""
        print(setting_help())

    def check(self, file: str, platform: str = "", json: bool = False) -> None:
        """Check a declaration and show every error and finding with its line.

        With `platform`, the key-value store, show what differs from the version in
        force. The exit status is 1 if there is an error or a finding, else 0.
        """
        try:
            report = commands.check_declaration(file, platform)
        except commands.CommandFailedError as error:
            _exit_with_error(str(error))
        print(report.to_json() if json else "\n".join(report.lines()))
        sys.exit(0 if report.is_clean else 1)

    def plan(self, file: str, platform: str = _DEFAULT_PLATFORM) -> None:
        """Show the changes that applying a declaration would make."""
        declaration = _load_declaration(file)
        _run_with_store(
            platform, lambda store: commands.plan_declaration(store, declaration)
        )

    def apply(
        self, file: str, reason: str = "apply", platform: str = _DEFAULT_PLATFORM
    ) -> None:
        """Apply a declaration as the next version."""
        declaration = _load_declaration(file)
        _run_with_store(
            platform,
            lambda store: commands.apply_declaration(store, declaration, reason),
        )

    def explain(self, subject: str, platform: str = _DEFAULT_PLATFORM) -> None:
        """Show each value of an organisation or route, what decides it, and why."""
        _run_with_store(platform, lambda store: commands.explain(store, subject))

    def history(self, platform: str = _DEFAULT_PLATFORM) -> None:
        """Show every stored version."""
        _run_with_store(platform, commands.history)

    def rollback(
        self,
        version: int,
        reason: str = "no reason given",
        platform: str = _DEFAULT_PLATFORM,
    ) -> None:
        """Apply the declaration of an older version as a new one."""
        _run_with_store(
            platform, lambda store: commands.rollback(store, version, reason)
        )

    def status(self, platform: str = _DEFAULT_PLATFORM) -> None:
        """Show every host with its shards, its engines and its version in force."""
        _run_with_store(platform, commands.status)

    def experiment(self, file: str, out: str = "out/experiment") -> None:
        """Compare policies on a seeded workload; write the report to folder `out`."""
        from celerypulley.experiment.plan import read_plan
        from celerypulley.experiment.runner import run_experiment

        try:
            plan = read_plan(Path(file))
        except (OSError, ValueError) as error:
            _exit_with_error(str(error))
        run_experiment(plan, Path(out) / plan.name, print)

    def load(
        self,
        hosts: str,
        keys: str,
        model: str = "agent-70b",
        order_path: str = "/tokens/issue",
        mix: str = "aguapunto",
        seed: int = 1,
        programs_per_s: float = 2.0,
        seconds: float = 20.0,
        record: str = "",
        replay: str = "",
    ) -> None:
        """Send a bounded, seeded workload to running hosts and check the responses.

        `hosts` are ip:port separated by commas; `keys` is a YAML file with a key
        for each organisation; `record` names a file to which the planned programs
        are written, `replay` one from which they are read.
        """
        from celerypulley.load.command import run_load

        host_addresses = hosts if isinstance(hosts, tuple) else str(hosts).split(",")
        keys_by_organisation = yaml.safe_load(Path(keys).read_text(encoding="utf-8"))
        report, all_hold = run_load(
            list(host_addresses),
            keys_by_organisation,
            model,
            order_path,
            mix,
            seed,
            programs_per_s,
            seconds,
            record,
            replay,
        )
        print(report)
        sys.exit(0 if all_hold else 1)

    def version(self) -> None:
        """Show the version of celerypulley."""
        print(__version__)


def _load_declaration(file: str) -> object:
    try:
        return commands.load_declaration(file)
    except commands.CommandFailedError as error:
        _exit_with_error(str(error))


def _run_with_store(platform: str, command: object) -> None:
    try:
        print("\n".join(commands.run_with_store(platform, command)))
    except commands.CommandFailedError as error:
        _exit_with_error(str(error))


def _exit_with_error(text: str) -> None:
    print(text, file=sys.stderr)
    sys.exit(_USAGE_ERROR_STATUS)


def main() -> None:
    """Run the command line."""
    fire.Fire(CommandLine(), name="celerypulley")


if __name__ == "__main__":
    main()
