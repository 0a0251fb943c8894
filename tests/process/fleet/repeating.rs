//! A target that writes each of its answers once more, late, where the next one on the connection is expected.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// What a target answers each request with; the body is the request's tag.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    Success,
    Failure,
    Events,
    /// Failures up to this number of requests, then successes.
    SuccessAfter(u32),
}

/// When an answer is written once more.
#[derive(Clone, Copy, Debug)]
pub enum Copied {
    /// This long after the next request on the connection was read, and before its answer.
    IntoNext(Duration),
    /// This long after the answer itself, whether or not a request has come since.
    AfterAnswer(Duration),
}

/// A running target.
pub struct RepeatingTarget {
    pub url: String,
    /// The number of requests that were read.
    pub requests: Arc<AtomicU32>,
}

impl RepeatingTarget {
    pub async fn start(answer: Answer, copied: Copied) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await;
        let listener = listener.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let requests = Arc::<AtomicU32>::default();
        let counted = requests.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, answer, copied, counted.clone()));
            }
        });
        Self {
            url: format!("http://{address}"),
            requests,
        }
    }
}

async fn serve(
    mut stream: TcpStream,
    answer: Answer,
    copied: Copied,
    requests: Arc<AtomicU32>,
) -> io::Result<()> {
    let mut earlier = Vec::new();
    while let Some(tag) = read_tag(&mut stream).await? {
        let answer = answer.to_request(requests.fetch_add(1, Ordering::Relaxed));
        if let Copied::IntoNext(pause) = copied {
            sleep(pause).await;
            stream.write_all(&earlier).await?;
        }
        earlier = answer.bytes(&tag);
        stream.write_all(&earlier).await?;
        if let Copied::AfterAnswer(pause) = copied {
            sleep(pause).await;
            stream.write_all(&earlier).await?;
        }
    }
    Ok(())
}

impl Answer {
    pub fn status(self) -> u16 {
        match self {
            Self::Success | Self::Events => 200,
            Self::Failure | Self::SuccessAfter(_) => 500,
        }
    }

    /// Returns the answer to a request, before which so many others came.
    fn to_request(self, earlier: u32) -> Self {
        match self {
            Self::SuccessAfter(failures) if earlier >= failures => Self::Success,
            Self::SuccessAfter(_) => Self::Failure,
            answer => answer,
        }
    }

    fn bytes(self, tag: &str) -> Vec<u8> {
        let (status, length) = (self.status(), tag.len());
        let rest = match self {
            Self::Success | Self::Failure | Self::SuccessAfter(_) => {
                format!("content-length: {length}\r\n\r\n{tag}")
            }
            Self::Events => {
                let event = format!("data: {tag}\n\n");
                let length = event.len();
                format!(
                    "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n\
                     {length:x}\r\n{event}\r\n0\r\n\r\n"
                )
            }
        };
        format!("HTTP/1.1 {status} Answer\r\n{rest}").into_bytes()
    }
}

/// Reads a request whose body has a length, and returns its tag; `None` if the connection was closed before.
async fn read_tag(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).await? == 0 {
            return Ok(None);
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let field = |name| head.lines().find_map(|line| line.strip_prefix(name));
    let length = field("content-length: ").and_then(|it| it.parse().ok());
    stream.read_exact(&mut vec![0; length.unwrap_or(0)]).await?;
    Ok(Some(field("x-tag: ").unwrap_or_default().to_owned()))
}
