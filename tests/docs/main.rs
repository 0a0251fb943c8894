//! Tests of the pages.

mod page_links;
