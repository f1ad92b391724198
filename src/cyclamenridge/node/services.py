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

# How long a service outside the home set keeps its links after the last
# session and feed, so that short changes of the home set do not reopen
# all links.
RELEASE_MS = 30_000
# A balancer that watches the platform's list tells leaving servers once a
# second; this many lost messages in a row leave the mark in place.
TOLD_LEAVING_MS = 5_000
# Failure domains whose watchers tell the leaving servers of a service.
TELLING_DOMAINS = 2
# How long a lost link to a removed server is tried again.
REMOVED_DOWN_MS = 10_000


class Runtime:
    """A service that this node serves.

    :param users: sessions and feeds that need the service
    :param drains: for each server, who says that it is leaving
    """

    def __init__(
        self, name: str, scheduler: scheduler_lib.ServiceScheduler
    ) -> None:
        self.name = name
        self.scheduler = scheduler
        self.users = 0
        self.server_users: dict[str, int] = {}
        self.drains: dict[str, set[str]] = {}
        self.incarnations: dict[str, int] = {}
        self.used_ms = 0


class Services:
    """Keeps one runtime per service that is served here."""

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
        self._runtimes: dict[str, Runtime] = {}
        self._listed: dict[ServerRef, str] = {}
        self._told_leaving: dict[ServerRef, int] = {}

    def runtimes(self) -> tuple[Runtime, ...]:
        """Return all services that are served here."""
        return tuple(self._runtimes.values())

    def get(self, service: str) -> Runtime | None:
        """Return the runtime of a service if it is served here."""
        return self._runtimes.get(service)

    def acquire(self, now_ms: int, service: str) -> Runtime | None:
        """Serve a service; None when it is not configured."""
        runtime = self._runtimes.get(service)
        if runtime is not None:
            runtime.used_ms = now_ms
            return runtime
        cfg = self._ctx.config
        if cfg is None or service not in cfg.services:
            return None
        scheduler = scheduler_lib.ServiceScheduler(
            service, cfg, me=self._ctx.me.name, rng=self._rng
        )
        runtime = self._runtimes[service] = Runtime(service, scheduler)
        runtime.used_ms = now_ms
        self._set_members(now_ms, runtime)
        self._ensure_links(now_ms, runtime, cfg.services[service])
        for ref in self._listed:
            if ref.service == service:
                self._apply_listed(now_ms, ref)
        return runtime

    def reconfigure(
        self, now_ms: int, rehomed: frozenset[str]
    ) -> list[tuple[Runtime, tuple[scheduling.Refusal, ...]]]:
        """Apply the configuration in force and return what it refuses.

        :param rehomed: services whose home set has changed
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
        self.rehome(now_ms, rehomed)
        return out

    def rehome(self, now_ms: int, rehomed: frozenset[str]) -> None:
        """Follow changes of home sets."""
        for name in sorted(rehomed):
            if self._in_home(name):
                self.acquire(now_ms, name)
            runtime = self._runtimes.get(name)
            if runtime is not None:
                self._set_members(now_ms, runtime)

    def tick(self, now_ms: int) -> None:
        """Close links and services that nobody needs any more."""
        cfg = self._ctx.config
        if cfg is None:
            return
        for ref, until_ms in list(self._told_leaving.items()):
            if now_ms >= until_ms:
                del self._told_leaving[ref]
                self._drain(now_ms, ref, "peers", False)
        for runtime in list(self._runtimes.values()):
            service = cfg.services.get(runtime.name)
            if runtime.users or (service and self._in_home(runtime.name)):
                runtime.used_ms = now_ms
            elif now_ms - runtime.used_ms > RELEASE_MS:
                for link in self._links.links():
                    if link.ref.service == runtime.name:
                        self._links.close(now_ms, link.ref)
                del self._runtimes[runtime.name]
        for link in self._links.links():
            owner = self._runtimes.get(link.ref.service)
            service = cfg.services.get(link.ref.service)
            wanted = service is not None and link.ref.server in service.servers
            if not wanted and not self._keeps_removed(now_ms, owner, link):
                self._links.close(now_ms, link.ref)

    def demands(self, now_ms: int) -> tuple[control.DemandTarget, ...]:
        """Return the demand of each service in whose home set we are."""
        out = []
        for runtime in self._runtimes.values():
            home = self._directory.home(runtime.name)
            names = tuple(member.name for member in home)
            if self._ctx.me.name in names:
                others = tuple(n for n in names if n != self._ctx.me.name)
                out.append(
                    control.DemandTarget(
                        runtime.scheduler.demand(now_ms), others
                    )
                )
        out.extend(self._leaving_notices())
        return tuple(out)

    def _leaving_notices(self) -> list[control.DemandTarget]:
        """Return what home sets are told that do not watch the list.

        Only a few balancers watch the platform's list, so the home set of
        a service may have none of them.
        """
        leaving: dict[str, list[str]] = {}
        for ref, state in self._listed.items():
            if state == events.InstanceState.LEAVING:
                leaving.setdefault(ref.service, []).append(ref.server)
        out = []
        for service, names in leaving.items():
            members = tuple(
                member.name for member in self._directory.home(service)
            )
            if self._tells(service) and self._ctx.me.name not in members:
                demand = scheduling.ServiceDemand(
                    service, (), tuple(sorted(names))
                )
                out.append(control.DemandTarget(demand, members))
        return out

    def _tells(self, service: str) -> bool:
        domains = rendezvous.ranked(
            service.encode(), self._directory.failure_domains
        )
        return self._ctx.me.failure_domain in domains[:TELLING_DOMAINS]

    def peer_demand(
        self, now_ms: int, received: control.DemandReceived
    ) -> None:
        """Hand the demand of another member to the scheduler."""
        service = received.demand.service
        runtime = self._runtimes.get(service)
        if runtime is None:
            return
        if any(m.name == received.peer for m in self._directory.home(service)):
            runtime.scheduler.peer_demand(
                now_ms, received.peer, received.demand
            )
            return
        for server in received.demand.draining:
            ref = ServerRef(service, server)
            self._told_leaving[ref] = now_ms + TOLD_LEAVING_MS
            self._drain(now_ms, ref, "peers", True)

    def use_server(self, ref: ServerRef, count: int) -> None:
        """Count requests and feeds that need a server."""
        runtime = self._runtimes.get(ref.service)
        if runtime is not None:
            users = runtime.server_users.get(ref.server, 0) + count
            if users > 0:
                runtime.server_users[ref.server] = users
            else:
                runtime.server_users.pop(ref.server, None)

    def server_by_hash(self, service: str, server: int) -> ServerRef | None:
        """Return the server that a feed token names."""
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

    def instances(
        self, now_ms: int, listed: tuple[events.ListedInstance, ...]
    ) -> None:
        """Take the platform's list; a leaving server gets no new work."""
        before = set(self._listed)
        self._listed = {
            ServerRef(item.role, item.name): item.state
            for item in listed
            if item.role != "balancer"
        }
        for ref in sorted(before | set(self._listed)):
            self._apply_listed(now_ms, ref)

    def link_up(
        self, now_ms: int, ref: ServerRef, identity: backend.Identity
    ) -> None:
        """Tell the scheduler about a server that can be used."""
        runtime = self._runtimes.get(ref.service)
        if runtime is not None:
            # Only a new process takes back what the server said itself.
            if runtime.incarnations.get(ref.server) != identity.incarnation:
                runtime.incarnations[ref.server] = identity.incarnation
                self._drain(now_ms, ref, "server", False)
            runtime.scheduler.server_up(now_ms, ref.server, identity)
            if runtime.drains.get(ref.server):
                runtime.scheduler.server_draining(now_ms, ref.server, True)

    def link_lost(self, now_ms: int, ref: ServerRef) -> None:
        """Tell the scheduler about a server that cannot be used."""
        runtime = self._runtimes.get(ref.service)
        if runtime is not None:
            runtime.scheduler.server_down(now_ms, ref.server)

    def load(self, now_ms: int, ref: ServerRef, load: backend.Load) -> None:
        """Take a load report."""
        runtime = self._runtimes.get(ref.service)
        if runtime is not None:
            runtime.scheduler.server_load(now_ms, ref.server, load)

    def said_draining(self, now_ms: int, ref: ServerRef) -> None:
        """Take the notification of a server that it is draining."""
        self._drain(now_ms, ref, "server", True)

    def _drain(
        self, now_ms: int, ref: ServerRef, source: str, draining: bool
    ) -> None:
        runtime = self._runtimes.get(ref.service)
        if runtime is None:
            return
        sources = runtime.drains.setdefault(ref.server, set())
        before = bool(sources)
        if draining:
            sources.add(source)
        else:
            sources.discard(source)
        if bool(sources) != before:
            runtime.scheduler.server_draining(
                now_ms, ref.server, bool(sources)
            )
            self._ctx.changed(
                f"server {ref.service}/{ref.server}",
                "draining" if before else "active",
                "active" if before else "draining",
                source,
            )

    def _apply_listed(self, now_ms: int, ref: ServerRef) -> None:
        state = self._listed.get(ref)
        leaving = state == events.InstanceState.LEAVING
        self._drain(now_ms, ref, "instances", leaving)

    def _keeps_removed(
        self,
        now_ms: int,
        runtime: Runtime | None,
        link: links_lib.Link,
    ) -> bool:
        """Tell whether a server outside the configuration is needed.

        Its requests and feeds end first. Feeds of other balancers count
        too, because their address is lost with the configuration and
        their owner may die.
        """
        if runtime is None:
            return False
        if runtime.server_users.get(link.ref.server):
            return True
        if link.up:
            return link.connections > 0
        return now_ms - link.down_since_ms < REMOVED_DOWN_MS

    def _in_home(self, service: str) -> bool:
        home = self._directory.home(service)
        return any(member.name == self._ctx.me.name for member in home)

    def _set_members(self, now_ms: int, runtime: Runtime) -> None:
        names = {member.name for member in self._directory.home(runtime.name)}
        names.add(self._ctx.me.name)
        runtime.scheduler.set_members(now_ms, tuple(sorted(names)))

    def _ensure_links(
        self, now_ms: int, runtime: Runtime, service: model.Service
    ) -> None:
        for name, server in service.servers.items():
            self._links.ensure(
                now_ms,
                ServerRef(runtime.name, name),
                address_lib.Address.parse(server.address),
            )
