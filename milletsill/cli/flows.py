"""`milletsill flows`: receives and decodes flow export, and lists its elements."""

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
    help="Only flows with an endpoint in this IP prefix; may be repeated.",
)


@click.group()
def flows() -> None:
    """Flow export: receive it, decode it, list its elements."""


@flows.command(
    "collect",
    help="Receive IPFIX and NetFlow 9, decode strictly, and print each record as a "
    "line of JSON, then a summary.",
)
@click.option(
    "--listen",
    default="127.0.0.1:4739",
    show_default=True,
    help="host:port to listen on, UDP and TCP.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(0.1, 86_400),
    help="Stop after this many seconds.",
)
@WITHIN
@click.option("--quiet", is_flag=True, help="Print only the summary, not each record.")
@click.option(
    "--table",
    "as_table",
    is_flag=True,
    help="Print only the summary, as tables.",
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

    on_record = _discard_record if as_table or quiet else _print_as_json
    collector = CollectingProcess(on_record, _print_error, _address_set(within))
    host, _, port = listen.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        exit_with_error(f"{listen!r} is not host:port", EXIT_BAD_INPUT)
    _collect(collector, host, int(port), seconds)
    summary = collector.summary()
    click.echo(render_summary(summary) if as_table else json.dumps(summary))


def _collect(
    collector: CollectingProcess, host: str, port: int, seconds: float | None
) -> None:
    """Listen until SIGTERM or SIGINT, or for the given number of seconds."""
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


def _discard_record(record: dict[str, Any]) -> None:
    """Do not print a record."""


def _print_as_json(record: dict[str, Any]) -> None:
    """Print a record as one line of JSON."""
    click.echo(json.dumps(record))


def _print_error(text: str) -> None:
    """Write a line on a malformed message to standard error."""
    click.echo(text, err=True)


def _address_set(prefixes: tuple[str, ...]) -> IPSet | None:
    """Return the addresses in some prefixes, or None for all.

    An invalid prefix ends the process with EXIT_BAD_INPUT.
    """
    from netaddr import AddrFormatError, IPSet

    try:
        return IPSet(prefixes) if prefixes else None
    except (AddrFormatError, ValueError) as error:
        exit_with_error(str(error), EXIT_BAD_INPUT)


@flows.command(
    "decode",
    help="Decode FILE, a sequence of IPFIX messages (RFC 5655). Exit status 1 if a "
    "message is malformed or truncated.",
)
@click.argument("file", type=click.Path())
@WITHIN
def flows_decode(file: str, within: tuple[str, ...]) -> None:
    """Decode a file of IPFIX messages; exit with EXIT_FAILED if it is malformed."""
    from milletsill.flows.collecting_process import CollectingProcess

    collector = CollectingProcess(_print_as_json, _print_error, _address_set(within))
    unread, position = _decode_file(file, collector)
    if unread:
        click.echo(
            f"{file}: truncated after {unread} bytes of the message at {position}",
            err=True,
        )
    sys.exit(EXIT_FAILED if unread or collector.malformed else 0)


def _decode_file(file: str, collector: CollectingProcess) -> tuple[int, int]:
    """Pass each message of a file to a collecting process.

    Returns:
        The number of bytes of an incomplete last message, and its offset.
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
    """Print the enterprise information elements of milletsill."""
    from milletsill.flows.information_elements import ELEMENTS, ElementSpace

    for element in ELEMENTS.values():
        if element.space is ElementSpace.ENTERPRISE:
            click.echo(
                f"{element.number:>3} {element.name:<32} {element.data_type:<12} "
                f"{element.semantics:<13} {element.description}"
            )
