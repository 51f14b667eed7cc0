"""The ``sequoiamoor`` command."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import typer

from .declaration import read_declaration
from .errors import SequoiamoorError, SettingsError
from .settings import read_settings
from .types import Address

app = typer.Typer(
    help="A fleet of request routers that shares upstreams fairly.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
stand_in = typer.Typer(
    help="Small stand-ins with the interfaces of the platform and the upstreams.",
    no_args_is_help=True,
)
app.add_typer(stand_in, name="stand-in")

Host = Annotated[str, typer.Option(help="IP address to listen on.")]
Port = Annotated[int, typer.Option(help="Port to listen on; 0 takes a free one.")]


@app.command()
def router(
    settings: Annotated[Path, typer.Option(help="JSON settings file.")],
) -> None:
    """Runs one router."""
    from .daemon import run_router

    run_router(read_settings(settings))


@app.command()
def check(file: Annotated[Path, typer.Argument(help="JSON file to check.")]) -> None:
    """Checks router settings or a declaration; exits with 0 or 2."""
    is_settings = file.exists() and b'"router_id"' in file.read_bytes()
    if is_settings:
        read_settings(file)
    else:
        read_declaration(file)
    typer.echo(f"{file}: valid {'settings' if is_settings else 'declaration'}")


@app.command()
def demo(
    seed: Annotated[int, typer.Option(help="Seed of the load.")] = 1,
) -> None:
    """Runs a small fleet under a bounded load and prints what its callers saw."""
    from .standin.demo import run_demo

    raise typer.Exit(run_demo(seed=seed))


@stand_in.command("platform")
def run_platform_stand_in(
    host: Host = "127.0.0.1",
    port: Port = 0,
    seed: Annotated[int | None, typer.Option(help="Seed of the faults.")] = None,
    list_lag: Annotated[float, typer.Option(help="Lag of the VM list, s.")] = 1.0,
) -> None:
    """Runs a stand-in for the platform."""
    from .standin.platform import run_platform

    run_platform(Address(host, port), seed=seed, list_lag=list_lag)


@stand_in.command("engine")
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


@stand_in.command("service")
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
    """Runs the command; errors end with exit code 2 and a message."""
    try:
        app()
    except SettingsError as err:
        typer.echo(str(err), err=True)
        sys.exit(2)
    except SequoiamoorError as err:
        typer.echo(f"{err.code}: {err}", err=True)
        sys.exit(1)
