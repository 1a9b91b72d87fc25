"""Orders to engines to drop the cache of a program that is gone."""

from celerypulley.backend_servers.engine_state import EngineState
from celerypulley.decision_log import DecisionLog
from celerypulley.hosts.backend_servers import BackendServers
from celerypulley.links.backend_link import BackendError, BackendLink

__all__ = ["CacheRelease"]

_HTTP_OK = 200
_log = DecisionLog("cache")


class CacheRelease:
    """Release programs' caches; each order carries the shard's epoch as its fence."""

    def __init__(self, servers: BackendServers, link: BackendLink) -> None:
        """Order the engines of `servers` over `link`."""
        self.servers = servers
        self.link = link
        self.released_programs = 0

    async def release(self, engine: EngineState, program: str, fence: int) -> None:
        """Order one engine to drop a program's cache; raise BackendError."""
        body = {"session_id": program, "fence": fence}
        status = await self.link.post_json(engine.address, "/release", body)
        if status != _HTTP_OK:
            return
        self.released_programs += 1
        engine.cache_entries.pop(program, None)
        _log.write(f"released {program}", "no open program", server=engine.name)

    async def release_on_all_engines(self, program: str, fence: int) -> None:
        """Order every engine that may hold a program; the sweep gets the rest."""
        for engine in list(self.servers.engines.values()):
            if program not in engine.cache_entries:
                continue
            try:
                await self.release(engine, program, fence)
            except BackendError as error:
                _log.write("not released", str(error), server=engine.name)
