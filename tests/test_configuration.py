"""Configuration: versions are totally ordered and never go back on any host."""

import asyncio

import attrs
import pytest

from celerypulley.contracts.keys import KeyRing, generate_key
from celerypulley.links.platform_link import PlatformUnavailableError
from celerypulley.operators import commands
from celerypulley.operators.configuration_store import ChangeRefusedError
from tests.harness import Deployment, running_deployment, wait_until


@pytest.mark.parametrize("lose_answer_share", [0.0, 0.3])
async def test_fifty_racing_operators_make_one_order_of_versions(
    lose_answer_share: float,
) -> None:
    async with running_deployment() as deployment:
        seen: dict[str, list[int]] = {
            host.own_member.name: [] for host in deployment.hosts
        }
        for host in deployment.hosts:
            host.configuration.on_change.append(
                lambda configuration, name=host.own_member.name: seen[name].append(
                    configuration.version
                )
            )
        await deployment.set_faults(
            deployment.platform_address, lose_answer_share=lose_answer_share
        )

        async def change() -> int | None:
            try:
                return int(
                    (await commands.give_key(deployment.configuration_store, "other"))[
                        0
                    ].split()[1]
                )
            except (ChangeRefusedError, PlatformUnavailableError):
                return None

        versions = await asyncio.gather(*(change() for _ in range(50)))
        await deployment.set_faults(deployment.platform_address)
        written = [version for version in versions if version is not None]
        assert written and len(set(written)) == len(written)
        newest = (await deployment.configuration_store.newest()).head.version
        assert newest >= max(written)
        await wait_until(
            lambda: all(
                host.configuration.version == newest for host in deployment.hosts
            ),
            "the newest version on all hosts",
        )
        for versions_seen in seen.values():
            assert versions_seen == sorted(set(versions_seen))
        stored = [
            head.version for head in await deployment.configuration_store.history()
        ]
        assert stored == list(range(1, newest + 1))


async def test_lost_race_names_the_earlier_change() -> None:
    async with running_deployment() as deployment:
        base = await deployment.configuration_store.newest()
        changed = attrs.evolve(deployment.declaration, exceptions=[])
        await commands.give_key(deployment.configuration_store, "other")
        with pytest.raises(ChangeRefusedError, match="key given to other"):
            await deployment.configuration_store.write(
                base, changed, base.keys, "too late"
            )


async def test_rollback_is_a_new_version_and_restores_no_key() -> None:
    async with running_deployment() as deployment:
        key_id = deployment.keys["other"].split("_")[1]
        await commands.withdraw_key(deployment.configuration_store, key_id)
        lines = await commands.rollback(
            deployment.configuration_store, 3, "a bad limit"
        )
        assert lines == ["version 5 applied with the declaration of 3"]
        newest = await deployment.configuration_store.newest()
        assert key_id not in {key.key_id for key in newest.keys}


async def _call_irreversible(deployment: Deployment, number: int) -> str:
    status, _, response = await deployment.post(
        deployment.hosts[number], "/tokens/a", {"id": "x"}, Idempotency_Key="x"
    )
    return response["error"]["type"] if status >= 400 else "ok"


async def test_stale_host_runs_nothing_irreversible() -> None:
    async with running_deployment(stale_after_s=0.5) as deployment:
        for host in deployment.hosts:
            deployment.isolate(host)
        await asyncio.sleep(1.0)
        for number in range(len(deployment.hosts)):
            assert await _call_irreversible(deployment, number) == "configuration_stale"
        status, _, _ = await deployment.post(deployment.hosts[0], "/v1/programs")
        assert status in (201, 503)


async def test_host_cut_off_from_the_platform_learns_from_its_peers() -> None:
    async with running_deployment() as deployment:
        host = deployment.hosts[0]
        host.cuts.replace(frozenset({"platform"}))
        await commands.give_key(deployment.configuration_store, "other")
        await wait_until(
            lambda: host.configuration.version == 4, "the version from a peer"
        )
        await wait_until(
            lambda: host.configuration.confirmed_ago_ms() < 5_000,
            "the peers' confirmation",
        )


def test_key_is_stored_hashed_and_found_only_if_complete() -> None:
    generated = generate_key("kiosk", 0)
    ring = KeyRing((generated.stored,))
    assert ring.find(generated.text) == generated.stored
    secret = generated.text.split("_", 2)[2]
    assert secret not in repr(generated) and secret not in str(
        attrs.asdict(generated.stored)
    )
    for wrong_text in (
        generated.text[:-1] + "!",
        generated.text[:-1],
        "",
        "cp__",
        generated.text + "a",
    ):
        assert ring.find(wrong_text) is None
    assert KeyRing(()).find(generated.text) is None


async def test_shard_whose_holders_nobody_knows_is_begun_anew() -> None:
    """If owner and replica of a shard are both lost, a new epoch records the loss."""
    from celerypulley.failure_domains.owner_table import ShardEntry, entry_key
    from celerypulley.programs.identifier import ShardId

    async with running_deployment() as deployment:
        shard = ShardId("north", 0)
        key = entry_key(shard)
        item = await deployment.configuration_store.platform.read(key)
        lost_entry = ShardEntry("h8+00000000", "h9+00000000", epoch=7)
        assert await deployment.configuration_store.platform.write_if(
            key, lost_entry.encode(), item.revision
        )
        for host in deployment.hosts:
            host.view._cancel_watch()
        await wait_until(
            lambda: all(
                host.view.entries[shard].lost_epoch == 8 for host in deployment.hosts
            ),
            "a new epoch that records the loss",
        )
        await deployment.wait_for_owners()
        status, _, response = await deployment.send_turn(
            deployment.hosts[0], "north.0.3.0123456789abcdef", "still there?"
        )
        assert (status, response["error"]["type"]) == (410, "history_lost")
        status, headers, response = await deployment.post(
            deployment.hosts[0],
            "/tokens/a",
            {"id": "x"},
            Idempotency_Key="x",
            X_Celerypulley_Program="north.0.3.0123456789abcdef",
        )
        assert (status, response["error"]["type"]) == (410, "history_lost")
