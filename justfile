# Runs everything that continuous integration runs.
ci:
    .ci/run

# Runs all tests.
test:
    cargo test --locked --workspace --all-features

# Formats the whole workspace.
fmt:
    cargo fmt --all
