# The two commands of the README: `make demo` and `make test`.

.PHONY: tools demo test bench

# The message library nng builds C code with cmake.
tools:
	@command -v cargo >/dev/null || { echo "cargo is missing: install a Rust toolchain"; exit 1; }
	@command -v cmake >/dev/null || scripts/install-cmake

demo: tools
	cargo run --locked --release -p lw_demo --bin lacewingstile-demo

test: tools
	cargo test --locked --workspace

bench: tools
	cargo run --locked --release -p lw_bench --bin lacewingstile-bench -- all
