//! The admin HTTP server of a process: metrics, health and readiness.

mod pages;
mod server;

pub use pages::router;
pub use server::HttpServer;
