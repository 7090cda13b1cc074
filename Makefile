# Shortcuts for the CMake build, tests, demo and benches.
.PHONY: all deps build test check demo bench clean

all: build

deps:
	sh scripts/install-deps

build: deps
	cmake -S . -B build -G Ninja
	cmake --build build

test:
	ctest --test-dir build --output-on-failure -j 4 $$(sh scripts/known-red)

check: build test

demo: build
	sh examples/demo

bench: build
	sh bench/run-all

clean:
	rm -rf build build-asan build-fuzz
