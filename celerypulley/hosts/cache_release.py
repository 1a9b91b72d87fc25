"""Orders to engines to release the caches of programs that have ended."""

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
        """Send orders to the engines of `servers` over `link`."""
        self.servers = servers
        self.link = link
        self.released_programs = 0

    async def release(self, engine: EngineState, program: str, fence: int) -> None:
        """Order one engine to release a program's cache; raise BackendError."""
        body = {"session_id": program, "fence": fence}
        status = await self.link.post_json(engine.address, "/release", body)
        if status != _HTTP_OK:
            return
        self.released_programs += 1
        engine.cache_entries.pop(program, None)
        _log.write(f"released {program}", "the program is not open", server=engine.name)

    async def release_on_all_engines(self, program: str, fence: int) -> None:
        """Order all engines known to cache a program; the sweep covers the rest."""
        for engine in list(self.servers.engines.values()):
            if program not in engine.cache_entries:
                continue
            try:
                await self.release(engine, program, fence)
            except BackendError as error:
                _log.write("cache not released", str(error), server=engine.name)
