#!/usr/bin/env python3
"""Writes the two example catalogues, with the users' numbers of shards and
replicas."""
import json
import pathlib

HERE = pathlib.Path(__file__).resolve().parent


def service(name, groups, replicas, connections, zones, port, version=1):
    shards = []
    for g in range(groups):
        targets = []
        for r in range(replicas):
            targets.append({"name": "%s-%02d-%s" % (name, g, "abcdefghij"[r]),
                            "address": "127.0.0.1:%d" % port,
                            "zone": zones[(g + r) % len(zones)]})
            port += 1
        shards.append({"name": "%s-%02d" % (name, g), "replicas": targets})
    return {"name": name, "connections": connections,
            "maps": [{"version": version, "groups": shards}]}, port


def write(path, services, entries):
    text = json.dumps({"revision": 1, "services": services,
                       "entries": entries}, indent=1)
    path.parent.mkdir(exist_ok=True)
    path.write_text(text + "\n")


def cucu():
    zones = ["cordoba-1", "cordoba-2", "cordoba-3"]
    archive, port = service("parts-archive", 10, 3, 30, zones, 21001)
    booking, port = service("appointment-booking", 15, 3, 30, zones, port)
    orders, port = service("repair-orders", 1, 10, 100, zones, port)
    invoicing, port = service("invoicing", 1, 5, 100, zones, port)
    entries = [
        {"name": "bench-lookup", "owner": "bench technicians",
         "service": "parts-archive", "class": "urgent",
         "max_concurrency": 40, "rate_per_s": 400,
         "soft_deadline_ms": 120, "deadline_ms": 400, "min_coverage": 0.9},
        {"name": "archive-report", "owner": "archive keeper",
         "service": "parts-archive", "max_concurrency": 20,
         "rate_per_s": 100, "deadline_ms": 2000, "snapshot": "newest"},
        {"name": "free-appointments", "owner": "counter",
         "service": "appointment-booking", "max_concurrency": 40,
         "rate_per_s": 200, "soft_deadline_ms": 200, "deadline_ms": 600,
         "min_coverage": 0.95},
        {"name": "ticket-check", "owner": "counter",
         "service": "repair-orders", "class": "urgent",
         "max_concurrency": 50, "rate_per_s": 500, "deadline_ms": 300},
        {"name": "part-order", "owner": "purchasing",
         "service": "repair-orders", "idempotent": False,
         "max_concurrency": 20, "rate_per_s": 50, "deadline_ms": 2000},
        {"name": "send-invoice", "owner": "accounts", "service": "invoicing",
         "idempotent": False, "max_concurrency": 10, "rate_per_s": 20,
         "deadline_ms": 3000}]
    write(HERE / "cucu" / "catalogue.json",
          [archive, booking, orders, invoicing], entries)


def banquina():
    zones = ["litoral-1", "litoral-2", "litoral-3"]
    calendar, port = service("mowing-calendar", 10, 3, 30, zones, 22001)
    vouchers, port = service("fuel-vouchers", 15, 3, 30, zones, port)
    roster, port = service("member-roster", 1, 10, 50, zones, port)
    portal, port = service("road-office-portal", 1, 5, 50, zones, port)
    entries = [
        {"name": "calendar-search", "owner": "crew office",
         "service": "mowing-calendar", "max_concurrency": 60,
         "rate_per_s": 400, "deadline_ms": 3000, "min_coverage": 1.0},
        {"name": "stretch-check", "owner": "members' desk",
         "service": "mowing-calendar", "max_concurrency": 60,
         "rate_per_s": 400, "deadline_ms": 5000, "min_coverage": 1.0},
        {"name": "voucher-search", "owner": "fuel desk",
         "service": "fuel-vouchers", "max_concurrency": 40,
         "rate_per_s": 200, "deadline_ms": 3000},
        {"name": "member-lookup", "owner": "members' desk",
         "service": "member-roster", "max_concurrency": 40,
         "rate_per_s": 200, "deadline_ms": 1000},
        {"name": "hazard-report", "owner": "on-duty foreman",
         "service": "road-office-portal", "class": "urgent",
         "idempotent": False, "max_concurrency": 20, "rate_per_s": 50,
         "deadline_ms": 1500},
        {"name": "crew-dispatch", "owner": "crew office",
         "service": "member-roster", "idempotent": False,
         "max_concurrency": 10, "rate_per_s": 20, "deadline_ms": 3000}]
    write(HERE / "banquina" / "catalogue.json",
          [calendar, vouchers, roster, portal], entries)


if __name__ == "__main__":
    cucu()
    banquina()
