"""A daemon under virtual time with client accounts."""

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, leaves, routes
from amaranthpulley.state.forwarding.client_accounts import accounts

# Digests of keys of the accounts that `tables` makes.
RED_KEY = b"red"
BLUE_KEY = b"blue"
OTHER_KEY = b"other"


def account(name: str, **changes: object) -> accounts.Account:
    """Return an account without limits; arguments replace its fields."""
    usual = accounts.Account(name, None, frozenset(), 0.0, 0.0)
    return usual._replace(**changes)


def table(**holders: accounts.Account) -> accounts.AccountTable:
    """Return a table of accounts by the text of the digest of their key."""
    return accounts.AccountTable(
        {holder.name: holder for holder in holders.values()},
        {key.encode(): holder.name for key, holder in holders.items()},
    )


RED = account("Red & Sons")
BLUE = account("blue")
RED_AND_BLUE = table(red=RED, blue=BLUE)
# After a version in which red has lost its only key.
WITHOUT_RED = table(blue=BLUE)


def cancelled(site: gateway_site.GatewaySite) -> set[int]:
    """Return the numbers of the cancelled attempts and delegations."""
    found = site.others
    return {c.attempt for c in found if isinstance(c, commands.CancelAttempt)}


class AccountSite:
    """A daemon with the accounts red and blue, and leaves in two regions.

    Parameters
    ----------
    *found : Route
        The routes; by default one merged and one single route.
    accounts : AccountTable or None
        The accounts.
    """

    def __init__(
        self,
        *found: routes.Route,
        accounts: accounts.AccountTable | None = RED_AND_BLUE,
        entries: tuple[leaves.LeafEntry, ...] = (),
    ) -> None:
        self.site = gateway_site.GatewaySite(gateway.Limits(retry_slack=200))
        self.routes = found or (gateway_site.route(), gateway_site.single())
        self.version = 1
        entries = entries or tuple(
            gateway_site.entry(f"{service}-{number}", service, domain)
            for service in (*gateway_site.SHARDS, "visits")
            for number, domain in enumerate(("a1", "a1", "b1"))
        )
        self.site.begin(self._configuration(accounts), *entries)

    def change(self, changed: accounts.AccountTable | None) -> None:
        """Put a new version with these accounts in force."""
        self.version += 1
        self.site.feed(events.ConfigurationRead(self._configuration(changed)))

    def ask(self, path: str = "/visit/1", key_digest: bytes | None = RED_KEY) -> int:
        """Feed a request with a key and return its number."""
        return self.site.request(path, key_digest=key_digest)

    def _configuration(
        self, found: accounts.AccountTable | None
    ) -> routes.Configuration:
        made = gateway_site.configuration(*self.routes, version=self.version)
        return made._replace(accounts=found)
