"""The actors of one router and their connections to each other."""

from __future__ import annotations

from ..config import Config
from ..core.clock import Clock
from ..core.counters import Counters
from ..core.deadlines import Deadlines
from ..core.router import Router
from ..core.task_supervisor import TaskSupervisor
from ..limits.budgets import ResourceBudgets
from ..net.clients import ClientListener
from ..net.discovery import DiscoveryActor, EndpointListParser
from ..net.failover import FailoverActor
from ..net.members import MembershipActor
from ..net.peers import PeerActor
from ..net.upstreams import ServerFleet
from ..options import Options


class RouterActors:
    """Creates and connects the actors; all limits are 0 until :meth:`apply_budgets` sets them."""

    def __init__(self, config: Config, supervisor: TaskSupervisor, counters: Counters) -> None:
        settings = config.settings
        router_index = settings.router_index
        self.router = Router(settings, config.seed, Clock(), Deadlines(), counters)
        self.router.core_load.cores = config.cores
        self.fleet = ServerFleet(settings, self.router, supervisor, 0, config.idle_timeout)
        parser = EndpointListParser(config.zones, config.server_kinds)
        self.discovery = DiscoveryActor(
            self.router, parser, config.discovery, supervisor, lists_pushed=not settings.must_poll
        )
        self.peers = PeerActor(self.router, config.peers, config.peers_all, router_index)
        self.members = MembershipActor(self.router, self.peers, router_index)
        self.failover = FailoverActor(self.router, self.peers, self.members, router_index)
        self.clients = ClientListener(settings, self.router, supervisor, 0, 0, 0, self.has_endpoints)
        self.fleet.set_value_budget(self.clients.budget, self.clients.buffers)
        self.router.fleet = self.fleet
        self.router.discovery = self.discovery
        self.router.peers = self.peers

    def has_endpoints(self) -> bool:
        """Return whether an endpoint list with at least one server is in effect, so that requests can be served."""
        return self.router.has_endpoints

    def apply_budgets(self, budgets: ResourceBudgets) -> None:
        """Set the limits on connections and buffered values."""
        self.clients.apply_limits(budgets.max_clients, budgets.idle_client_threshold)
        self.clients.buffers.limit = budgets.buffered_values
        self.clients.budget.limit = budgets.streamed_values
        self.fleet.set_connection_limit(budgets.server_connections)

    def apply_config(self, config: Config, options: Options) -> None:
        """Apply a reloaded configuration to the running actors."""
        self.router.apply_settings(config.settings)
        self.clients.apply_settings(config.settings)
        self.fleet.apply_settings(config.settings, config.idle_timeout)
        self.discovery.apply_settings(config.zones, config.server_kinds, lists_pushed=not config.settings.must_poll)
        # This polls even if the address is unchanged, because the new settings take effect with the next endpoint list.
        self.discovery.set_address(config.discovery)
        self.peers.set_addresses(config.peers, config.peers_all)
        self.apply_membership(config, options)
        self.apply_failover(config, options)

    def apply_options(self, config: Config, options: Options) -> None:
        """Apply reloaded options to the running actors; the configuration is unchanged and already merged with them."""
        self.router.apply_settings(config.settings)
        self.apply_membership(config, options)
        self.apply_failover(config, options)

    def apply_membership(self, config: Config, options: Options) -> None:
        """Start, stop or reconfigure the group membership protocol according to the options."""
        self.members.apply_settings(options.membership, config.settings.can_message_peers)

    def apply_failover(self, config: Config, options: Options) -> None:
        """Start, stop or reconfigure the zone failover according to the options."""
        self.failover.apply_settings(
            options.failover, options.membership, config.zones, config.settings.can_message_peers
        )

    def open_counts(self) -> dict[str, int]:
        """Return the open connections and requests, and the bytes held for them, by their keys in the log."""
        return {
            "clients.open": len(self.clients.connections),
            "clients.unsent_bytes": self.clients.unsent_bytes(),
            "requests.open": len(self.router.requests),
            "connections.open": sum(server.pool.open_count for server in self.fleet.actors.values()),
            "values.buffered_bytes": self.clients.buffers.used,
            "values.streamed_bytes": self.clients.budget.used,
        }

    def close(self) -> None:
        """Close the connections to cache servers and routers, and stop the protocols between routers."""
        self.fleet.close()
        self.members.stop()
        self.failover.stop()
        self.peers.close()
