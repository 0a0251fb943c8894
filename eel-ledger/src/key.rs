//! The keys of jobs.

use eel_types::Name;

const JOBS: &str = "jobs/";
const PARTIALS: &str = "partials/";

/// The keys under one prefix.
#[derive(Clone, Debug)]
pub struct Keys {
    prefix: Name,
}

/// A key of a job, taken apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey<'a> {
    /// The head.
    Head(&'a str),
    /// A part of the items.
    Part(&'a str, u32),
    /// A chunk of results.
    Chunk(&'a str, u32),
    /// The mark of a job that its caller ended.
    End(&'a str),
}

impl Keys {
    /// Creates the keys under `prefix`, which ends with `/`.
    #[must_use]
    pub fn new(prefix: Name) -> Self {
        Self { prefix }
    }

    /// Returns the prefix of all keys of all jobs.
    #[must_use]
    pub fn all_jobs(&self) -> String {
        format!("{}{JOBS}", self.prefix)
    }

    /// Returns the prefix of all keys of one job.
    #[must_use]
    pub fn job(&self, id: &str) -> String {
        format!("{}{JOBS}{id}/", self.prefix)
    }

    /// Returns the key of the head.
    #[must_use]
    pub fn head(&self, id: &str) -> String {
        format!("{}head", self.job(id))
    }

    /// Returns the key of a part of the items.
    #[must_use]
    pub fn part(&self, id: &str, number: u32) -> String {
        format!("{}items/{number:04}", self.job(id))
    }

    /// Returns the key of a chunk of results.
    #[must_use]
    pub fn chunk(&self, id: &str, number: u32) -> String {
        format!("{}results/{number:06}", self.job(id))
    }

    /// Returns the key that marks an ended job.
    #[must_use]
    pub fn end(&self, id: &str) -> String {
        format!("{}end", self.job(id))
    }

    /// Returns the prefix of all pieces of text.
    #[must_use]
    pub fn all_partials(&self) -> String {
        format!("{}{PARTIALS}", self.prefix)
    }

    /// Returns the key of the pieces that an incarnation of `node` wrote as its `sequence`th.
    #[must_use]
    pub fn partial(&self, node: &str, incarnation: u64, sequence: u64) -> String {
        format!(
            "{}{node}/{incarnation:016x}-{sequence:08}",
            self.all_partials()
        )
    }

    /// Returns the node that wrote the pieces under `key`; `None` if it is no key of pieces.
    #[must_use]
    pub fn partial_writer<'a>(&self, key: &'a str) -> Option<&'a str> {
        let rest = key
            .strip_prefix(self.prefix.as_str())?
            .strip_prefix(PARTIALS)?;
        rest.split_once('/').map(|(node, _)| node)
    }

    /// Takes a key apart; `None` if it is no key of a job.
    #[must_use]
    pub fn parse<'a>(&self, key: &'a str) -> Option<JobKey<'a>> {
        let rest = key.strip_prefix(self.prefix.as_str())?.strip_prefix(JOBS)?;
        let (id, rest) = rest.split_once('/')?;
        if let Some(number) = rest.strip_prefix("items/") {
            return Some(JobKey::Part(id, number.parse().ok()?));
        }
        if let Some(number) = rest.strip_prefix("results/") {
            return Some(JobKey::Chunk(id, number.parse().ok()?));
        }
        match rest {
            "head" => Some(JobKey::Head(id)),
            "end" => Some(JobKey::End(id)),
            _ => None,
        }
    }
}
