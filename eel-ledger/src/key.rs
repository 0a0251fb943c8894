//! The keys of jobs and partial texts in the store.

use eel_types::Name;

const JOBS: &str = "jobs/";
const PARTIALS: &str = "partials/";

/// Builds and parses the keys under one prefix.
#[derive(Clone, Debug)]
pub struct Keys {
    prefix: Name,
}

/// A parsed key of a job, with the job id and the part or chunk number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKey<'a> {
    /// The key of the job head.
    Head(&'a str),
    /// The key of one part of the encoded items.
    Part(&'a str, u32),
    /// The key of one chunk of results.
    Chunk(&'a str, u32),
    /// The key that marks the job as ended by its caller.
    End(&'a str),
}

impl Keys {
    /// Creates the keys under `prefix`, which ends with `/`.
    #[must_use]
    pub fn new(prefix: Name) -> Self {
        Self { prefix }
    }

    /// Returns the common prefix of the keys of all jobs.
    #[must_use]
    pub fn all_jobs(&self) -> String {
        format!("{}{JOBS}", self.prefix)
    }

    /// Returns the common prefix of the keys of one job.
    #[must_use]
    pub fn job(&self, id: &str) -> String {
        format!("{}{JOBS}{id}/", self.prefix)
    }

    /// Returns the key of the job head.
    #[must_use]
    pub fn head(&self, id: &str) -> String {
        format!("{}head", self.job(id))
    }

    /// Returns the key of the part `number` of the encoded items.
    #[must_use]
    pub fn part(&self, id: &str, number: u32) -> String {
        format!("{}items/{number:04}", self.job(id))
    }

    /// Returns the key of the chunk `number` of results.
    #[must_use]
    pub fn chunk(&self, id: &str, number: u32) -> String {
        format!("{}{number:06}", self.results(id))
    }

    /// Returns the common prefix of the chunks of results of one job.
    #[must_use]
    pub fn results(&self, id: &str) -> String {
        format!("{}results/", self.job(id))
    }

    /// Returns the key that marks the job as ended by its caller.
    #[must_use]
    pub fn end(&self, id: &str) -> String {
        format!("{}end", self.job(id))
    }

    /// Returns the common prefix of the pieces of partial text of all nodes.
    #[must_use]
    pub fn all_partials(&self) -> String {
        format!("{}{PARTIALS}", self.prefix)
    }

    /// Returns the key of write number `sequence` of partial text by an incarnation of `node`.
    #[must_use]
    pub fn partial(&self, node: &str, incarnation: u64, sequence: u64) -> String {
        format!(
            "{}{node}/{incarnation:016x}-{sequence:08}",
            self.all_partials()
        )
    }

    /// Returns the node that wrote the pieces under `key`; `None` if it is not a key of partial text.
    #[must_use]
    pub fn partial_writer<'a>(&self, key: &'a str) -> Option<&'a str> {
        let rest = key
            .strip_prefix(self.prefix.as_str())?
            .strip_prefix(PARTIALS)?;
        rest.split_once('/').map(|(node, _)| node)
    }

    /// Parses a key; `None` if it is not a key of a job.
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
