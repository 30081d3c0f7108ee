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

# Exit statuses beside 0.
EXIT_FINDINGS = 1
EXIT_OUTDATED = 2
EXIT_UNKNOWN = 3
# Objects made since the last garbage collection that start the next one.
YOUNG_OBJECTS = 20_000
# Longest wait for a balancer's operator interface, in seconds.
TIMEOUT_S = 30.0

app = typer.Typer(
    help="A load balancer for servers whose load shifts in milliseconds.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)

SettingsFile = Annotated[pathlib.Path, typer.Option("--settings", help="settings of this balancer")]
Balancer = Annotated[str, typer.Option("--balancer", help="operator address of any balancer")]
AsJson = Annotated[bool, typer.Option("--json", help="print JSON")]


@app.command()
def run(settings_file: SettingsFile) -> None:
    """Run a balancer until SIGTERM or SIGINT."""
    try:
        s = settings.load(settings_file)
    except exceptions.ConfigurationError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_FINDINGS) from error
    logs.configure(s.log_level, balancer=s.id)
    asyncio.run(_run(s))


@app.command("check")
def check_file(file: pathlib.Path) -> None:
    """Check a configuration file and report every finding with its place."""
    checked = check.check(_read(file))
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
    base: Annotated[int | None, typer.Option(help="version the file was made from")] = None,
) -> None:
    """Apply a configuration file as a whole."""
    text = _read(file)
    checked = check.check(text)
    if checked.is_error():
        typer.echo(findings.report(checked.error), err=True)
        raise typer.Exit(EXIT_FINDINGS)
    path = "/apply" if base is None else f"/apply?base={base}"
    status, answer = asyncio.run(_call(balancer, "POST", path, text))
    if status == 200:
        typer.echo(f"accepted as version {answer['version']}; {answer['peers']} peers have it")
        return
    typer.echo(answer.get("report") or answer.get("error", "no answer"), err=True)
    codes = {400: EXIT_FINDINGS, 409: EXIT_OUTDATED}
    raise typer.Exit(codes.get(status, EXIT_UNKNOWN))


@app.command()
def status(balancer: Balancer, as_json: AsJson = False) -> None:
    """Show every balancer's version, peers and upstream states."""
    found = asyncio.run(_all_balancers(balancer, "/status"))
    if as_json:
        typer.echo(json.dumps(found, indent=2))
        return
    for address, s in sorted(found.items()):
        if s is None:
            typer.echo(f"{address}: no answer")
            continue
        state = "draining" if s["draining"] else "serving"
        typer.echo(
            f"{s['id']} at {address}: version {s['version']}, {state}, {len(s['peers'])} peers"
        )
        for name, service in s["services"].items():
            out = [f"{u} {w}" for u, w in service["upstreams"].items() if w != "in-service"]
            total = len(service["upstreams"])
            line = f"  {name}: {total - len(out)} of {total} upstreams in service"
            typer.echo("; ".join([line, *out]))


@app.command("burn")
def burn_report(balancer: Balancer, as_json: AsJson = False) -> None:
    """Report service-level burn over all balancers."""
    _, config = asyncio.run(_call(balancer, "GET", "/config", None))
    if "configuration" not in config:
        typer.echo(config.get("error", "no answer"), err=True)
        raise typer.Exit(EXIT_UNKNOWN)
    found = asyncio.run(_all_balancers(balancer, "/samples"))
    answers = [a for a in found.values() if a is not None]
    samples = [burn.Sample(**s) for a in answers for s in a["samples"]]
    worst = _merge_worst([a["worst"] for a in answers])
    configuration = model.Configuration.model_validate(config["configuration"])
    lines = burn.compute(configuration, samples, worst, time.time())
    missing = sorted(address for address, a in found.items() if a is None)
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
    """Run the command line."""
    app()


async def _run(s: settings.Settings) -> None:
    """Run a balancer until a signal asks it to stop."""
    from waxwingspool.serve import node

    balancer = node.node(s)
    _calm_collector()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, balancer.stop)
    await balancer.run()


def _calm_collector() -> None:
    """Keep what was made at the start out of garbage collections, which would stall requests."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, 50, 100)


def _read(file: pathlib.Path) -> bytes:
    """Return a file's content, or end with a message."""
    try:
        return file.read_bytes()
    except OSError as error:
        typer.echo(f"{file}: {error.strerror}", err=True)
        raise typer.Exit(EXIT_FINDINGS) from error


async def _call(address: str, method: str, path: str, body: bytes | None) -> tuple[int, dict]:
    """Call a balancer's operator interface; status 0 if it does not answer."""
    import aiohttp

    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, f"http://{address}{path}", data=body) as answer,
        ):
            return answer.status, await answer.json()
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        return 0, {"error": f"{address} did not answer: {error!r}; run 'waxwingspool status'"}


async def _all_balancers(address: str, path: str) -> dict[str, dict | None]:
    """Return what every balancer that the first one knows answers at a path."""
    code, first = await _call(address, "GET", "/status", None)
    if code != 200:
        typer.echo(first.get("error", "no answer"), err=True)
        raise typer.Exit(EXIT_UNKNOWN)
    addresses = [address, *(p["operator"] for p in first["peers"])]
    answers = await asyncio.gather(*(_call(a, "GET", path, None) for a in addresses))
    pairs = zip(addresses, answers, strict=True)
    return {a: body if status == 200 else None for a, (status, body) in pairs}


def _merge_worst(found: list[dict[str, list[str]]]) -> dict[str, list[str]]:
    """Return the worst upstreams that any balancer names, by service."""
    merged: dict[str, list[str]] = {}
    for one in found:
        for service, names in one.items():
            known = merged.setdefault(service, [])
            known.extend(n for n in names if n not in known)
    return merged
