//! INI settings of the two processes, checked, with a line number in every error.
