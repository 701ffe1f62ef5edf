//! Callers as the guide describes them, and what each request came to.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use stand_ins::engine;
use stand_ins::service::Service;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

use crate::caller::{Call, Reply, StreamEnd, new_key};

/// Prompts with this text crash the engine that runs them.
pub(crate) const CRASH_MARK: &str = "crash-the-engine";
/// Versions that the engines have loaded.
pub(crate) const VERSIONS: [&str; 2] = ["v1", "v2"];
const DEADLINE_MS: u64 = 5_000;
/// After this time a caller sends a request no more.
const PATIENCE: Duration = Duration::from_secs(15);
/// Sends whose outcome is unknown before a caller gives up.
const MAX_UNKNOWN: usize = 4;
/// Before a caller that found no entry looks again.
const PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A call that may not repeat.
    Job,
    Stream,
    Whole,
    /// A completion that crashes engines.
    Crashing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    Done,
    NotRun,
    Unknown,
}

/// What must not happen to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    Doubled,
    Lost,
    Crossed,
    FalseNotRun,
}

/// One request from its first send to its outcome.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) kind: Kind,
    pub(crate) key: String,
    /// The body of a job or the prompt of a completion; no other request has it.
    pub(crate) text: String,
    pub(crate) started_unix_ms: u128,
    pub(crate) ended_unix_ms: u128,
    /// Each send, question and reply.
    pub(crate) steps: Vec<String>,
    pub(crate) outcome: Option<Outcome>,
    /// The position that the service reported for a job.
    pub(crate) serial: Option<u64>,
    pub(crate) faults: Vec<(Fault, String)>,
    /// Replies that refused it as quarantined.
    pub(crate) quarantined: u64,
    /// An earlier send may have run.
    uncertain: bool,
    /// A reply or a cut mark said that the outcome is unknown.
    told_unknown: bool,
    unknown: usize,
}

pub(crate) fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

impl Request {
    fn new(kind: Kind, key: String, text: String) -> Self {
        Self {
            kind,
            key,
            text,
            started_unix_ms: unix_ms(),
            ended_unix_ms: 0,
            steps: Vec::new(),
            outcome: None,
            serial: None,
            faults: Vec::new(),
            quarantined: 0,
            uncertain: false,
            told_unknown: false,
            unknown: 0,
        }
    }

    fn note(&mut self, entry: SocketAddr, what: &str) {
        self.steps.push(format!("{} {entry} {what}", unix_ms()));
    }

    pub(crate) fn fault(&mut self, fault: Fault, what: impl Into<String>) {
        self.faults.push((fault, what.into()));
    }

    fn end(&mut self, outcome: Outcome) -> Next {
        self.outcome = Some(outcome);
        Next::End
    }

    /// An outcome that nobody can tell; the caller asks and sends again a few times.
    fn count_unknown(&mut self) -> Next {
        (self.uncertain, self.unknown) = (true, self.unknown + 1);
        if self.unknown >= MAX_UNKNOWN { self.end(Outcome::Unknown) } else { Next::Elsewhere }
    }
}

/// What a caller does after a reply.
enum Next {
    End,
    /// Sends again after the time that the refusal named.
    After(Duration),
    /// Asks by key and sends again, to another entry.
    Elsewhere,
    /// Sends again to another entry: this one is leaving or new, or takes no connection.
    OtherEntry,
}

/// What all callers share with the thread that sets the faults.
#[derive(Clone)]
pub(crate) struct World {
    /// Entries that a caller can find without advice.
    pub(crate) entries: watch::Receiver<Vec<SocketAddr>>,
    /// Entries that were killed, whose replies may break off.
    pub(crate) killed: Arc<Mutex<HashSet<SocketAddr>>>,
    pub(crate) services: Arc<Vec<Arc<Service>>>,
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) requests: mpsc::UnboundedSender<Request>,
}

impl World {
    fn was_killed(&self, entry: SocketAddr) -> bool {
        self.killed.lock().unwrap_or_else(PoisonError::into_inner).contains(&entry)
    }

    fn executions_of(&self, body: &str) -> u64 {
        self.services.iter().map(|service| service.executions_of(body.as_bytes())).sum()
    }
}

/// One caller, with one request at a time.
pub(crate) struct Caller {
    world: World,
    name: String,
    advice: Vec<SocketAddr>,
    valid_until: Instant,
    asked: usize,
    /// Entries spread callers by their addresses, so each caller has its own.
    source: IpAddr,
}

impl Caller {
    pub(crate) fn new(world: World, name: String, number: u8) -> Self {
        Self {
            world,
            name,
            advice: Vec::new(),
            valid_until: Instant::now(),
            asked: usize::from(number),
            source: Ipv4Addr::new(127, 0, 1, number).into(),
        }
    }

    /// Sends requests until the world stops.
    pub(crate) async fn run(mut self) {
        let mut number = 0;
        while !self.world.stop.load(Ordering::Relaxed) {
            let kind = [Kind::Job, Kind::Stream, Kind::Job, Kind::Whole][number % 4];
            let text = format!("{}-{number}", self.name);
            self.send(kind, text).await;
            number += 1;
        }
    }

    /// Sends one request until its outcome is known or given up.
    pub(crate) async fn send(&mut self, kind: Kind, text: String) {
        let key = new_key();
        let tokens = tokens_of(&text);
        let call = match kind {
            Kind::Job => Call::job(key, &text),
            Kind::Stream => Call::stream(&text, tokens).key(key),
            Kind::Whole | Kind::Crashing => Call::whole(&text, tokens).key(key),
        };
        let call = call.deadline_ms(DEADLINE_MS).source(self.source);
        let question = Call::question(key).deadline_ms(DEADLINE_MS).source(self.source);
        let mut request = Request::new(kind, key.to_string(), text);
        let give_up = Instant::now() + PATIENCE;
        let mut avoid = None;
        for attempt in 1.. {
            let Some(entry) = self.entry(avoid, give_up).await else {
                request.fault(Fault::Lost, "no entry could be reached");
                break;
            };
            let call = call.clone().header("x-attempt", attempt.to_string());
            let next = match kind {
                Kind::Stream => self.stream(&mut request, &call, entry).await,
                _ => self.whole(&mut request, &call, entry).await,
            };
            match next {
                Next::End => break,
                Next::After(wait) if Instant::now() + wait >= give_up => {
                    let uncertain = request.uncertain;
                    request.end(if uncertain { Outcome::Unknown } else { Outcome::NotRun });
                    break;
                }
                Next::After(wait) => sleep(wait).await,
                Next::Elsewhere => {
                    if let Some(other) = self.entry(Some(entry), give_up).await
                        && self.ask(&mut request, &question, other).await
                    {
                        break;
                    }
                    avoid = Some(entry);
                }
                Next::OtherEntry => {
                    self.valid_until = Instant::now();
                    avoid = Some(entry);
                    sleep(PAUSE).await;
                }
            }
            if Instant::now() >= give_up && request.uncertain {
                request.end(Outcome::Unknown);
                break;
            }
        }
        if request.outcome == Some(Outcome::Unknown) && !request.told_unknown {
            request.fault(Fault::Lost, "connections broke, and no reply said what became of it");
        }
        request.ended_unix_ms = unix_ms();
        // The receiver lives longer than every caller.
        let _ = self.world.requests.send(request);
    }

    /// The first advised entry other than `avoid`; asks for advice when the last one has run out.
    async fn entry(&mut self, avoid: Option<SocketAddr>, give_up: Instant) -> Option<SocketAddr> {
        while Instant::now() < give_up {
            if Instant::now() < self.valid_until {
                let other = self.advice.iter().find(|entry| Some(**entry) != avoid);
                if let Some(entry) = other.or(self.advice.first()) {
                    return Some(*entry);
                }
            }
            let entries = self.world.entries.borrow().clone();
            let asked = entries[self.asked % entries.len()];
            self.asked += 1;
            let question = Call::new("GET", "/v1/entries", "").source(self.source);
            let advice = question.send(asked);
            let asked_at = Instant::now();
            let Ok(Ok(reply)) = tokio::time::timeout(Duration::from_secs(1), advice).await else {
                sleep(PAUSE).await;
                continue;
            };
            let advice = reply.json();
            self.advice = advice["entries"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|entry| entry["address"].as_str()?.parse().ok())
                .collect();
            let valid_ms = advice["valid_for_ms"].as_u64().unwrap_or(0);
            self.valid_until = asked_at + Duration::from_millis(valid_ms);
            if self.advice.is_empty() {
                sleep(PAUSE).await;
            }
        }
        None
    }

    async fn whole(&mut self, request: &mut Request, call: &Call, entry: SocketAddr) -> Next {
        match call.send(entry).await {
            Ok(reply) => self.reply(request, &reply, entry),
            Err(error) => self.broken(request, &error, entry),
        }
    }

    async fn stream(&mut self, request: &mut Request, call: &Call, entry: SocketAddr) -> Next {
        let mut events = match call.events_or_reply(entry).await {
            Ok(Ok(events)) => events,
            Ok(Err(reply)) => return self.reply(request, &reply, entry),
            Err(error) => return self.broken(request, &error, entry),
        };
        let (tokens, end) = events.rest().await;
        let text = tokens.concat();
        let whole = end == StreamEnd::Done;
        check_text(request, &text, whole);
        match end {
            StreamEnd::Done => {
                request.note(entry, "done");
                request.end(Outcome::Done)
            }
            StreamEnd::Error => {
                request.told_unknown = true;
                request.note(entry, &format!("cut after {} tokens", tokens.len()));
                request.count_unknown()
            }
            StreamEnd::Broken(error) => self.broken(request, &error, entry),
        }
    }

    /// A connection that broke or an answer without an end.
    fn broken(&mut self, request: &mut Request, error: &str, entry: SocketAddr) -> Next {
        request.note(entry, &format!("broke: {error}"));
        if error.contains("Connect") {
            return Next::OtherEntry;
        }
        self.valid_until = Instant::now();
        if !self.world.was_killed(entry) {
            request.fault(Fault::Lost, format!("{entry} was not killed, and: {error}"));
        }
        request.count_unknown()
    }

    fn reply(&mut self, request: &mut Request, reply: &Reply, entry: SocketAddr) -> Next {
        let error = reply.json()["error"].clone();
        let code = error["code"].as_str().unwrap_or_default();
        let retry_after_ms = error["retry_after_ms"].as_u64().unwrap_or(0);
        request.note(entry, &format!("status {} {code} {retry_after_ms}", reply.status));
        if reply.is_not_run() {
            request.quarantined += u64::from(code == "quarantined");
            if !request.uncertain {
                self.check_not_run(request, entry);
            }
            if code == "draining" || code == "no_document" {
                return Next::OtherEntry;
            }
            // A caller does not spin when it may send again at once.
            return Next::After(Duration::from_millis(retry_after_ms).max(PAUSE));
        }
        if reply.is_unknown() {
            request.told_unknown = true;
            return request.count_unknown();
        }
        if reply.status != 200 {
            let what = format!("no outcome: status {} {}", reply.status, reply.body);
            request.fault(Fault::Lost, what);
            return Next::End;
        }
        done(request, reply)
    }

    /// A request that was refused as not run has not run when the refusal comes.
    fn check_not_run(&self, request: &mut Request, entry: SocketAddr) {
        if request.kind == Kind::Job && self.world.executions_of(&request.text) > 0 {
            request.fault(Fault::FalseNotRun, format!("{entry} said not run, and it had run"));
        }
    }

    /// Asks by key. Gives whether that brought the answer.
    async fn ask(&mut self, request: &mut Request, question: &Call, entry: SocketAddr) -> bool {
        let reply = match question.send(entry).await {
            Ok(reply) => reply,
            Err(error) => {
                request.note(entry, &format!("question broke: {error}"));
                if !error.contains("Connect") && !self.world.was_killed(entry) {
                    request.fault(Fault::Lost, format!("question at {entry}: {error}"));
                }
                return false;
            }
        };
        let error = reply.json()["error"].clone();
        let code = error["code"].as_str().unwrap_or_default();
        request.note(entry, &format!("question: status {} {code}", reply.status));
        // Only this code says that the attempt with the key never ran; others refuse the question.
        if reply.is_not_run() && code == "endpoint_refused" {
            self.check_not_run(request, entry);
        }
        let not_seen = reply.status == 404 && reply.error_type() == "not_seen";
        if reply.status == 200 {
            done(request, &reply);
            return true;
        }
        if !reply.is_not_run() && !reply.is_unknown() && !not_seen {
            let what = format!("question: status {} {}", reply.status, reply.body);
            request.fault(Fault::Lost, what);
        }
        false
    }
}

fn done(request: &mut Request, reply: &Reply) -> Next {
    let answer = reply.json();
    if request.kind == Kind::Job {
        request.serial = answer["serial"].as_u64();
        if answer["executions"] != 1 {
            request.fault(Fault::Doubled, format!("the receipt says {}", reply.body));
        }
    } else {
        let text = answer["choices"][0]["text"].as_str().unwrap_or_default().to_owned();
        check_text(request, &text, true);
    }
    request.end(Outcome::Done)
}

/// The answer to each prompt has its own length, so that a foreign one shows.
fn tokens_of(text: &str) -> u64 {
    10 + text.bytes().map(u64::from).sum::<u64>() % 41
}

/// The text must be that of one version, whole or the start of it.
fn check_text(request: &mut Request, text: &str, whole: bool) {
    let fits = VERSIONS.iter().any(|version| {
        let tokens = 0..tokens_of(&request.text);
        let expected: String =
            tokens.map(|index| engine::token(version, &request.text, index)).collect();
        if whole { expected == text } else { expected.starts_with(text) }
    });
    if !fits {
        request.fault(Fault::Crossed, format!("whole={whole}, text `{text}`"));
    }
}
