//! Creates the fleet's certificate authority and node certificates, and loads a node's credentials.

use std::{path::PathBuf, sync::Arc};

use error_stack::{Report, ResultExt as _};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _},
};

use crate::Error;

/// The subject alternative name of every node certificate. Links verify it in place of a host name, since nodes connect
/// by IP address.
pub const NODE_SERVER_NAME: &str = "node.eelgrassgap";

/// A certificate and its private key, in PEM.
#[derive(Clone)]
pub struct PemPair {
    /// The X.509 certificate.
    pub certificate: String,
    /// The private key of the certificate.
    pub key: String,
}

/// The files that hold a node's credentials.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CredentialPaths {
    /// The certificate of the fleet's authority, in PEM.
    pub ca: PathBuf,
    /// The node's certificate, in PEM.
    pub certificate: PathBuf,
    /// The node's private key, in PEM.
    pub key: PathBuf,
}

/// A node's parsed certificate chain and private key, and the roots that it trusts.
pub struct Credentials {
    pub(crate) roots: Arc<RootCertStore>,
    pub(crate) chain: Vec<CertificateDer<'static>>,
    pub(crate) key: PrivateKeyDer<'static>,
}

impl Credentials {
    /// Reads credentials from PEM files.
    ///
    /// # Errors
    ///
    /// [`Error::Credentials`] if a file cannot be read or its PEM cannot be parsed.
    pub fn load(paths: &CredentialPaths) -> Result<Self, Report<Error>> {
        let read = |path: &PathBuf| {
            std::fs::read_to_string(path)
                .change_context(Error::Credentials)
                .attach_with(|| path.display().to_string())
        };
        let node = PemPair {
            certificate: read(&paths.certificate)?,
            key: read(&paths.key)?,
        };
        Self::from_pem(&read(&paths.ca)?, &node)
    }

    /// Parses credentials from PEM text.
    ///
    /// # Errors
    ///
    /// [`Error::Credentials`] if the text cannot be parsed.
    pub fn from_pem(ca_certificate: &str, node: &PemPair) -> Result<Self, Report<Error>> {
        let mut roots = RootCertStore::empty();
        for root in parse_chain(ca_certificate)? {
            roots.add(root).change_context(Error::Credentials)?;
        }
        Ok(Self {
            roots: Arc::new(roots),
            chain: parse_chain(&node.certificate)?,
            key: PrivateKeyDer::from_pem_slice(node.key.as_bytes())
                .change_context(Error::Credentials)?,
        })
    }
}

fn parse_chain(pem: &str) -> Result<Vec<CertificateDer<'static>>, Report<Error>> {
    CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .change_context(Error::Credentials)
}

/// Creates a self-signed certificate authority for a fleet.
///
/// # Errors
///
/// [`Error::Credentials`] if the certificate cannot be generated.
pub fn create_certificate_authority() -> Result<PemPair, Report<Error>> {
    let key = KeyPair::generate().change_context(Error::Credentials)?;
    let certificate = authority_params()
        .self_signed(&key)
        .change_context(Error::Credentials)?;
    Ok(PemPair {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params
        .distinguished_name
        .push(DnType::CommonName, "eelgrassgap fleet");
    params
}

/// Issues a certificate for the node on `vm`, valid for both ends of a link.
///
/// # Errors
///
/// [`Error::Credentials`] if the key of `authority` cannot be parsed or the certificate cannot be generated.
pub fn issue_node_certificate(authority: &PemPair, vm: &str) -> Result<PemPair, Report<Error>> {
    let authority_key = KeyPair::from_pem(&authority.key).change_context(Error::Credentials)?;
    let issuer = Issuer::new(authority_params(), authority_key);
    let key = KeyPair::generate().change_context(Error::Credentials)?;
    let mut params = CertificateParams::new(vec![NODE_SERVER_NAME.to_owned()])
        .change_context(Error::Credentials)?;
    params.distinguished_name.push(DnType::CommonName, vm);
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let certificate = params
        .signed_by(&key, &issuer)
        .change_context(Error::Credentials)?;
    Ok(PemPair {
        certificate: certificate.pem(),
        key: key.serialize_pem(),
    })
}
