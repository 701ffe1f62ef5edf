//! Callers that stream completions, in a closed or an open loop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::caller::{DEADLINE, TOKEN};

/// Tokens of an answer, unless a part varies them.
pub(crate) const TOKENS: u64 = 16;
/// The most requests of one run, whatever its length.
const MAX_REQUESTS: u64 = 1_000_000;

/// Longer latencies count as this one; no wait is longer than the deadline of one step.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Numbers all prompts of this process, so that no two requests are the same.
static PROMPTS: AtomicU64 = AtomicU64::new(0);

type Sender = SendRequest<Full<Bytes>>;

/// Where requests go, and how many tokens they ask for.
#[derive(Clone)]
pub(crate) struct Target {
    pub(crate) path: Path,
    pub(crate) tokens: u64,
}

#[derive(Clone)]
pub(crate) enum Path {
    Entry(SocketAddr),
    /// Straight to the engines, in turns.
    Engines(Vec<SocketAddr>),
}

/// What one run has shown.
pub(crate) struct Measured {
    /// From the start, or from when the request was due, to the last byte. Only whole answers count.
    pub(crate) latency_us: Histogram<u64>,
    pub(crate) failed: u64,
    pub(crate) elapsed: Duration,
}

impl Measured {
    fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        let latency_us = latency_us.expect("the bounds and three digits are allowed");
        Self { latency_us, failed: 0, elapsed: Duration::ZERO }
    }

    fn count(&mut self, whole: bool, latency: Duration) {
        if whole {
            self.latency_us
                .saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        } else {
            self.failed += 1;
        }
    }

    fn add(&mut self, other: &Self) {
        self.latency_us.add(&other.latency_us).expect("both histograms grow");
        self.failed += other.failed;
    }

    pub(crate) fn per_s(&self) -> f64 {
        let whole = u32::try_from(self.latency_us.len()).unwrap_or(u32::MAX);
        f64::from(whole) / self.elapsed.as_secs_f64()
    }
}

impl Target {
    fn address(&self, index: usize) -> SocketAddr {
        match &self.path {
            Path::Entry(address) => *address,
            Path::Engines(addresses) => addresses[index % addresses.len()],
        }
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let number = PROMPTS.fetch_add(1, Ordering::Relaxed);
        let prompt = format!("morning note {number}");
        let tokens = self.tokens;
        let body = match self.path {
            Path::Entry(_) => serde_json::json!({
                "model": "draft", "prompt": prompt, "max_tokens": tokens, "stream": true,
            }),
            Path::Engines(_) => serde_json::json!({
                "request_id": format!("straight-{number}"), "model": "draft", "version": "v1",
                "prompt": prompt, "max_tokens": tokens,
            }),
        };
        Request::post("/v1/completions")
            .header("host", "localhost")
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::new(Bytes::from(body.to_string())))
            .expect("the request is valid")
    }
}

async fn connect(address: SocketAddr) -> Sender {
    let tcp = TcpStream::connect(address).await.expect("connect on loopback");
    tcp.set_nodelay(true).expect("set an option of a socket");
    let (sender, connection) = handshake(TokioIo::new(tcp)).await.expect("start HTTP");
    tokio::spawn(connection);
    sender
}

async fn send(sender: &mut Sender, request: Request<Full<Bytes>>) -> Option<Response<Incoming>> {
    let send = async {
        sender.ready().await.ok()?;
        sender.send_request(request).await.ok()
    };
    timeout(DEADLINE, send).await.ok().flatten()
}

/// Reads an answer to its end and tells whether it was whole.
async fn read(response: Response<Incoming>) -> bool {
    let whole = response.status().is_success();
    match timeout(DEADLINE, response.into_body().collect()).await {
        Ok(Ok(body)) => whole && body.to_bytes().ends_with(b"data: [DONE]\n\n"),
        _ => false,
    }
}

async fn call(sender: &mut Sender, target: &Target) -> bool {
    match send(sender, target.request()).await {
        Some(response) => read(response).await,
        None => false,
    }
}

/// Each of `streams` callers sends its next request when it has the whole answer to the last one.
pub(crate) async fn run_closed(target: &Target, streams: usize, length: Duration) -> Measured {
    let until = Instant::now() + length;
    run(target, streams, MAX_REQUESTS, until).await
}

/// Like [`run_closed`], with a number of requests in place of a length.
pub(crate) async fn run_count(target: &Target, streams: usize, requests: u64) -> Measured {
    run(target, streams, requests, Instant::now() + DEADLINE).await
}

async fn run(target: &Target, streams: usize, requests: u64, until: Instant) -> Measured {
    let mut senders = Vec::new();
    for index in 0..streams {
        senders.push(connect(target.address(index)).await);
    }
    let begin = Instant::now();

    let left = Arc::new(AtomicU64::new(requests));
    let mut callers = JoinSet::new();
    for (index, mut sender) in senders.into_iter().enumerate() {
        let (target, left) = (target.clone(), Arc::clone(&left));
        callers.spawn(async move {
            let mut measured = Measured::new();
            let take = |left: u64| left.checked_sub(1);
            while Instant::now() < until
                && left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
            {
                let started = Instant::now();
                let whole = call(&mut sender, &target).await;
                measured.count(whole, started.elapsed());
                if sender.is_closed() {
                    sender = connect(target.address(index)).await;
                }
            }
            measured
        });
    }
    let mut all = Measured::new();
    while let Some(measured) = callers.join_next().await {
        all.add(&measured.expect("a caller ends without a panic"));
    }
    all.elapsed = begin.elapsed();
    all
}

/// Requests come at random times at a fixed mean rate, however long the answers take. Latency counts
/// from when a request was due, so a stall counts for all that were due in it.
pub(crate) async fn run_open(target: &Target, per_s: f64, length: Duration, seed: u64) -> Measured {
    let mut random = StdRng::seed_from_u64(seed);
    let mut due = Duration::ZERO;
    let mut arrivals = Vec::new();
    while due < length {
        due += Duration::from_secs_f64(-(1.0 - random.random::<f64>()).ln() / per_s);
        arrivals.push(due);
    }
    let (tick, mut ticks) = mpsc::unbounded_channel();
    let begin = Instant::now();
    // A thread of its own, because the timers of tokio are only exact to a millisecond.
    let pacer = std::thread::spawn(move || {
        for due in arrivals {
            std::thread::sleep((begin + due).saturating_duration_since(Instant::now()));
            if tick.send(begin + due).is_err() {
                return;
            }
        }
    });
    let pools: Arc<[Mutex<Vec<Sender>>]> = match &target.path {
        Path::Entry(_) => Arc::new([Mutex::default()]),
        Path::Engines(addresses) => addresses.iter().map(|_| Mutex::default()).collect(),
    };
    let next = AtomicUsize::new(0);
    let mut calls = JoinSet::new();
    while let Some(due) = ticks.recv().await {
        let (target, pools) = (target.clone(), Arc::clone(&pools));
        let index = next.fetch_add(1, Ordering::Relaxed) % pools.len();
        calls.spawn(async move {
            let pool = &pools[index];
            let idle = pool.lock().unwrap_or_else(PoisonError::into_inner).pop();
            let mut sender = match idle {
                Some(sender) => sender,
                None => connect(target.address(index)).await,
            };
            let whole = call(&mut sender, &target).await;
            let latency = due.elapsed();
            if !sender.is_closed() {
                pool.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
            }
            (whole, latency)
        });
    }
    let mut measured = Measured::new();
    while let Some(call) = calls.join_next().await {
        let (whole, latency) = call.expect("a caller ends without a panic");
        measured.count(whole, latency);
    }
    measured.elapsed = begin.elapsed();
    pacer.join().expect("the pacer ends without a panic");
    measured
}

/// A stream whose first token has come.
pub(crate) struct OpenStream {
    response: Response<Incoming>,
    /// Keeps the connection.
    sender: Sender,
}

/// Opens streams and reads a first piece of each.
pub(crate) async fn hold_open(target: &Target, streams: usize) -> Vec<OpenStream> {
    let mut opening = JoinSet::new();
    for index in 0..streams {
        let target = target.clone();
        opening.spawn(async move {
            let mut sender = connect(target.address(index)).await;
            let mut response = send(&mut sender, target.request()).await?;
            let first = timeout(DEADLINE, response.body_mut().frame()).await;
            let opened = response.status().is_success() && matches!(first, Ok(Some(Ok(_))));
            opened.then_some(OpenStream { response, sender })
        });
    }
    let mut open = Vec::new();
    while let Some(stream) = opening.join_next().await {
        open.extend(stream.expect("a caller ends without a panic"));
    }
    open
}

/// Reads the rest of each stream and tells how many were whole.
pub(crate) async fn finish(streams: Vec<OpenStream>) -> u64 {
    let mut reading = JoinSet::new();
    for OpenStream { response, sender } in streams {
        reading.spawn(async move {
            let whole = read(response).await;
            drop(sender);
            u64::from(whole)
        });
    }
    let mut whole = 0;
    while let Some(stream) = reading.join_next().await {
        whole += stream.expect("a caller ends without a panic");
    }
    whole
}
