import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-3"))
import lab as harness  # noqa: E402

CUT_S = 5.0
THAW_SLACK_S = 0.3


async def scenario(lab, trouble):
    record = lab.record
    if not await lab.put(1, seconds=15):
        return 2
    end = time.monotonic() + 45
    number = 0

    async def traffic():
        nonlocal number
        while True:
            number += 1
            await lab.request(number)
            await asyncio.sleep(0.2)

    sending = asyncio.ensure_future(traffic())
    # The leader's reports arrive every 5 s; wait for two.
    while len(lab.calls) < 2 and time.monotonic() < end:
        await asyncio.sleep(0.05)
    if len(lab.calls) < 2:
        record("no report of usage came")
        return 2
    holder_ip = lab.calls[-1]["holder"]
    leader = next(d for d in lab.controllers if d.ip == holder_ip)
    links = lab.links_of(leader.name)
    healed = asyncio.Event()
    healed_at = None

    def strike(piece):
        if b"POST /usage" not in piece or struck.is_set():
            return
        struck.set()
        record(f"{leader.name} has sent a report of usage; its links are cut, with that report on its way")
        for link in links:
            link.cut()

    struck = asyncio.Event()
    if trouble:
        lab.platform_link(leader.name).watch = strike
        await asyncio.wait_for(struck.wait(), 12)
        await asyncio.sleep(CUT_S)
        healed_at = time.monotonic()
        for link in links:
            link.heal()
        record(f"the links of {leader.name} are healed after {CUT_S} s")
        healed.set()
        await asyncio.sleep(8)
    else:
        await asyncio.sleep(12 + CUT_S)
    sending.cancel()
    broken = False
    newest = 0
    for call in lab.calls:
        if call["fence"] < newest:
            sender = next(d for d in lab.controllers if d.ip == call["holder"])
            late = call["at"] - healed_at if healed_at else None
            excused = late is not None and sender is leader and 0 <= late <= THAW_SLACK_S
            record(f"{call['path']} with fencing token {call['fence']} came after one with {newest}"
                   + (f", {late:.2f} s after the link healed" if late is not None else "")
                   + (" (excused)" if excused else ""))
            broken |= not excused
        newest = max(newest, call["fence"])
    return 1 if broken else 0


harness.main(FOLDER, scenario)
