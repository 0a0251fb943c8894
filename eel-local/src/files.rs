//! Writes certificates and settings files of a fleet on loopback addresses.

use std::{
    fmt::Write as _,
    fs, io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
};

use eel_wire::credentials::{PemPair, create_certificate_authority, issue_node_certificate};
use error_stack::{Report, ResultExt as _};

/// A certificate or settings file cannot be written.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("cannot write a certificate or settings file")]
pub struct FileError;

/// The certificate authority of one fleet and the directory of its certificates and settings files.
pub struct FleetFiles<'a> {
    directory: &'a Path,
    authority: PemPair,
}

impl<'a> FleetFiles<'a> {
    /// Creates the fleet's certificate authority and writes its certificate to `directory`.
    ///
    /// # Errors
    ///
    /// [`FileError`] if the certificate cannot be created or written.
    pub fn new(directory: &'a Path) -> Result<Self, Report<FileError>> {
        let authority = create_certificate_authority().change_context(FileError)?;
        fs::create_dir_all(directory).change_context(FileError)?;
        let files = Self {
            directory,
            authority,
        };
        files.write("ca.pem", &files.authority.certificate)?;
        Ok(files)
    }

    /// Writes the settings of a target node of `pool` that accepts links at `quic` and forwards to the target at `url`.
    ///
    /// Returns the path of the settings file.
    ///
    /// # Errors
    ///
    /// [`FileError`] if the node's certificate cannot be issued or a file cannot be written.
    pub fn write_target(
        &self,
        name: &str,
        pool: &str,
        quic: SocketAddr,
        url: &str,
    ) -> Result<PathBuf, Report<FileError>> {
        let settings = format!(
            "[node]\nname = {name}\ndata_centre = dc-a\npool = {pool}\n\
             [listen]\nquic = {quic}\nadmin = 127.0.0.1:0\n[target]\nurl = {url}\n"
        );
        self.write_node(name, settings)
    }

    /// Writes the settings of an entry node that serves callers at `http`; returns the path of the settings file.
    ///
    /// # Errors
    ///
    /// [`FileError`] if the node's certificate cannot be issued or a file cannot be written.
    pub fn write_entry(
        &self,
        name: &str,
        http: SocketAddr,
        store_url: &str,
        vm_list_url: &str,
    ) -> Result<PathBuf, Report<FileError>> {
        let settings = format!(
            "[node]\nname = {name}\ndata_centre = dc-a\nregion = here\n\
             [listen]\nhttp = {http}\nadmin = 127.0.0.1:0\nquic_bind = 127.0.0.1:0\n\
             [store]\nendpoints = {store_url}\n[vm_list]\nurl = {vm_list_url}\npoll_ms = 500\n"
        );
        self.write_node(name, settings)
    }

    /// Writes a node's certificate, key and settings file.
    ///
    /// Relative paths in the settings are resolved against the directory of the settings file.
    fn write_node(&self, name: &str, mut settings: String) -> Result<PathBuf, Report<FileError>> {
        let pair = issue_node_certificate(&self.authority, name).change_context(FileError)?;
        self.write(&format!("{name}.pem"), &pair.certificate)?;
        self.write(&format!("{name}.key"), &pair.key)?;
        let tls = format!("[tls]\nca = ca.pem\ncertificate = {name}.pem\nkey = {name}.key\n");
        let _ = settings.write_str(&tls);
        self.write(&format!("{name}.ini"), &settings)
    }

    fn write(&self, file: &str, content: &str) -> Result<PathBuf, Report<FileError>> {
        let path = self.directory.join(file);
        fs::write(&path, content).change_context(FileError)?;
        Ok(path)
    }
}

/// Returns a loopback UDP address with a port that was free when it was probed; another process may take it.
///
/// # Errors
///
/// An I/O error if no port can be bound.
pub fn free_udp_address() -> io::Result<SocketAddr> {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}

/// Returns a loopback TCP address with a port that was free when it was probed; another process may take it.
///
/// # Errors
///
/// An I/O error if no port can be bound.
pub fn free_tcp_address() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
