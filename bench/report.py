#!/usr/bin/env python3
"""Makes the report of bench/run-all: CSV, SVG plots in one HTML page, and
the summary table for docs/MEASUREMENTS.md.

Usage: report.py DIRECTORY [--summary]
"""
import csv
import json
import pathlib
import shutil
import subprocess
import sys

POLICIES = ["random", "round_robin", "least_outstanding", "lavenderrail",
            "oracle"]
SIZES = ["cucu", "banquina", "wide250"]


def load(folder):
    with open(folder / "results.jsonl") as lines:
        return [json.loads(line) for line in lines if line.strip()]


def write_csv(folder, rows):
    names = ["scenario", "size", "policy"]
    names += [name for name in rows[0] if name not in names]
    with open(folder / "results.csv", "w", newline="") as out:
        writer = csv.DictWriter(out, names)
        writer.writeheader()
        writer.writerows(rows)


def by_key(rows):
    return {(r["scenario"], r["size"], r["policy"]): r for r in rows}


def scenarios(rows):
    seen = []
    for row in rows:
        if row["scenario"] not in seen:
            seen.append(row["scenario"])
    return sorted(seen)


def plot_size(folder, rows, size):
    table = by_key(rows)
    data = folder / ("p99-%s.dat" % size)
    with open(data, "w") as out:
        out.write("scenario %s\n" % " ".join(POLICIES))
        for name in scenarios(rows):
            figures = ["%.3f" % table[(name, size, p)]["p99_ms"]
                       for p in POLICIES]
            out.write("%s %s\n" % (name.replace("_", "-"),
                                   " ".join(figures)))
    gnuplot(folder / ("p99-%s.svg" % size), """
set title 'p99 of an answer, %s'
set style data histograms
set style fill solid 0.7
set logscale y
set ylabel 'ms'
set xtics rotate by -40
plot for [i=2:6] '%s' using i:xtic(1) title columnheader(i)
""" % (size, data))


def plot_slopes(folder):
    names = []
    for line in (folder / "scale.txt").read_text().splitlines():
        fields = dict(part.split("=", 1) for part in line.split(" "))
        name = fields["slope"]
        data = folder / ("scale-%s.dat" % name)
        points = [p.split(":") for p in fields["points"].split(",")]
        data.write_text("".join("%s %s\n" % tuple(p) for p in points))
        gnuplot(folder / ("scale-%s.svg" % name), """
set title '%s (%s)'
set key left
plot '%s' with linespoints title 'measured', %s + %s * x title 'fit'
""" % (name.replace("_", "-"), fields["unit"], data, fields["base"],
       fields["rate"]))
        names.append("scale-%s.svg" % name)
    return names


def gnuplot(path, text):
    if not shutil.which("gnuplot"):
        return
    script = "set terminal svg size 900,420\nset output '%s'\n%s" % (path,
                                                                     text)
    subprocess.run(["gnuplot"], input=script, text=True, check=True)


def write_html(folder, plots):
    parts = ["<!DOCTYPE html><meta charset='utf-8'>",
             "<title>lavenderrail measurements</title>"]
    for name in plots:
        path = folder / name
        if path.exists():
            svg = path.read_text()
            parts.append("<figure>%s</figure>" % svg[svg.index("<svg"):])
    (folder / "report.html").write_text("\n".join(parts))


def summary(rows):
    table = by_key(rows)
    print("| scenario | size | p99 ms | of random | of oracle | useful |"
          " coverage | extra load | shed |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in scenarios(rows):
        for size in SIZES:
            own = table[(name, size, "lavenderrail")]
            rnd = table[(name, size, "random")]
            best = table[(name, size, "oracle")]
            print("| %s | %s | %.1f | %.2f | %.2f | %.3f | %.4f | %.3f |"
                  " %.3f |" % (name, size, own["p99_ms"],
                               own["p99_ms"] / rnd["p99_ms"],
                               own["p99_ms"] / best["p99_ms"],
                               own["useful"], own["coverage"],
                               own["extra_load"], own["shed"]))


def main():
    folder = pathlib.Path(sys.argv[1])
    rows = load(folder)
    if "--summary" in sys.argv[2:]:
        summary(rows)
        return
    write_csv(folder, rows)
    for size in SIZES:
        plot_size(folder, rows, size)
    slopes = plot_slopes(folder)
    write_html(folder, ["p99-%s.svg" % size for size in SIZES] + slopes)
    print("report: %s" % (folder / "report.html"))


if __name__ == "__main__":
    main()
