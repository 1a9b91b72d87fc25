"""Keys that a later version of the desired state has taken away, or never held."""

import orjson
import pytest

from celerypulley.platform.desired_state import decode_desired_state
from tests.fleet import API_KEY, desired_state, running_fleet
from tests.harness import wait_until

KEYS = {"withdrawn": API_KEY, "unknown": "no-such-key", "empty": ""}
OTHER = {"name": "others", "apiKeys": ["key-of-others"]}
WITHOUT_KEY = {
    "empty list of organisations": [],
    "organisation without keys": [{"name": "kiosks", "apiKeys": []}],
    "organisation without the field": [{"name": "kiosks"}],
    "another organisation": [OTHER],
}


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("tenants", WITHOUT_KEY.values(), ids=WITHOUT_KEY)
async def test_request_runs_after_its_key_was_withdrawn(tenants, restarts):
    """Guards against routes that open when the last organisation is taken away."""
    async with running_fleet() as fleet:
        assert (await fleet.call("/unsafe/x")).status == 200
        fleet.put_state(desired_state(2, tenants=tenants))
        if restarts:
            await fleet.replace_all_hosts()
        await wait_until(lambda: fleet.hosts[0].desired_state.version == 2)
        for key in KEYS.values():
            response = await fleet.call("/unsafe/x", headers={"Api-Key": key})
            assert response.status == 401
        assert (await fleet.call("/open/x")).status == 200


async def test_key_is_asked_for_without_organisations():
    """A version that does not declare organisations asks for no key."""
    state = desired_state()
    del state["tenants"]
    async with running_fleet(state=state) as fleet:
        for key in KEYS.values():
            response = await fleet.call("/unsafe/x", headers={"Api-Key": key})
            assert response.status == 200


UNREADABLE = {
    "organisations null": {"tenants": None},
    "organisations by name": {"tenants": {"kiosks": {"apiKeys": []}}},
    "keys as text": {"tenants": [{"name": "kiosks", "apiKeys": "abc"}]},
    "empty key": {"tenants": [{"name": "kiosks", "apiKeys": [""]}]},
    "key as number": {"tenants": [{"name": "kiosks", "apiKeys": [7]}]},
    "rate as text": {"tenants": [{**OTHER, "ratePerS": "60"}]},
    "empty rate": {"tenants": [{**OTHER, "ratePerS": ""}]},
    "negative rate": {"tenants": [{**OTHER, "ratePerS": -1}]},
    "burst as list": {"tenants": [{**OTHER, "burst": []}]},
}


@pytest.mark.parametrize("changes", UNREADABLE.values(), ids=UNREADABLE)
def test_unreadable_restriction_is_dropped(changes):
    """Guards against a key or limit that is waived because it can't be read."""
    with pytest.raises(ValueError, match="missing or invalid field"):
        decode_desired_state(orjson.dumps(desired_state(2, **changes)))


@pytest.mark.parametrize("value", ["false", "no", 1, [0], None, False])
@pytest.mark.parametrize("field", ["public", "resumable"])
def test_unreadable_flag_opens_a_route(field, value):
    """Guards against text that counts as true, whatever it says."""
    state = desired_state()
    for each in state["routes"]:
        each[field] = value
    routes = decode_desired_state(orjson.dumps(state)).routes
    assert not any(each.is_public and field == "public" for each in routes)
    assert not any(each.resumable and field == "resumable" for each in routes)


@pytest.mark.parametrize("raw", [b"not json", b'{"version":2,"tenants":null}'])
async def test_older_version_is_confirmed_by_one_that_cannot_be_read(raw):
    """Guards against keys that a version withdrew which hosts can't read."""
    async with running_fleet(max_state_age_ms=900.0) as fleet:
        confirmer = fleet.hosts[0].desired_state.confirmer
        confirmer.pause_ms = lambda: 100.0
        confirmer.poll_now()
        fleet.store.put("op/config", raw)
        await wait_until(lambda: fleet.hosts[0].desired_state.age_ms() > 900.0)
        assert confirmer.age_ms() < 900.0
        assert (await fleet.call("/unsafe/x")).status == 503
        assert (await fleet.call("/open/x")).status == 200
        fleet.put_state(desired_state(3))
        await wait_until(lambda: fleet.hosts[0].desired_state.version == 3)
        assert (await fleet.call("/unsafe/x")).status == 200
