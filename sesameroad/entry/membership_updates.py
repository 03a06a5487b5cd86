"""Applies changes of the fleet's membership to the parts that depend on it."""

from collections.abc import Callable

from sesameroad.configuration import store as store_module
from sesameroad.membership import directory as directory_module
from sesameroad.peering import mesh as mesh_module
from sesameroad.routing import connection_pool
from sesameroad.routing import feasibility as feasibility_module
from sesameroad.scheduling import allocation_agent as allocation_agent_module
from sesameroad.settings import settings as settings_module


class MembershipUpdates:
    """Updates streams, connections and the allocation of slots."""

    __slots__ = (
        "_allocation_agent",
        "_data_centre",
        "_directory",
        "_feasibility",
        "_instance_id",
        "_is_leaving",
        "_mesh",
        "_pool",
        "_store",
    )

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        directory: directory_module.Directory,
        store: store_module.Store,
        mesh: mesh_module.Mesh,
        pool: connection_pool.ConnectionPool,
        allocation_agent: allocation_agent_module.AllocationAgent,
        feasibility: feasibility_module.Feasibility,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._instance_id = settings.instance_id
        self._data_centre = settings.data_centre
        self._directory = directory
        self._store = store
        self._mesh = mesh
        self._pool = pool
        self._allocation_agent = allocation_agent
        self._feasibility = feasibility
        self._is_leaving = is_leaving

    def apply(self) -> None:
        """Passes the present members of the fleet to all parts."""
        directory = self._directory
        self._mesh.update(directory.entries.values())
        all_endpoints = directory.listing.endpoints
        self._feasibility.update(
            all_endpoints,
            (
                endpoint
                for name in {e.data_centre for e in all_endpoints}
                for endpoint in directory.live_endpoints(name)
            ),
        )
        # Until the platform's list is known, the entries from the settings are
        # used.
        entries = directory.listing.entries or directory.entries.values()
        listed_entries = [
            entry.id
            for entry in entries
            if entry.data_centre == self._data_centre
        ]
        incarnations = self._peers_of_data_centre()
        reachable_entries = [self._instance_id, *incarnations]
        live = directory.live_endpoints(self._data_centre)
        self._pool.set_entries(max(len(listed_entries), len(reachable_entries)))
        self._pool.update(live)
        self._allocation_agent.configure(
            data_centre=self._data_centre,
            content=self._store.current.document,
            live=live,
            reachable=reachable_entries,
            listed=listed_entries,
            leaving=self._leaving_entries(),
            incarnations=incarnations,
        )

    def _peers_of_data_centre(self) -> dict[str, str]:
        """Returns the incarnations of live peers by instance id."""
        return {
            link.hello.instance_id: link.hello.incarnation
            for link in self._mesh.peers.values()
            if link.hello.data_centre == self._data_centre
        }

    def _leaving_entries(self) -> list[str]:
        """Returns the ids of entries that any source reports as leaving."""
        leaving = {
            entry.id
            for entry in self._directory.entries.values()
            if self._directory.is_leaving_entry(entry.id)
        }
        leaving |= {
            link.hello.instance_id
            for link in self._mesh.peers.values()
            if link.leaving
        }
        if self._is_leaving():
            leaving.add(self._instance_id)
        return sorted(leaving)
