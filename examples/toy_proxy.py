"""A toy proxy: joins a planner, reports a little demand each second, and prints the updates that it gets.

python examples/toy_proxy.py --id 0 --zone east
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib

REPORT_INTERVAL_S = 1.0
NONCE_FIELD = "nonce_out="  # a line that has it is acknowledged with the nonce


async def report_demand(writer: asyncio.StreamWriter, proxy: int, classes: list[str], requests: int) -> None:
    """Report the same number of requests of each class, one report an interval."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        for name in classes:
            writer.write(f"RATE id={proxy} lane={name} count={requests} fail=0 over=1000.0\r\n".encode())
        await writer.drain()


def nonces_in(line: str) -> list[str]:
    """The nonces that an update asks to be acknowledged."""
    return [field.removeprefix(NONCE_FIELD) for field in line.split(" ") if field.startswith(NONCE_FIELD)]


async def main(host: str, port: int, proxy: int, zone: str, classes: list[str], requests: int) -> None:
    """Join the planner, print and acknowledge its updates until it closes the connection."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(f"SUBSCRIBE id={proxy} site={zone} rps={requests * len(classes)} new=1\r\n".encode())
    reporting = asyncio.create_task(report_demand(writer, proxy, classes, requests))
    while line := (await reader.readline()).decode().strip():
        print(line, flush=True)
        nonces = nonces_in(line)
        if nonces:
            writer.write(f"ACK id={proxy} seq={nonces[0]} ms=1.0\r\n".encode())
    reporting.cancel()
    print("the planner has gone; a real proxy would keep its tables and dial again")


def parse_arguments() -> argparse.Namespace:
    """The command line's options."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8081)
    parser.add_argument("--id", type=int, default=0)
    parser.add_argument("--zone", default="east")
    parser.add_argument("--classes", nargs="+", default=["read", "write"])
    parser.add_argument("--requests", type=int, default=10, help="a second, for each class")
    return parser.parse_args()


if __name__ == "__main__":
    options = parse_arguments()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(options.host, options.port, options.id, options.zone, options.classes, options.requests))
