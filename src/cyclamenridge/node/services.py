"""Schedulers and server links of the services that a node serves."""

import random

from cyclamenridge import address as address_lib
from cyclamenridge.config import model
from cyclamenridge.control import types as control
from cyclamenridge.node import context as context_lib
from cyclamenridge.node import directory as directory_lib
from cyclamenridge.node import events
from cyclamenridge.node import links as links_lib
from cyclamenridge.routing import rendezvous
from cyclamenridge.scheduling import scheduler as scheduler_lib
from cyclamenridge.scheduling import types as scheduling
from cyclamenridge.wire import backend
from cyclamenridge.wire import token as token_lib

ServerRef = events.ServerRef

# Links of a service stay open for this long after the node has left its home
# set and its last session or feed has ended, so that short changes of the
# home set do not reopen all links.
UNUSED_SERVICE_TTL_MS = 30_000
# A balancer that watches the platform's instance list announces leaving
# servers once a second. The state expires only after five announcements in
# a row are lost.
LEAVING_NOTICE_TTL_MS = 5_000
# Failure domains whose balancers announce the leaving servers of a service.
ANNOUNCING_DOMAINS = 2
# How long the node reconnects to a server that is no longer configured.
REMOVED_SERVER_RETRY_MS = 10_000


class ServiceRuntime:
    """A service that this node serves.

    :ivar users: sessions and feeds that need the service
    :ivar server_users: requests and feeds that need a server, by server
    :ivar drain_sources: by server, the sources that report it as draining:
        ``server``, ``instances`` or ``peers``
    :ivar incarnations: incarnation of each server, by server
    """

    def __init__(
        self, name: str, scheduler: scheduler_lib.ServiceScheduler
    ) -> None:
        self.name = name
        self.scheduler = scheduler
        self.users = 0
        self.server_users: dict[str, int] = {}
        self.drain_sources: dict[str, set[str]] = {}
        self.incarnations: dict[str, int] = {}
        self.last_used_ms = 0


class ServiceRuntimes:
    """Manages the runtimes of the services that this node serves."""

    def __init__(
        self,
        ctx: context_lib.Context,
        directory: directory_lib.Directory,
        links: links_lib.LinkTable,
        rng: random.Random,
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._links = links
        self._rng = rng
        self._runtimes: dict[str, ServiceRuntime] = {}
        self._instance_states: dict[ServerRef, str] = {}
        self._leaving_until_ms: dict[ServerRef, int] = {}

    def runtimes(self) -> tuple[ServiceRuntime, ...]:
        """Return the runtimes of all services that this node serves."""
        return tuple(self._runtimes.values())

    def get(self, service: str) -> ServiceRuntime | None:
        """Return the runtime of a service, None if it is not served here."""
        return self._runtimes.get(service)

    def get_or_create(
        self, now_ms: int, service: str
    ) -> ServiceRuntime | None:
        """Return the runtime of a service, creating it if needed.

        Returns None when the service is not configured.
        """
        runtime = self._runtimes.get(service)
        if runtime is not None:
            runtime.last_used_ms = now_ms
            return runtime
        cfg = self._ctx.config
        if cfg is None or service not in cfg.services:
            return None
        scheduler = scheduler_lib.ServiceScheduler(
            service, cfg, me=self._ctx.me.name, rng=self._rng
        )
        runtime = self._runtimes[service] = ServiceRuntime(service, scheduler)
        runtime.last_used_ms = now_ms
        self._set_members(now_ms, runtime)
        self._ensure_links(now_ms, runtime, cfg.services[service])
        for ref in self._instance_states:
            if ref.service == service:
                self._apply_instance_state(now_ms, ref)
        return runtime

    def reconfigure(
        self, now_ms: int, home_changes: frozenset[str]
    ) -> list[tuple[ServiceRuntime, tuple[scheduling.Refusal, ...]]]:
        """Apply the current configuration.

        :param home_changes: services whose home set has changed
        :returns: queued requests that the configuration no longer allows
        """
        cfg = self._ctx.config
        assert cfg is not None
        out = []
        for runtime in self._runtimes.values():
            if runtime.name in cfg.services:
                out.append(
                    (runtime, runtime.scheduler.reconfigure(now_ms, cfg))
                )
                self._ensure_links(now_ms, runtime, cfg.services[runtime.name])
        self.update_home_sets(now_ms, home_changes)
        return out

    def update_home_sets(
        self, now_ms: int, home_changes: frozenset[str]
    ) -> None:
        """Apply changed home sets: serve new services and set the members.

        :param home_changes: services whose home set has changed
        """
        for name in sorted(home_changes):
            if self._in_home_set(name):
                self.get_or_create(now_ms, name)
            runtime = self._runtimes.get(name)
            if runtime is not None:
                self._set_members(now_ms, runtime)

    def tick(self, now_ms: int) -> None:
        """Close unused links and services and expire leaving notices."""
        cfg = self._ctx.config
        if cfg is None:
            return
        for ref, until_ms in list(self._leaving_until_ms.items()):
            if now_ms >= until_ms:
                del self._leaving_until_ms[ref]
                self._set_drain_source(now_ms, ref, "peers", False)
        for runtime in list(self._runtimes.values()):
            service = cfg.services.get(runtime.name)
            if runtime.users or (service and self._in_home_set(runtime.name)):
                runtime.last_used_ms = now_ms
            elif now_ms - runtime.last_used_ms > UNUSED_SERVICE_TTL_MS:
                for link in self._links.links():
                    if link.ref.service == runtime.name:
                        self._links.close(now_ms, link.ref)
                del self._runtimes[runtime.name]
        for link in self._links.links():
            owner = self._runtimes.get(link.ref.service)
            service = cfg.services.get(link.ref.service)
            configured = (
                service is not None and link.ref.server in service.servers
            )
            if not configured and not self._needs_removed_server(
                now_ms, owner, link
            ):
                self._links.close(now_ms, link.ref)

    def demands(self, now_ms: int) -> tuple[control.DemandTarget, ...]:
        """Return the demands to send to the members of home sets."""
        out = []
        for runtime in self._runtimes.values():
            home = self._directory.home_set(runtime.name)
            names = tuple(member.name for member in home)
            if self._ctx.me.name in names:
                others = tuple(n for n in names if n != self._ctx.me.name)
                out.append(
                    control.DemandTarget(
                        runtime.scheduler.measure_demand(now_ms), others
                    )
                )
        out.extend(self._leaving_notices())
        return tuple(out)

    def _leaving_notices(self) -> list[control.DemandTarget]:
        """Return announcements of leaving servers to other home sets.

        Only a few balancers watch the platform's instance list, possibly
        none in the home set of a service.
        """
        leaving: dict[str, list[str]] = {}
        for ref, state in self._instance_states.items():
            if state == events.InstanceState.LEAVING:
                leaving.setdefault(ref.service, []).append(ref.server)
        out = []
        for service, names in leaving.items():
            members = tuple(
                member.name for member in self._directory.home_set(service)
            )
            if (
                self._announces_leaving(service)
                and self._ctx.me.name not in members
            ):
                demand = scheduling.ServiceDemand(
                    service, (), tuple(sorted(names))
                )
                out.append(control.DemandTarget(demand, members))
        return out

    def _announces_leaving(self, service: str) -> bool:
        domains = rendezvous.ranked(
            service.encode(), self._directory.failure_domains
        )
        return self._ctx.me.failure_domain in domains[:ANNOUNCING_DOMAINS]

    def on_peer_demand(
        self, now_ms: int, announcement: control.DemandReceived
    ) -> None:
        """Handle the demand or the leaving notice of another balancer."""
        service = announcement.demand.service
        runtime = self._runtimes.get(service)
        if runtime is None:
            return
        if any(
            m.name == announcement.peer
            for m in self._directory.home_set(service)
        ):
            runtime.scheduler.set_peer_demand(
                now_ms, announcement.peer, announcement.demand
            )
            return
        for server in announcement.demand.draining:
            ref = ServerRef(service, server)
            self._leaving_until_ms[ref] = now_ms + LEAVING_NOTICE_TTL_MS
            self._set_drain_source(now_ms, ref, "peers", True)

    def add_server_users(self, ref: ServerRef, count: int) -> None:
        """Add ``count`` to the requests and feeds that need a server."""
        runtime = self._runtimes.get(ref.service)
        if runtime is not None:
            users = runtime.server_users.get(ref.server, 0) + count
            if users > 0:
                runtime.server_users[ref.server] = users
            else:
                runtime.server_users.pop(ref.server, None)

    def server_by_hash(self, service: str, server: int) -> ServerRef | None:
        """Return the server whose name hash is in a feed token.

        Servers that are no longer configured are found by their link.
        """
        cfg = self._ctx.config
        names: set[str] = set()
        if cfg is not None and service in cfg.services:
            names.update(cfg.services[service].servers)
        names.update(
            link.ref.server
            for link in self._links.links()
            if link.ref.service == service
        )
        for name in names:
            if token_lib.name_hash(name) == server:
                return ServerRef(service, name)
        return None

    def set_instances(
        self, now_ms: int, listed: tuple[events.ListedInstance, ...]
    ) -> None:
        """Replace the instance list; a leaving server gets no new work."""
        before = set(self._instance_states)
        self._instance_states = {
            ServerRef(item.role, item.name): item.state
            for item in listed
            if item.role != "balancer"
        }
        for ref in sorted(before | set(self._instance_states)):
            self._apply_instance_state(now_ms, ref)

    def on_link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Handle a link that is up: the server can take requests."""
        runtime = self._runtimes.get(ref.service)
        if runtime is not None:
            # Draining that the server reported itself ends only when its
            # process is replaced.
            if runtime.incarnations.get(ref.server) != identity.incarnation:
                runtime.incarnations[ref.server] = identity.incarnation
                self._set_drain_source(now_ms, ref, "server", False)
            runtime.scheduler.server_up(now_ms, ref.server, identity)
            if runtime.drain_sources.get(ref.server):
                runtime.scheduler.server_draining(now_ms, ref.server, True)

    def on_link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Handle a lost link: the server gets no requests."""
        runtime = self._runtimes.get(ref.service)
        if runtime is not None:
            runtime.scheduler.server_down(now_ms, ref.server)

    def on_load_report(
        self, now_ms: int, ref: ServerRef, load: backend.Load
    ) -> None:
        """Pass a load report to the scheduler."""
        runtime = self._runtimes.get(ref.service)
        if runtime is not None:
            runtime.scheduler.server_load(now_ms, ref.server, load)

    def on_server_draining(self, now_ms: int, ref: ServerRef) -> None:
        """Handle a server's notification that it is draining."""
        self._set_drain_source(now_ms, ref, "server", True)

    def _set_drain_source(
        self, now_ms: int, ref: ServerRef, source: str, draining: bool
    ) -> None:
        runtime = self._runtimes.get(ref.service)
        if runtime is None:
            return
        sources = runtime.drain_sources.setdefault(ref.server, set())
        before = bool(sources)
        if draining:
            sources.add(source)
        else:
            sources.discard(source)
        if bool(sources) != before:
            runtime.scheduler.server_draining(
                now_ms, ref.server, bool(sources)
            )
            self._ctx.report_transition(
                f"server {ref.service}/{ref.server}",
                "draining" if before else "active",
                "active" if before else "draining",
                source,
            )

    def _apply_instance_state(self, now_ms: int, ref: ServerRef) -> None:
        state = self._instance_states.get(ref)
        leaving = state == events.InstanceState.LEAVING
        self._set_drain_source(now_ms, ref, "instances", leaving)

    def _needs_removed_server(
        self,
        now_ms: int,
        runtime: ServiceRuntime | None,
        link: links_lib.Link,
    ) -> bool:
        """Tell whether the link to a server removed from the config stays.

        It stays until the requests and feeds of the server have ended.
        Feeds of other balancers count too: if their owner dies, this node
        takes them over, and no configuration has the server's address.
        """
        if runtime is None:
            return False
        if runtime.server_users.get(link.ref.server):
            return True
        if link.up:
            return link.connections > 0
        return now_ms - link.down_since_ms < REMOVED_SERVER_RETRY_MS

    def _in_home_set(self, service: str) -> bool:
        home = self._directory.home_set(service)
        return any(member.name == self._ctx.me.name for member in home)

    def _set_members(self, now_ms: int, runtime: ServiceRuntime) -> None:
        names = {
            member.name for member in self._directory.home_set(runtime.name)
        }
        names.add(self._ctx.me.name)
        runtime.scheduler.set_members(now_ms, tuple(sorted(names)))

    def _ensure_links(
        self, now_ms: int, runtime: ServiceRuntime, service: model.Service
    ) -> None:
        for name, server in service.servers.items():
            self._links.ensure_open(
                now_ms,
                ServerRef(runtime.name, name),
                address_lib.Address.parse(server.address),
            )
