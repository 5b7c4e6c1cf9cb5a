"""A toy proxy: joins a planner, reports a little demand each second, and prints what it is ordered.

python examples/toy_proxy.py --id 0 --zone east
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib


async def report(writer: asyncio.StreamWriter, proxy: int, classes: list[str], requests: int) -> None:
    while True:
        await asyncio.sleep(1.0)
        for name in classes:
            writer.write(f"RATE id={proxy} lane={name} count={requests} fail=0 over=1000.0\r\n".encode())
        await writer.drain()


async def main(host: str, port: int, proxy: int, zone: str, classes: list[str], requests: int) -> None:
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(f"SUBSCRIBE id={proxy} site={zone} rps={requests * len(classes)} new=1\r\n".encode())
    reporting = asyncio.create_task(report(writer, proxy, classes, requests))
    while line := (await reader.readline()).decode().strip():
        print(line, flush=True)
        mark = [word.partition("=")[2] for word in line.split(" ") if word.startswith("nonce_out=")]
        if mark:
            writer.write(f"ACK id={proxy} seq={mark[0]} ms=1.0\r\n".encode())
    reporting.cancel()
    print("the planner has gone; a real proxy would keep its tables and dial again")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=8081)
    parser.add_argument("--id", type=int, default=0)
    parser.add_argument("--zone", default="east")
    parser.add_argument("--classes", nargs="+", default=["read", "write"])
    parser.add_argument("--requests", type=int, default=10, help="a second, for each class")
    given = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(main(given.host, given.port, given.id, given.zone, given.classes, given.requests))
