//! Tests of the documentation pages.

mod page_links;
mod platform_names;
