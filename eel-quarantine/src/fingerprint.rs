//! Recognises a request that comes again.

use sha2::{Digest as _, Sha256};

use crate::Part;

/// What makes two requests the same: not the id of the attempt, deadlines or hints, which differ each time.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the request names.
    pub host: &'a [u8],
    /// The path with the query.
    pub path: &'a str,
    /// The credentials of the caller; empty if the request has none.
    pub caller: &'a [u8],
    /// The body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Returns a hash of the request, the same on every node. A caller cannot find a request whose hash is that of another
    /// caller's request.
    #[must_use]
    pub fn fingerprint(&self) -> Part {
        let fields = [
            self.method.as_bytes(),
            self.host,
            self.path.as_bytes(),
            self.caller,
            self.body,
        ];
        let mut hasher = Sha256::new();
        for field in fields {
            hasher.update(field.len().to_le_bytes());
            hasher.update(field);
        }
        let digest = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Part::from_bytes(first)
    }
}
