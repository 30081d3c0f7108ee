"""The command ``waxwingspool``."""

import asyncio
import gc
import json
import pathlib
import signal
import time
from typing import Annotated

import typer

from waxwingspool import __version__, exceptions
from waxwingspool.config import check, findings, model, settings
from waxwingspool.observe import burn, logs

__all__ = ["app", "main"]

# Exit status if a settings or configuration file is invalid or unreadable.
EXIT_FINDINGS = 1
# Exit status if another configuration version was accepted first.
EXIT_OUTDATED = 2
# Exit status if a balancer does not respond or responds with any other error.
EXIT_UNKNOWN = 3
# Net number of new objects that triggers a collection of the youngest generation.
GC_YOUNG_THRESHOLD = 20_000
# Timeout of a request to a balancer's operator interface, in seconds.
REQUEST_TIMEOUT_S = 30.0

app = typer.Typer(
    help="A load balancer for servers whose load shifts in milliseconds.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

SettingsFile = Annotated[
    pathlib.Path, typer.Option("--settings", help="settings file of this balancer")
]
Balancer = Annotated[str, typer.Option("--balancer", help="operator address of any balancer")]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]


@app.command()
def run(settings_file: SettingsFile) -> None:
    """Run a balancer until SIGTERM or SIGINT."""
    try:
        node_settings = settings.load(settings_file)
    except exceptions.ConfigurationError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_FINDINGS) from error
    logs.configure(node_settings.log_level, balancer=node_settings.id)
    asyncio.run(_run(node_settings))


@app.command("check")
def check_file(file: pathlib.Path) -> None:
    """Check a configuration file and report every finding with its location."""
    checked = check.check(_read_file(file))
    if checked.is_error():
        typer.echo(findings.report(checked.error), err=True)
        raise typer.Exit(EXIT_FINDINGS)
    services = checked.ok.services
    upstreams = sum(len(s.upstreams) for s in services)
    typer.echo(f"{file}: valid, {len(services)} services, {upstreams} upstreams")


@app.command()
def apply(
    file: pathlib.Path,
    balancer: Balancer,
    base: Annotated[
        int | None, typer.Option(help="configuration version that the file is based on")
    ] = None,
) -> None:
    """Check a configuration file and apply it as a whole."""
    text = _read_file(file)
    checked = check.check(text)
    if checked.is_error():
        typer.echo(findings.report(checked.error), err=True)
        raise typer.Exit(EXIT_FINDINGS)
    path = "/apply" if base is None else f"/apply?base={base}"
    status, response = asyncio.run(_request(balancer, "POST", path, text))
    if status == 200:
        typer.echo(f"accepted as version {response['version']}; {response['peers']} peers have it")
        return
    typer.echo(response.get("report") or response.get("error", "no answer"), err=True)
    exit_codes = {400: EXIT_FINDINGS, 409: EXIT_OUTDATED}
    raise typer.Exit(exit_codes.get(status, EXIT_UNKNOWN))


@app.command()
def status(balancer: Balancer, as_json: AsJson = False) -> None:
    """Show the version, peers and upstream states of every balancer."""
    statuses = asyncio.run(_request_all_balancers(balancer, "/status"))
    if as_json:
        typer.echo(json.dumps(statuses, indent=2))
        return
    for address, balancer_status in sorted(statuses.items()):
        if balancer_status is None:
            typer.echo(f"{address}: no answer")
            continue
        phase = "draining" if balancer_status["draining"] else "serving"
        typer.echo(
            f"{balancer_status['id']} at {address}: version {balancer_status['version']}, {phase}, "
            f"{len(balancer_status['peers'])} peers"
        )
        for name, service in balancer_status["services"].items():
            not_in_service = [
                f"{upstream} {state}"
                for upstream, state in service["upstreams"].items()
                if state != "in-service"
            ]
            total = len(service["upstreams"])
            line = f"  {name}: {total - len(not_in_service)} of {total} upstreams in service"
            typer.echo("; ".join([line, *not_in_service]))


@app.command("burn")
def burn_report(balancer: Balancer, as_json: AsJson = False) -> None:
    """Report the service-level burn rates over all balancers."""
    _, config = asyncio.run(_request(balancer, "GET", "/config", None))
    if "configuration" not in config:
        typer.echo(config.get("error", "no answer"), err=True)
        raise typer.Exit(EXIT_UNKNOWN)
    responses = asyncio.run(_request_all_balancers(balancer, "/samples"))
    received = [r for r in responses.values() if r is not None]
    samples = [burn.Sample(**s) for r in received for s in r["samples"]]
    worst = _merge_worst_upstreams([r["worst"] for r in received])
    configuration = model.Configuration.model_validate(config["configuration"])
    lines = burn.compute(configuration, samples, worst, time.time())
    missing = sorted(address for address, r in responses.items() if r is None)
    if as_json:
        report = {"lines": [burn.as_dict(line) for line in lines], "missing": missing}
        typer.echo(json.dumps(report, indent=2))
        return
    typer.echo(burn.as_text(lines))
    for address in missing:
        typer.echo(f"partial: {address} did not answer")


@app.command()
def version() -> None:
    """Print the version of the program."""
    typer.echo(__version__)


def main() -> None:
    """Run the command-line interface."""
    app()


async def _run(node_settings: settings.Settings) -> None:
    """Run a balancer until SIGTERM or SIGINT."""
    from waxwingspool.serve import node

    balancer = node.node(node_settings)
    _tune_garbage_collector()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, balancer.stop)
    await balancer.run()


def _tune_garbage_collector() -> None:
    """Reduce the pauses of garbage collection, which delay requests.

    Objects created at startup are excluded from it, and collections run less often.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, 50, 100)


def _read_file(file: pathlib.Path) -> bytes:
    """Return the content of a file, or exit with an error message."""
    try:
        return file.read_bytes()
    except OSError as error:
        typer.echo(f"{file}: {error.strerror}", err=True)
        raise typer.Exit(EXIT_FINDINGS) from error


async def _request(address: str, method: str, path: str, body: bytes | None) -> tuple[int, dict]:
    """Return the status and JSON body of a request to an operator interface.

    The status is 0 if the balancer does not respond.
    """
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, f"http://{address}{path}", data=body) as response,
        ):
            return response.status, await response.json()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return 0, {"error": f"{address} did not answer: {error!r}; run 'waxwingspool status'"}


async def _request_all_balancers(address: str, path: str) -> dict[str, dict | None]:
    """Return the responses of a balancer and its peers to a GET request, by address.

    The response is ``None`` for a balancer that did not return status 200.
    """
    code, first = await _request(address, "GET", "/status", None)
    if code != 200:
        typer.echo(first.get("error", "no answer"), err=True)
        raise typer.Exit(EXIT_UNKNOWN)
    addresses = [address, *(p["operator"] for p in first["peers"])]
    responses = await asyncio.gather(*(_request(a, "GET", path, None) for a in addresses))
    pairs = zip(addresses, responses, strict=True)
    return {a: body if status == 200 else None for a, (status, body) in pairs}


def _merge_worst_upstreams(reports: list[dict[str, list[str]]]) -> dict[str, list[str]]:
    """Return the worst upstreams over all balancers, by service."""
    merged: dict[str, list[str]] = {}
    for report in reports:
        for service, names in report.items():
            known = merged.setdefault(service, [])
            known.extend(n for n in names if n not in known)
    return merged
