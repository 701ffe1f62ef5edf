//! The platform's append-only log.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::clock::unix_ms;
use crate::control::Controller;
use crate::faults::CommonFaults;
use crate::filters::{Fake, State};
use crate::http::{self, Call, Reply};
use crate::server::{Power, Server};

/// Most records in one reply, whatever `max` says.
const MAX_RECORDS: u64 = 1_000;

/// Faults and limits of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// Faults that every fake has.
    #[serde(flatten)]
    pub common: CommonFaults,
    /// Appends a second over all streams; more wait in the order of arrival. 0 is unlimited.
    pub appends_per_s: u64,
    /// Records kept in each stream; 0 is unlimited.
    pub retention_records: u64,
    /// Age at which a record expires; 0 is never.
    pub retention_ms: u64,
    /// Records below this offset have expired, in every stream.
    pub expire_before: u64,
    /// Replies name this older end and hold no record at or after it.
    pub report_end: Option<u64>,
}

/// One record as the log returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: u64,
    /// When the log appended it, in milliseconds since the Unix epoch.
    pub appended_unix_ms: u64,
    /// The payload's text.
    pub payload: String,
}

/// One reply to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The oldest offset that is still readable.
    pub first_offset: u64,
    /// The next offset to be assigned.
    pub end_offset: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}

/// A running log. Dropping it stops it.
pub struct Log {
    server: Server,
    control: Controller<LogState>,
}

impl Log {
    /// Starts on a free loopback port, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound.
    pub fn start() -> io::Result<Self> {
        Self::start_on((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Starts on the given address, in the caller's tokio runtime.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn start_on(address: SocketAddr) -> io::Result<Self> {
        let control = Controller::start(LogState::default());
        let fake = LogFake { control: control.clone(), next_append: Mutex::new(Instant::now()) };
        let server = Server::start(address, |_| fake)?;
        Ok(Self { server, control })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the faults; later requests see the change.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults) + Send + 'static) {
        self.control.post(move |state| change(&mut state.faults));
    }

    /// Expires every record below `offset`, in every stream.
    pub fn expire_before(&self, offset: u64) {
        self.set_faults(move |faults| faults.expire_before = offset);
    }

    /// Appends a record without HTTP, past every fault; gives its offset.
    pub async fn append(&self, stream: &str, payload: &str) -> u64 {
        let (stream, payload) = (stream.to_owned(), payload.to_owned());
        self.control.change(move |state| state.append(&stream, payload)).await
    }

    /// The readable records of a stream, past every fault.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Record> {
        let stream = stream.to_owned();
        self.control.read_blocking(move |state| {
            let records = state.streams.get(&stream).map(|stream| &stream.records);
            records.into_iter().flatten().cloned().collect()
        })
    }

    /// Waits until a stream has this many records, past every fault.
    pub async fn wait_for_records(&self, stream: &str, records: u64) {
        let stream = stream.to_owned();
        let appended = move |state: &LogState| {
            let end = state.streams.get(&stream).map_or(0, |stream| stream.end_offset);
            (end >= records).then_some(())
        };
        self.control.wait(appended).await;
    }

    /// Stops and drops every connection.
    pub async fn stop(self) {
        self.server.switch().set(Power::Stopped).await;
    }
}

#[derive(Default)]
struct Stream {
    records: VecDeque<Record>,
    end_offset: u64,
}

impl Stream {
    fn first_offset(&self) -> u64 {
        self.records.front().map_or(self.end_offset, |record| record.offset)
    }

    fn append(&mut self, payload: String, now_unix_ms: u64) -> u64 {
        let offset = self.end_offset;
        self.records.push_back(Record { offset, appended_unix_ms: now_unix_ms, payload });
        self.end_offset += 1;
        offset
    }

    fn expire(&mut self, faults: &LogFaults, now_unix_ms: u64) {
        while let Some(oldest) = self.records.front() {
            let count = self.records.len() as u64;
            let age_ms = now_unix_ms.saturating_sub(oldest.appended_unix_ms);
            let expired = oldest.offset < faults.expire_before
                || (faults.retention_records > 0 && count > faults.retention_records)
                || (faults.retention_ms > 0 && age_ms >= faults.retention_ms);
            if !expired {
                break;
            }
            self.records.pop_front();
        }
    }

    fn page(&self, from: u64, max: u64, faults: &LogFaults) -> Page {
        let end_offset = faults.report_end.unwrap_or(self.end_offset).min(self.end_offset);
        let skip = usize::try_from(from.saturating_sub(self.first_offset())).unwrap_or(usize::MAX);
        let readable = self.records.iter().skip(skip).take_while(|r| r.offset < end_offset);
        let most = usize::try_from(max.min(MAX_RECORDS)).unwrap_or(usize::MAX);
        let records = readable.take(most).cloned().collect();
        Page { first_offset: self.first_offset(), end_offset, records }
    }
}

#[derive(Default)]
struct LogState {
    faults: LogFaults,
    streams: BTreeMap<String, Stream>,
}

impl LogState {
    fn append(&mut self, stream: &str, payload: String) -> u64 {
        self.streams.entry(stream.to_owned()).or_default().append(payload, unix_ms())
    }

    fn page(&mut self, stream: &str, from: u64, max: u64) -> Page {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        stream.expire(&self.faults, unix_ms());
        stream.page(from, max, &self.faults)
    }

    fn has_record_at(&self, stream: &str, from: u64) -> bool {
        let end = self.streams.get(stream).map_or(0, |stream| stream.end_offset);
        self.faults.report_end.unwrap_or(end).min(end) > from
    }
}

impl State for LogState {
    type Faults = LogFaults;

    fn faults(&self) -> &LogFaults {
        &self.faults
    }

    fn faults_mut(&mut self) -> &mut LogFaults {
        &mut self.faults
    }

    fn common(&self) -> &CommonFaults {
        &self.faults.common
    }

    fn common_mut(&mut self) -> &mut CommonFaults {
        &mut self.faults.common
    }
}

struct LogFake {
    control: Controller<LogState>,
    /// When the rate allows the next append. Waiters hold the lock in the order of arrival.
    next_append: Mutex<Instant>,
}

impl LogFake {
    async fn append(&self, stream: &str, call: &Call) -> Reply {
        let Ok(payload) = String::from_utf8(call.body.to_vec()) else {
            return http::bad_request("the payload is not UTF-8 text");
        };
        let stream = stream.to_owned();
        let per_s = self.control.read(|state| state.faults.appends_per_s).await;
        let _turn = self.take_turn(per_s).await;
        let offset = self.control.change(move |state| state.append(&stream, payload)).await;
        http::ok(&json!({ "offset": offset }))
    }

    async fn take_turn(&self, per_s: u64) -> Option<tokio::sync::MutexGuard<'_, Instant>> {
        if per_s == 0 {
            return None;
        }
        let mut next = self.next_append.lock().await;
        tokio::time::sleep_until(*next).await;
        *next = Instant::now() + Duration::from_secs(1) / u32::try_from(per_s).unwrap_or(u32::MAX);
        Some(next)
    }

    async fn read(&self, stream: &str, call: &Call) -> Reply {
        let (from, max) = (call.number("from", 0), call.number("max", MAX_RECORDS));
        let wait = Duration::from_millis(call.number("wait_ms", 0));
        let name = stream.to_owned();
        let ready = move |state: &LogState| state.has_record_at(&name, from).then_some(());
        self.control.wait_for(wait, ready).await;
        let stream = stream.to_owned();
        // Expiry follows from the faults and the time, so it wakes nobody.
        http::ok(&self.control.tidy(move |state| state.page(&stream, from, max)).await)
    }
}

impl Fake for LogFake {
    type State = LogState;

    fn control(&self) -> &Controller<LogState> {
        &self.control
    }

    async fn handle(&self, call: &Call) -> Reply {
        let (method, path) = call.route();
        match (method, &path[..]) {
            ("POST", ["streams", stream, "records"]) => self.append(stream, call).await,
            ("GET", ["streams", stream, "records"]) => self.read(stream, call).await,
            _ => http::not_found(),
        }
    }

    fn has_effect(&self, call: &Call) -> bool {
        call.method == "POST"
    }
}
