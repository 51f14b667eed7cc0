"""Command line interface of the ``sequoiamoor`` command."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated

import curio
import typer

from .core.leases import Order, OrderKind
from .declaration import parse_declaration
from .errors import SequoiamoorError, SettingsError
from .settings import parse_address
from .types import Address

app = typer.Typer(
    help="A fleet of request routers that shares upstreams fairly.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
stand_in_commands = typer.Typer(
    help="Small stand-ins with the interfaces of the platform and the upstreams.",
    no_args_is_help=True,
)
app.add_typer(stand_in_commands, name="stand-in")
config_commands = typer.Typer(
    help="Reads and changes the configuration in the platform's table.",
    no_args_is_help=True,
)
app.add_typer(config_commands, name="config")
part_commands = typer.Typer(
    help="Shows and clears prompt parts under which replicas ended, in the store.",
    no_args_is_help=True,
)
app.add_typer(part_commands, name="parts")

Host = Annotated[str, typer.Option(help="IP address to listen on.")]
Port = Annotated[int, typer.Option(help="Port to listen on; 0 takes a free one.")]


@app.command()
def router(
    settings: Annotated[Path, typer.Option(help="JSON settings file.")],
) -> None:
    """Runs one router.

    With a section ``gateway`` in its settings it serves routes on the operators'
    platform, without one the interface of this project.
    """
    from .daemon import run_router

    run_router(settings)


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="JSON file to check.", dir_okay=True)],
) -> None:
    """Checks router settings or a declaration.

    Prints one line per wrong field with its value, the valid values and the remedy, or
    for valid settings the file descriptors by use with their sum and limit.
    The exit code is 0 if the file is valid and 2 if it is not or cannot be read.
    """
    from .commands.checks import check_file

    kind, note = check_file(file)
    typer.echo(f"{file}: valid {kind}")
    if note is not None:
        typer.echo(note)


@app.command()
def status(
    router: Annotated[str, typer.Option(help="HOST:PORT of a router's HTTP port.")],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the status as JSON for programs.")
    ] = False,
) -> None:
    """Shows what a router knows: members, upstreams, backlog, configuration, store.

    The exit code is 1 if the router does not answer.
    """
    from .commands.status import format_status, read_status

    document = curio.run(read_status, parse_address(router))
    typer.echo(json.dumps(document, indent=2) if as_json else format_status(document))


@app.command()
def explain(
    router: Annotated[str, typer.Option(help="HOST:PORT of gateway.metrics.")],
    host: Annotated[str, typer.Option(help="Host of the request.")],
    path: Annotated[str, typer.Option(help="Path of the request.")],
    organisation: Annotated[
        str | None, typer.Option(help="Name of its organisation, not a key.")
    ] = None,
    parts: Annotated[
        str | None, typer.Option(help="Parts of its prompt, ID:TOKENS,...")
    ] = None,
    output_tokens: Annotated[
        int | None, typer.Option(min=0, help="Expected number of output tokens.")
    ] = None,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the explanation as JSON.")
    ] = False,
) -> None:
    """Explains where a request would go now, without sending it.

    The exit code is 1 if the router does not answer or cannot explain its choices.
    """
    from .commands.explain import format_explanation, read_explanation

    question = {
        "host": host,
        "path": path,
        "organisation": organisation,
        "parts": parts,
        "output_tokens": output_tokens,
    }
    document = curio.run(read_explanation, parse_address(router), question)
    typer.echo(
        json.dumps(document, indent=2) if as_json else format_explanation(document)
    )


Platform = Annotated[str, typer.Option(help="HOST:PORT of the platform.")]


@config_commands.command("get")
def get_configuration(
    platform: Platform,
    version: Annotated[
        int | None, typer.Option(help="Earlier version; default: the current one.")
    ] = None,
) -> None:
    """Prints a configuration as JSON, and its version on standard error.

    The output can be edited and given to 'config put' with '--expect VERSION'.
    """
    from .commands.configuration import ConfigurationStore, to_document

    store = ConfigurationStore(parse_address(platform))
    entry = curio.run(store.read, version)
    typer.echo(f"version {entry.version}", err=True)
    typer.echo(json.dumps(to_document(entry), indent=2))


@config_commands.command("put")
def put_configuration(
    file: Annotated[Path, typer.Argument(help="JSON file with the declaration.")],
    platform: Platform,
    expect: Annotated[
        int, typer.Option(help="Version that the change replaces; 0 for the first.")
    ],
) -> None:
    """Replaces the configuration if its current version is the expected one.

    The change is accepted when the command says so. If another operator was faster,
    nothing is changed, the command prints the current version and the differences,
    and the exit code is 1. An invalid file, one with weights or VM names for
    example, is refused with exit code 2.
    """
    from .commands.checks import read_json
    from .commands.configuration import ConfigurationStore, make_change_id
    from .core.changes import ConfigurationChange

    parse_declaration(read_json(file), source=str(file))
    change = ConfigurationChange(read_json(file), make_change_id(), expect)
    store = ConfigurationStore(parse_address(platform))
    version = curio.run(store.put, change)
    typer.echo(f"accepted as version {version}, change {change.change_id}")


@config_commands.command("diff")
def diff_configuration(
    file: Annotated[Path, typer.Argument(help="JSON file with the declaration.")],
    platform: Platform,
    version: Annotated[
        int | None, typer.Option(help="Earlier version; default: the current one.")
    ] = None,
) -> None:
    """Prints the differences from a version to a file, one line each.

    '+' marks a field that only the file has, '-' one that it does not have and '~'
    one with another value.
    """
    from .commands.checks import read_json
    from .commands.configuration import ConfigurationStore, to_document
    from .core.changes import list_differences

    document = read_json(file)
    store = ConfigurationStore(parse_address(platform))
    entry = curio.run(store.read, version)
    typer.echo(f"from version {entry.version} to {file}:")
    for line in list_differences(to_document(entry) or {}, document) or ["(none)"]:
        typer.echo(f"  {line}")


@config_commands.command("history")
def list_history(
    platform: Platform,
    count: Annotated[int, typer.Option(min=1, help="How many versions.")] = 10,
) -> None:
    """Prints the last versions and what each of them changed, newest first."""
    from .commands.configuration import ConfigurationStore

    store = ConfigurationStore(parse_address(platform))
    for row in curio.run(store.list_history, count):
        change_id = row.change_id or "(no history entry)"
        typer.echo(f"version {row.version}, change {change_id}")
        for line in row.differences:
            typer.echo(f"  {line}")


@part_commands.command("list")
def list_parts(platform: Platform) -> None:
    """Prints the prompt parts under which replicas ended.

    With each part come its state and the processes that ended, with the request and
    organisation under which they did.
    """
    from .commands.parts import PartRegister, format_cases

    cases = curio.run(PartRegister(parse_address(platform)).list_cases)
    typer.echo(format_cases(cases))


@part_commands.command("clear")
def clear_part(
    service: Annotated[str, typer.Argument(help="Service of the part.")],
    part: Annotated[str, typer.Argument(help="Identifier as 'parts list' shows it.")],
    platform: Platform,
) -> None:
    """Ends the quarantine of a prompt part at all routers.

    Requests with the part are sent to replicas again. If replicas end under them, the
    part comes into quarantine again. The exit code is 1 if the part is not suspected or
    a router changed its state meanwhile; nothing is changed then.
    """
    from .commands.parts import PartRegister
    from .core.part_cases import PartKey

    register = PartRegister(parse_address(platform))
    curio.run(register.clear, PartKey(service, part))
    typer.echo(f"cleared {part} of {service}")


@app.command()
def order(
    replica: Annotated[str, typer.Argument(help="Identifier of the engine's VM.")],
    kind: Annotated[OrderKind, typer.Argument(help="What the engine is told.")],
    wanted: Annotated[
        str,
        typer.Argument(help="Absolute state as JSON, for example '\"chat-7b\"'."),
    ],
    platform: Platform,
    wait: Annotated[
        float, typer.Option(min=0, help="Longest wait for an earlier order, s.")
    ] = 60.0,
) -> None:
    """Sends an order to one engine, under a lease with a fencing number.

    The exit code is 0 if the engine accepted the order, 1 if it was not sent, was
    refused or its effect is unknown (code order-unknown), and 2 for wrong arguments.
    An order of unknown effect can be sent again, because its state is absolute.
    """
    from .commands.deadline import end_process_after
    from .commands.orders import OrderSender

    try:
        state = json.loads(wanted)
    except ValueError as err:
        raise SettingsError(
            f"the wanted state {wanted!r} is not JSON ({err}); put a text in double "
            "quotes"
        ) from err

    def report_wait(seconds: float) -> None:
        text = f"waiting up to {seconds:.0f} s for an earlier order's lease"
        typer.echo(text, err=True)

    async def send_order() -> Order:
        sender = OrderSender(parse_address(platform), guard=end_process_after)
        return await sender.send(
            replica, kind, state, wait_limit=wait, report_wait=report_wait
        )

    sent = curio.run(send_order)
    typer.echo(f"accepted by {replica} with fencing number {sent.fencing_number}")


@app.command()
def demo(
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
) -> None:
    """Runs a small fleet under a bounded load and prints its callers' results."""
    from .standin.demo import run_demo

    raise typer.Exit(run_demo(seed=seed))


@stand_in_commands.command("platform")
def run_platform_stand_in(
    host: Host = "127.0.0.1",
    port: Port = 0,
    seed: Annotated[int | None, typer.Option(help="Seed of the faults.")] = None,
    list_lag: Annotated[float, typer.Option(help="Lag of the VM list, s.")] = 1.0,
) -> None:
    """Runs a stand-in for the platform."""
    from .standin.platform import run_platform

    run_platform(Address(host, port), seed=seed, list_lag=list_lag)


@stand_in_commands.command("engine")
def run_engine_stand_in(
    replica: Annotated[str, typer.Option(help="Identifier of the replica.")],
    host: Host = "127.0.0.1",
    port: Port = 0,
    slots: Annotated[
        int, typer.Option(min=1, help="Requests up to which throughput grows.")
    ] = 8,
    token_interval: Annotated[
        float, typer.Option(min=0.001, help="Time between tokens when full, s.")
    ] = 0.02,
    load_lag: Annotated[
        float, typer.Option(min=0.0, help="Lag of the load report, s.")
    ] = 0.5,
    cache_tokens: Annotated[
        int, typer.Option(min=0, help="Prompt tokens that the prefix cache holds.")
    ] = 20_000,
    fencing: Annotated[
        bool, typer.Option(help="Whether orders with a stale number are refused.")
    ] = True,
    seed: Annotated[int | None, typer.Option(help="Seed of the lost events.")] = None,
) -> None:
    """Runs a stand-in for a model engine."""
    from .standin.engine import run_engine

    run_engine(
        Address(host, port),
        replica=replica,
        slots=slots,
        token_interval=token_interval,
        load_lag=load_lag,
        cache_tokens=cache_tokens,
        checks_fencing=fencing,
        seed=seed,
    )


@stand_in_commands.command("service")
def run_service_stand_in(
    replica: Annotated[str, typer.Option(help="Identifier of the replica.")],
    host: Host = "127.0.0.1",
    port: Port = 0,
    slots: Annotated[int, typer.Option(min=1, help="Calls that run at once.")] = 4,
) -> None:
    """Runs a stand-in for a plain service."""
    from .standin.service import run_service

    run_service(Address(host, port), replica=replica, slots=slots)


def main() -> None:
    """Runs the command line.

    An error ends it with a message, and with exit code 2 if settings, files or
    arguments are invalid, 1 otherwise.
    """
    try:
        app()
    except SettingsError as err:
        typer.echo(str(err), err=True)
        sys.exit(2)
    except SequoiamoorError as err:
        typer.echo(f"{err.code}: {err}", err=True)
        sys.exit(1)
