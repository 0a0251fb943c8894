//! What the command line's verbs do, free of argument parsing.
