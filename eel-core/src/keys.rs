//! `keys`: creates the fleet's certificate authority, node certificates and callers' keys.

use std::{
    fmt,
    fs::{self, OpenOptions},
    io::Write as _,
    os::unix::fs::OpenOptionsExt as _,
    path::{Path, PathBuf},
};

use eel_types::{Name, to_hex};
use eel_wire::credentials::{PemPair, create_certificate_authority, issue_node_certificate};
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use sha2::{Digest as _, Sha256};
use thiserror::Error as ThisError;

use crate::Exit;

const CA_NAME: &str = "ca";
const PUBLIC_MODE: u32 = 0o644;
const PRIVATE_MODE: u32 = 0o600;
const CALLER_KEY_PREFIX: &str = "eel-";

/// Options of [`keys`]: what to create.
#[derive(Clone, Debug)]
pub enum Options {
    /// The fleet's certificate authority: `ca.pem` and `ca.key`.
    Authority {
        /// The directory to write to.
        directory: PathBuf,
    },
    /// A node's certificate: `NAME.pem` and `NAME.key`, signed by `ca.key` of the same directory.
    Node {
        /// The directory that holds `ca.pem` and `ca.key`; the certificate is written to it.
        directory: PathBuf,
        /// The name of the VM, used as the name of the certificate.
        name: Name,
        /// Whether to replace an existing certificate.
        replace: bool,
    },
    /// An authentication key for a caller.
    Caller {
        /// The secret random bytes that the key encodes.
        secret: [u8; 32],
    },
}

/// The files or the key that were created.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// A certificate and its private key.
    Certificate {
        /// The path of the certificate.
        certificate: PathBuf,
        /// The path of the private key.
        key: PathBuf,
    },
    /// An authentication key for a caller.
    Caller {
        /// The key; it is only printed, not stored.
        key: String,
        /// The SHA-256 digest of the key, for the caller's record.
        sha256: String,
    },
}

/// Reasons why a key or certificate cannot be created.
#[derive(Debug, ThisError)]
pub enum Error {
    /// A file of the certificate authority cannot be read.
    #[error("cannot read {}", .0.display())]
    Read(PathBuf),
    /// A file cannot be written, or exists already.
    #[error("cannot write {}", .0.display())]
    Write(PathBuf),
    /// The certificate cannot be generated.
    #[error("cannot generate the certificate")]
    Generate,
    /// The name is not a valid VM name.
    #[error("'{0}' is not a valid VM name")]
    Name(Name),
}

impl Outcome {
    /// Returns the exit status for this outcome.
    #[must_use]
    pub fn exit(&self) -> Exit {
        Exit::Success
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Certificate { certificate, key } => {
                write!(f, "wrote {} and {}", certificate.display(), key.display())
            }
            Self::Caller { key, sha256 } => write!(f, "key    {key}\nsha256 {sha256}"),
        }
    }
}

/// Creates the keys or certificates that `options` describe. An existing authority is never replaced: certificates that
/// it issued would become invalid, and the nodes would lose their links.
///
/// # Errors
///
/// Returns an error if a file cannot be read or written, or a certificate cannot be generated.
pub fn keys(options: &Options) -> Result<Outcome, Report<Error>> {
    match options {
        Options::Authority { directory } => {
            let pair = create_certificate_authority().change_context(Error::Generate)?;
            fs::create_dir_all(directory).change_context_lazy(|| write_error(directory))?;
            write_pair(directory, CA_NAME, &pair, false)
        }
        Options::Node {
            directory,
            name,
            replace,
        } => create_node_certificate(directory, name, *replace),
        Options::Caller { secret } => Ok(create_caller_key(secret)),
    }
}

fn create_node_certificate(
    directory: &Path,
    name: &Name,
    replace: bool,
) -> Result<Outcome, Report<Error>> {
    if !name.is_identifier() || name.as_str() == CA_NAME {
        return Err(Report::new(Error::Name(name.clone())));
    }
    let authority = PemPair {
        certificate: read(&directory.join("ca.pem"))?,
        key: read(&directory.join("ca.key"))?,
    };
    let pair = issue_node_certificate(&authority, name).change_context(Error::Generate)?;
    write_pair(directory, name, &pair, replace)
}

fn create_caller_key(secret: &[u8]) -> Outcome {
    let key = format!("{CALLER_KEY_PREFIX}{}", to_hex(secret));
    let sha256 = to_hex(&Sha256::digest(key.as_bytes()));
    Outcome::Caller { key, sha256 }
}

fn read(path: &Path) -> Result<String, Report<Error>> {
    fs::read_to_string(path).change_context_lazy(|| Error::Read(path.to_owned()))
}

fn write_pair(
    directory: &Path,
    name: &str,
    pair: &PemPair,
    replace: bool,
) -> Result<Outcome, Report<Error>> {
    let certificate = directory.join(format!("{name}.pem"));
    let key = directory.join(format!("{name}.key"));
    write(&key, &pair.key, PRIVATE_MODE, replace)?;
    write(&certificate, &pair.certificate, PUBLIC_MODE, replace)?;
    Ok(Outcome::Certificate { certificate, key })
}

/// Writes a new file, or with `replace` replaces an existing one atomically.
fn write(path: &Path, text: &str, mode: u32, replace: bool) -> Result<(), Report<Error>> {
    let mut options = OpenOptions::new();
    options.write(true).mode(mode);
    let destination = if replace {
        options.create(true).truncate(true);
        path.with_added_extension("new")
    } else {
        options.create_new(true);
        path.to_owned()
    };
    let written = options
        .open(&destination)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .and_then(|()| {
            if replace {
                fs::rename(&destination, path)
            } else {
                Ok(())
            }
        });
    written.change_context_lazy(|| write_error(path))
}

fn write_error(path: &Path) -> Error {
    Error::Write(path.to_owned())
}
