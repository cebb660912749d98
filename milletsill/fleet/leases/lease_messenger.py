"""Encodes, sends, decodes and dispatches messages about leases between gateways."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from milletsill.fleet.errors import MalformedFrameError
from milletsill.fleet.leases import codec
from milletsill.fleet.leases import registers_pb2 as wire
from milletsill.fleet.leases.acceptor_recovery import (
    NO_IDENTITY,
    QUERY_INTERVAL,
    StateIdentity,
    is_stale,
)
from milletsill.fleet.leases.acceptor_service import AcceptorService
from milletsill.fleet.leases.lease_settings import LeaseEnvironment, LeaseSettings
from milletsill.fleet.leases.messages import (
    AcceptorReply,
    AcceptorRequest,
    ReplyStatus,
    RequestKind,
)
from milletsill.fleet.leases.metrics import LeaseMetrics
from milletsill.fleet.peer_clocks import PeerClocks
from milletsill.fleet.transport import MessageKind

# Ticks between two log events about malformed messages.
MALFORMED_LOG_INTERVAL = 600_000
_NEVER = -1 << 60

OnReply = Callable[[str, AcceptorReply], None]
OnChannelMessage = Callable[[str, int, bytes], None]


class LeaseMessenger:
    """One gateway's messages about leases.

    Args:
        settings: Settings of the lease service.
        environment: The program's interfaces that the lease service uses.
        metrics: Metrics of the lease service.
        clock_id: Random number that identifies this gateway's clock until it restarts.
        on_reply: Called with each reply of an acceptor to this gateway.

    Attributes:
        acceptor: This gateway's acceptor; None if the gateway is not an acceptor.
        settings_digest: Digest of the settings that must be the same at all gateways.
        on_channel_message: Called with the sender, its incarnation and the body of
            each `MessageKind.CHANNEL` message that is not about leases.
        is_stopped: Whether the messenger ignores all messages, in both directions.
    """

    def __init__(
        self,
        settings: LeaseSettings,
        environment: LeaseEnvironment,
        metrics: LeaseMetrics,
        clock_id: int,
        on_reply: OnReply,
    ) -> None:
        self._acceptors = settings.acceptors
        self._call_timeout = settings.timings.call_timeout
        self._now = environment.now
        self._log = environment.log
        self._transport = environment.transport
        self._metrics = metrics
        self._clock_id = clock_id
        self._on_reply = on_reply
        self._clocks = PeerClocks(settings.timings.drift_permille)
        self._identities: dict[str, StateIdentity] = {}
        self._announced = NO_IDENTITY
        self._malformed_logged_at = _NEVER
        self._warned_at: dict[str, int] = {}
        self.settings_digest = codec.settings_digest(
            settings.acceptors, settings.timings
        )
        self.acceptor: AcceptorService | None = None
        self.on_channel_message: OnChannelMessage = _ignore_message
        self.is_stopped = False

    # Messages to other gateways.

    def send_requests(self, acceptor: str, requests: Iterable[AcceptorRequest]) -> None:
        """Send requests to an acceptor.

        Requests that cannot be sent are treated as if the acceptor had replied
        UNAVAILABLE at once.
        """
        encoded = codec.encode_requests(
            requests, lambda at: self._clocks.to_remote(acceptor, at, self._now())
        )
        for calls in codec.split_into_frames(encoded.calls):
            payload = wire.Calls(
                call=calls, terms=self.settings_digest, whose=encoded.clock_id
            )
            body = codec.encode_frame(payload)
            if not self._transport.send(acceptor, MessageKind.CHANNEL, body):
                self._metrics.unsent.inc(len(calls))
                self._on_unsent(acceptor, calls)

    def _on_unsent(self, acceptor: str, calls: Iterable[wire.Call]) -> None:
        for call in calls:
            request = codec.decode_own_request(self._transport.name, call)
            if request.kind is RequestKind.RELEASE:
                continue
            reply = AcceptorReply.to_request(
                request, ReplyStatus.UNAVAILABLE, self._call_timeout
            )
            self._on_reply(acceptor, reply)

    def send_replies(self, gateway: str, replies: Sequence[AcceptorReply]) -> None:
        """Send replies of this gateway's acceptor to a gateway, or to itself."""
        if self.acceptor is None or self.is_stopped:
            return
        if gateway == self._transport.name:
            for reply in replies:
                self._on_reply(gateway, reply)
            return
        identity = codec.encode_identity(self.acceptor.identity())
        answers = [codec.encode_reply(each) for each in replies]
        for part in codec.split_into_frames(answers):
            payload = wire.Answers(
                own=identity, answer=part, whose=self._clock_id, read=self._now()
            )
            self._send(gateway, payload)

    def query_known_identity(self, all_gateways: bool) -> None:
        """Ask the acceptors, or all gateways, which identity they know of this one."""
        names = self._transport.view.by_name if all_gateways else self._acceptors
        for name in names:
            if name != self._transport.name:
                self._send(name, wire.Hello())

    def query_page(self, acceptor: str, after: str) -> None:
        """Ask an acceptor for its records after a key."""
        self._send(acceptor, wire.Tell(after=after))

    def announce_identity(self) -> None:
        """Send this acceptor's identity to the other acceptors if it has changed.

        With it they can detect that this acceptor's file was replaced by an older copy.
        """
        acceptor = self.acceptor
        if acceptor is None or not acceptor.is_serving():
            return
        if acceptor.identity() == self._announced:
            return
        self._announced = acceptor.identity()
        for name in acceptor.settings.others:
            identity = codec.encode_identity(self._announced)
            self._send(name, wire.Beat(own=identity))

    def _send(self, gateway: str, payload: codec.FramePayload) -> None:
        if not self.is_stopped:
            body = codec.encode_frame(payload)
            self._transport.send(gateway, MessageKind.CHANNEL, body)

    # Messages from other gateways.

    def on_message(self, gateway: str, incarnation: int, body: bytes) -> None:
        """Handle a message of `MessageKind.CHANNEL`."""
        if self.is_stopped:
            return
        if not body.startswith(codec.FRAME_MARK):
            self.on_channel_message(gateway, incarnation, body)
            return
        try:
            self._on_frame(gateway, codec.decode_frame(body))
        except MalformedFrameError as error:
            self._on_malformed(gateway, error)

    def _on_malformed(self, gateway: str, error: MalformedFrameError) -> None:
        self._metrics.unreadable.inc()
        now = self._now()
        if now - self._malformed_logged_at >= MALFORMED_LOG_INTERVAL:
            self._malformed_logged_at = now
            self._log("lease_message_error", **error.log_fields(), member=gateway)

    def _on_frame(self, gateway: str, frame: wire.Frame) -> None:
        """Dispatch a frame; message types of later versions are ignored."""
        payload = frame.WhichOneof("what")
        if gateway in self._acceptors:
            self._on_acceptor_frame(gateway, payload, frame)
        acceptor = self.acceptor
        if acceptor is None:
            return
        if payload == "calls":
            requests = codec.decode_requests(gateway, frame.calls, self._clock_id)
            acceptor.on_requests(gateway, requests, frame.calls.terms)
        elif payload == "witness":
            has_known = frame.witness.HasField("known")
            known = codec.decode_identity(frame.witness.known) if has_known else None
            acceptor.on_known_identity(gateway, known)

    def _on_acceptor_frame(
        self, name: str, payload: str | None, frame: wire.Frame
    ) -> None:
        """Handle the message types that only acceptors send."""
        match payload:
            case "answers":
                self._on_answers(name, frame.answers)
            case "beat":
                self._on_identity(name, codec.decode_identity(frame.beat.own))
            case "hello":
                self._send_known_identity(name)
            case "tell":
                self._on_page_query(name, frame.tell.after)
            case "page" if self.acceptor is not None:
                page = codec.decode_page(frame.page)
                self.acceptor.on_page(name, frame.page.after, page)

    def _on_answers(self, name: str, answers: wire.Answers) -> None:
        self._on_identity(name, codec.decode_identity(answers.own))
        if answers.whose:
            self._clocks.on_reading(name, answers.whose, answers.read, self._now())
        for each in answers.answer[: codec.MAX_FRAME_MESSAGES]:
            reply = codec.decode_reply(self._transport.name, each)
            if reply is not None:
                self._on_reply(name, reply)

    def _on_page_query(self, name: str, after: str) -> None:
        if self.acceptor is None:
            return
        self.acceptor.read_page(
            after, lambda page: self._send(name, codec.encode_page(after, page))
        )

    # Known identities of acceptors.

    def _on_identity(self, name: str, identity: StateIdentity) -> None:
        """Keep the greatest identity that an acceptor has sent.

        An acceptor that sends a lesser identity is sent the known one, at most once per
        `QUERY_INTERVAL`.
        """
        known = self._known_identity(name)
        if self.acceptor is not None:
            self.acceptor.remember_identity(name, identity)
        if known is None or identity > known:
            self._identities[name] = identity
            return
        now = self._now()
        is_due = now - self._warned_at.get(name, _NEVER) >= QUERY_INTERVAL
        if is_stale(known, identity) and is_due:
            self._warned_at[name] = now
            self._send_known_identity(name)

    def _known_identity(self, name: str) -> StateIdentity | None:
        received = self._identities.get(name)
        stored = None if self.acceptor is None else self.acceptor.known_identity(name)
        if received is None or stored is None:
            return received or stored
        return max(received, stored)

    def _send_known_identity(self, name: str) -> None:
        known = self._known_identity(name)
        witness = wire.Witness()
        if known is not None:
            witness.known.CopyFrom(codec.encode_identity(known))
        self._send(name, witness)


def _ignore_message(gateway: str, incarnation: int, body: bytes) -> None:
    """Ignore a message; the handler until one is set."""
