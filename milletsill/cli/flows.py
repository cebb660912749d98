"""`milletsill flows`: receives, decodes and explains flow export."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

import click

from milletsill.cli.exits import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    exit_with,
    exit_with_error,
)

if TYPE_CHECKING:
    from netaddr import IPSet

    from milletsill.flows.collecting_process import CollectingProcess

MAX_PORT = 65_535
MAX_DATAGRAM = 65_535  # bytes
READ_SIZE = 65_536  # bytes of a file at a time

WITHIN = click.option(
    "--within",
    multiple=True,
    help="Only flows with an end in this prefix; may be given again.",
)


@click.group()
def flows() -> None:
    """Flow export: hear, decode and explain it."""


@flows.command(
    "collect",
    help="Hear IPFIX and NetFlow 9, decode strictly, print JSON lines; at the end what "
    "it came to.",
)
@click.option(
    "--listen",
    default="127.0.0.1:4739",
    show_default=True,
    help="host:port for UDP and TCP alike.",
)
@click.option(
    "--seconds", type=click.FloatRange(0.1, 86_400), help="End by itself after so long."
)
@WITHIN
@click.option(
    "--quiet", is_flag=True, help="No line for each record, what it came to alone."
)
@click.option(
    "--table",
    "as_table",
    is_flag=True,
    help="A table at the end in place of a line for each record.",
)
def flows_collect(
    listen: str,
    seconds: float | None,
    within: tuple[str, ...],
    quiet: bool,
    as_table: bool,
) -> None:
    """Receive IPFIX and NetFlow 9, print each record, and at the end a summary."""
    from milletsill.flows.collecting_process import CollectingProcess
    from milletsill.flows.summary_table import render_summary

    show = _show_nothing if as_table or quiet else _show_as_json
    collector = CollectingProcess(show, _complain, _address_set(within))
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        exit_with_error(f"{listen!r} is not host:port", EXIT_BAD_INPUT)
    _collect(collector, host, int(port), seconds)
    summary = collector.summary()
    click.echo(render_summary(summary) if as_table else json.dumps(summary))


def _collect(
    collector: CollectingProcess, host: str, port: int, seconds: float | None
) -> None:
    """Listen until SIGTERM or SIGINT, or for so many seconds."""
    import signal

    from twisted.internet import reactor as installed_reactor
    from twisted.internet.error import CannotListenError

    from milletsill.flows.collecting_transport import (
        TcpCollectingFactory,
        UdpCollectingProtocol,
    )

    reactor: Any = installed_reactor  # its type depends on the platform
    try:
        reactor.listenUDP(
            port,
            UdpCollectingProtocol(collector),
            interface=host,
            maxPacketSize=MAX_DATAGRAM,
        )
        reactor.listenTCP(port, TcpCollectingFactory(collector), interface=host)
    except CannotListenError as error:
        exit_with_error(str(error), EXIT_FAILED)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(reactor.stop))
    if seconds:
        reactor.callLater(seconds, reactor.stop)
    reactor.run(installSignalHandlers=False)


def _show_nothing(record: dict[str, Any]) -> None:
    """Leave a record out of the output."""


def _show_as_json(record: dict[str, Any]) -> None:
    """Print a record as one line of JSON."""
    click.echo(json.dumps(record))


def _complain(text: str) -> None:
    """Write a line on a malformed message to standard error."""
    click.echo(text, err=True)


def _address_set(prefixes: tuple[str, ...]) -> IPSet | None:
    """Return the addresses within some prefixes, or None for all.

    A bad prefix ends the process with EXIT_BAD_INPUT.
    """
    from netaddr import AddrFormatError, IPSet

    try:
        return IPSet(prefixes) if prefixes else None
    except (AddrFormatError, ValueError) as error:
        exit_with_error(str(error), EXIT_BAD_INPUT)


@flows.command(
    "decode",
    help="Decode FILE, IPFIX messages one behind the other (RFC 5655). Exit status 1 "
    "where it ends in the middle of one.",
)
@click.argument("file", type=click.Path())
@WITHIN
def flows_decode(file: str, within: tuple[str, ...]) -> None:
    """Decode a file of IPFIX messages; a truncated one ends with EXIT_FAILED."""
    from milletsill.flows.collecting_process import CollectingProcess

    collector = CollectingProcess(_show_as_json, _complain, _address_set(within))
    unread, position = _decode_file(file, collector)
    if unread:
        click.echo(f"{file}: cut {unread} bytes into a message at {position}", err=True)
    sys.exit(EXIT_FAILED if unread or collector.malformed else 0)


def _decode_file(file: str, collector: CollectingProcess) -> tuple[int, int]:
    """Hand a collector each message of a file.

    Returns:
        How many bytes of an unfinished message are left, and where it begins.
    """
    from milletsill.flows.collecting_process import TransportSession
    from milletsill.flows.errors import MalformedFlowMessageError
    from milletsill.flows.ipfix_stream import IpfixMessageSplitter

    session = TransportSession(template_lifetime=None)
    splitter = IpfixMessageSplitter()
    position = 0
    try:
        with open(file, "rb") as source:
            while data := source.read(READ_SIZE):
                for message in splitter.feed(data):
                    collector.on_message(session, message, f"{file} at {position}")
                    position += len(message)
    except OSError as error:
        exit_with(f"{file}: {error.strerror}", EXIT_BAD_INPUT)
    except MalformedFlowMessageError as error:
        error.with_location(f"{file} at {position}")
        exit_with(error.describe(), EXIT_FAILED)
    return len(splitter.buffer), position


@flows.command("elements")
def flows_elements() -> None:
    """Print our enterprise elements."""
    from milletsill.flows.information_elements import ELEMENTS, ElementSpace

    for element in ELEMENTS.values():
        if element.space is ElementSpace.ENTERPRISE:
            click.echo(
                f"{element.number:>3} {element.name:<32} {element.data_type:<12} "
                f"{element.semantics:<13} {element.description}"
            )
