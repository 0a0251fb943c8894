//! Tests of the pages.

mod page_links;
mod platform_names;
