"""Base of stores in memory that tests only read and watch."""

from cyclamenridge.ports import store as store_port


class ReadOnlyStore(store_port.KeyValueStore):
    """Has no calls but ``range`` and ``watch``, which subclasses define."""

    async def get(self, key, *, revision=0):
        raise NotImplementedError

    async def compare_and_put(self, key, value, **condition):
        raise NotImplementedError

    async def grant_lease(self, ttl_s):
        raise NotImplementedError

    async def keep_lease_alive(self, lease_id):
        raise NotImplementedError

    async def revoke_lease(self, lease_id):
        raise NotImplementedError

    async def close(self):
        pass
