"""One daemon among scripted owners of an account's quota, under virtual time."""

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.client_accounts.tests import quota_fleet
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, peer_messages, requests, routes
from amaranthpulley.state.forwarding.client_accounts import accounts

ACME = quota_fleet.account("acme", 10, 10)
# Members by the region of their failure domain; the site's own daemon is vm-1 in a1.
DOMAINS = {"a1": "a", "b1": "b", "c1": "c"}


class QuotaSite:
    """A daemon and the messages and answers that it sent.

    Parameters
    ----------
    members : dict
        Failure domains of the other daemons by name.
    account : Account
        The account.
    """

    def __init__(
        self,
        members: dict[str, str] | None = None,
        account: accounts.Account = ACME,
        limits: gateway.Limits | None = None,
        slots: int = 50,
    ) -> None:
        self.site = gateway_site.GatewaySite(limits)
        place = gateway.Place("vm-1", "a1", "a", DOMAINS)
        self.site.gateway = gateway.Gateway(
            place, limits or gateway.Limits(), self.site.now_ms
        )
        self.site.begin(
            configuration(account), gateway_site.entry("l1", "visits", slots=slots)
        )
        for name, domain in (members or {}).items():
            member = gateway.Member(domain, f"{name}:1")
            self.site.feed(events.MemberChanged(name, member))
        self.site.feed(events.Registered(self.site.now_ms + 30_000))

    @property
    def gateway(self) -> gateway.Gateway:
        """The daemon's state."""
        return self.site.gateway

    @property
    def now_ms(self) -> int:
        """Current virtual time."""
        return self.site.now_ms

    def confirm(self) -> None:
        """Let every other daemon confirm the claim."""
        self.site.advance(100)
        for name in list(self.gateway.quotas.unconfirmed):
            number = self.gateway.quotas.claim or 0
            self.receive(peer_messages.MembershipConfirmation(number, name), name)
        self.site.advance(100)

    def request(self, deadline_ms: int = 800, path: str = "/visit/1") -> int:
        """Feed a request of the account and return its key."""
        self.site._next_key += 1
        key = self.site._next_key
        incoming = requests.IncomingRequest(
            key, f"r{key}", gateway_site.HOST, path, (key,), deadline_ms, None, b"acme"
        )
        self.site.feed(events.RequestArrived(incoming))
        return key

    def receive(self, message: peer_messages.PeerMessage, sender: str) -> None:
        """Feed a message of another daemon."""
        self.site.feed(events.PeerMessageReceived(message, f"{sender}:1"))

    def messages(self, kind: type) -> list[tuple[peer_messages.PeerMessage, str]]:
        """Return the messages of a kind that were sent, with their recipients."""
        return [
            (command.message, address.removesuffix(":1"))
            for command in self.site.others
            if isinstance(command, commands.SendToPeers)
            and isinstance(command.message, kind)
            for address in command.addresses
        ]

    def asked(self) -> list[tuple[peer_messages.TokenRequest, str]]:
        """Return the token requests, with the owners that were asked."""
        return self.messages(peer_messages.TokenRequest)

    def grant(self, index: int, granted: int, retry_after_ms: int = 0) -> None:
        """Answer one of the token requests."""
        message, owner = self.asked()[index]
        answer = peer_messages.TokenGrant(message.number, granted, retry_after_ms)
        self.receive(answer, owner)

    def refusal(self, key: int) -> commands.Refuse | None:
        """Return the refusal of a request, if it was refused."""
        answer = self.site.answers.get(key)
        return answer if isinstance(answer, commands.Refuse) else None


def configuration(account: accounts.Account, version: int = 1) -> routes.Configuration:
    """Return a configuration with one account and routes with and without it."""
    table = accounts.AccountTable({account.name: account}, {b"acme": account.name})
    found = gateway_site.configuration(
        gateway_site.single(),
        gateway_site.single(name="open", prefix="/open/", anonymous=True),
        version=version,
    )
    return found._replace(accounts=table)
