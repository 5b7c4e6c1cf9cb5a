"""A minimal proxy: joins a planner, reports constant demand every second, and prints the updates it receives.

python examples/toy_proxy.py --id 0 --zone east
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib

REPORT_INTERVAL_S = 1.0
NONCE_FIELD = "nonce_out="  # field of an update whose value the proxy has to acknowledge


async def report_demand(writer: asyncio.StreamWriter, proxy: int, classes: list[str], requests: int) -> None:
    """Report the same number of requests of each class once per report interval, until cancelled."""
    while True:
        await asyncio.sleep(REPORT_INTERVAL_S)
        for name in classes:
            writer.write(f"RATE id={proxy} lane={name} count={requests} fail=0 over=1000.0\r\n".encode())
        await writer.drain()


def parse_nonces(line: str) -> list[str]:
    """Return the nonces in an update that have to be acknowledged."""
    return [field.removeprefix(NONCE_FIELD) for field in line.split(" ") if field.startswith(NONCE_FIELD)]


async def main(host: str, port: int, proxy: int, zone: str, classes: list[str], requests: int) -> None:
    """Join the planner, and print and acknowledge its updates until it closes the connection."""
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(f"SUBSCRIBE id={proxy} site={zone} rps={requests * len(classes)} new=1\r\n".encode())
    report_task = asyncio.create_task(report_demand(writer, proxy, classes, requests))
    while line := (await reader.readline()).decode().strip():
        print(line, flush=True)
        nonces = parse_nonces(line)
        if nonces:
            writer.write(f"ACK id={proxy} seq={nonces[0]} ms=1.0\r\n".encode())
    report_task.cancel()
    print("connection closed by the planner; a real proxy would keep its tables and reconnect")


def parse_arguments() -> argparse.Namespace:
    """Parse the command-line options."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8081)
    parser.add_argument("--id", type=int, default=0)
    parser.add_argument("--zone", default="east")
    parser.add_argument("--classes", nargs="+", default=["read", "write"])
    parser.add_argument("--requests", type=int, default=10, help="requests per second and class")
    return parser.parse_args()


if __name__ == "__main__":
    options = parse_arguments()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(options.host, options.port, options.id, options.zone, options.classes, options.requests))
