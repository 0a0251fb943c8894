//! What can crash targets in a request.

use bytes::Bytes;
use eel_fleet::stable_hash;
use eel_platform::{caller_credentials, shared_parts};
use eel_quarantine::{Part, Prompt, RequestIdentity, Scope};
use eel_types::Name;
use http::{header, request::Parts};

/// What can crash targets in a request or item, by scope.
#[derive(Clone, Debug)]
pub(crate) struct Suspects {
    parts: Prompt,
    request: Prompt,
}

impl Suspects {
    /// Returns what can crash targets in an online request.
    pub(crate) fn of_request(
        request_id: &str,
        tenant: Option<&Name>,
        head: &Parts,
        body: &Bytes,
    ) -> Self {
        let host = head.headers.get(header::HOST);
        let host = host.map_or(&[][..], http::HeaderValue::as_bytes);
        let path = head.uri.path_and_query();
        // All keys of a tenant are one caller.
        let caller = tenant.map_or_else(|| caller_credentials(&head.headers), |it| it.as_bytes());
        let identity = RequestIdentity {
            method: head.method.as_str(),
            host: &host.to_ascii_lowercase(),
            path: path.map_or("", http::uri::PathAndQuery::as_str),
            caller,
            body,
        };
        let fingerprint = identity.fingerprint();
        Self {
            // A request that comes again says nothing more about which of its parts it is.
            parts: Prompt {
                request: fingerprint.number(),
                parts: shared_parts(&head.headers),
            },
            request: Prompt {
                request: stable_hash(request_id),
                parts: vec![fingerprint],
            },
        }
    }

    /// Returns what can crash targets in an item: parts that it shares, but not the item by itself.
    pub(crate) fn of_item(id: &str, parts: Vec<Part>) -> Self {
        Self {
            parts: Prompt {
                request: stable_hash(id),
                parts,
            },
            request: Prompt::default(),
        }
    }

    /// Returns the suspects of one scope; they have no parts if there are none.
    pub(crate) fn of(&self, scope: Scope) -> &Prompt {
        match scope {
            Scope::Parts => &self.parts,
            Scope::Requests => &self.request,
        }
    }
}
