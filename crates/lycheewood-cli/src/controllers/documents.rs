//! Owns the state of the log stream `documents`.

use lycheewood::publication::{
    PageView, PublicationState, RecordEffect, RecordView, StartPoint, choose_start,
    is_inconsistent_page,
};
use lycheewood::{LogClient, LogPage, LogRecord, Offset};

use tokio::time::timeout;

use crate::decisions::publish::Appended;
use crate::error::{CliError, LogError};
use crate::traffic::{Deadline, Traffic};

/// The stream that carries publications and snapshots.
const DOCUMENTS: &str = "documents";

/// The log's start may move while its records are read; a second reading that also fails tells of
/// another fault.
const READINGS: usize = 3;

/// Owns the state of the stream.
pub(crate) struct DocumentController<'t> {
    traffic: &'t Traffic,
    client: LogClient,
    deadline: Deadline,
    state: PublicationState,
    seen_end: Offset,
    /// Every record read so far, for questions about older publications.
    records: Vec<LogRecord>,
}

impl<'t> DocumentController<'t> {
    /// Reads the stream to its end.
    pub(crate) fn open(
        traffic: &'t Traffic,
        client: LogClient,
        deadline: Deadline,
    ) -> Result<Self, CliError> {
        Self::open_with(traffic, client, deadline, &mut |_| {})
    }

    /// Reads the stream to its end and shows what each record did.
    pub(crate) fn open_with(
        traffic: &'t Traffic,
        client: LogClient,
        deadline: Deadline,
        on_effect: &mut dyn FnMut(&RecordEffect),
    ) -> Result<Self, CliError> {
        let mut controller = Self {
            traffic,
            client,
            deadline,
            state: PublicationState::default(),
            seen_end: Offset(0),
            records: Vec::new(),
        };
        controller.restart(on_effect)?;
        Ok(controller)
    }

    /// The state so far.
    pub(crate) fn state(&self) -> &PublicationState {
        &self.state
    }

    /// The records read so far.
    pub(crate) fn records(&self) -> &[LogRecord] {
        &self.records
    }

    /// Reads on; waits up to `wait_ms` for a record. Tells whether the end was reached.
    pub(crate) fn read_on(
        &mut self,
        wait_ms: u64,
        on_effect: &mut dyn FnMut(&RecordEffect),
    ) -> Result<bool, CliError> {
        let page = self.read(self.state.next_offset(), wait_ms)?;
        if page.first_offset > self.state.next_offset() {
            self.restart(on_effect)?;
            return Ok(true);
        }
        self.apply(&page.records, on_effect).map_err(CliError::Log)?;
        self.records.extend(page.records);
        Ok(self.state.next_offset() >= self.seen_end)
    }

    /// Appends a payload and tells whether it stands in the log.
    pub(crate) fn append(&self, payload: &str) -> Appended {
        let (client, payload) = (self.client.clone(), payload.to_owned());
        let left = self.deadline.remaining();
        let append = async move { timeout(left, client.append(DOCUMENTS, payload)).await };
        match self.traffic.call(append) {
            Ok(Ok(Ok(_))) => Appended::Confirmed,
            Ok(Ok(Err(error))) => {
                log::warn!("{error}");
                if error.is_not_sent() { Appended::NotSent } else { Appended::Unconfirmed }
            }
            Ok(Err(_)) | Err(_) => Appended::Unconfirmed,
        }
    }

    /// Reads all records, chooses the start among them and applies the records from there.
    fn restart(&mut self, on_effect: &mut dyn FnMut(&RecordEffect)) -> Result<(), CliError> {
        for _ in 0..READINGS {
            let (first_offset, records) = self.read_all()?;
            let views = record_views(&records);
            let page = PageView { first_offset, end_offset: self.seen_end, records: &views };
            match choose_start(None, &page) {
                StartPoint::Replace(state) => self.state = state,
                StartPoint::Continue | StartPoint::Unavailable => {
                    return Err(CliError::Log(LogError::NoStart));
                }
            }
            if self.apply(&records, on_effect).is_ok() {
                self.records = records;
                return Ok(());
            }
        }
        Err(CliError::Log(LogError::Expired))
    }

    fn read_all(&mut self) -> Result<(Offset, Vec<LogRecord>), CliError> {
        let mut page = self.read(Offset(0), 0)?;
        let mut records = std::mem::take(&mut page.records);
        loop {
            let next = records.last().map_or(page.first_offset, |record| record.offset.next());
            if next >= page.end_offset {
                return Ok((page.first_offset, records));
            }
            page = self.read(next, 0)?;
            if page.records.is_empty() {
                return Err(CliError::Log(LogError::Expired));
            }
            records.append(&mut page.records);
        }
    }

    fn apply(
        &mut self,
        records: &[LogRecord],
        on_effect: &mut dyn FnMut(&RecordEffect),
    ) -> Result<(), LogError> {
        for record in &record_views(records) {
            match self.state.apply(record) {
                Ok(RecordEffect::AlreadyApplied) => {}
                Ok(effect) => on_effect(&effect),
                Err(_) => return Err(LogError::Expired),
            }
        }
        Ok(())
    }

    fn read(&mut self, from: Offset, wait_ms: u64) -> Result<LogPage, CliError> {
        let left = self.deadline.remaining();
        let wait_ms = wait_ms.min(self.deadline.remaining_ms());
        let client = self.client.clone();
        let page = self
            .traffic
            .call(async move { timeout(left, client.read(DOCUMENTS, from, wait_ms)).await })?
            .map_err(|_| CliError::Log(LogError::TimedOut))?
            .map_err(|error| CliError::Log(error.into()))?;
        let views = record_views(&page.records);
        let view = PageView {
            first_offset: page.first_offset,
            end_offset: page.end_offset,
            records: &views,
        };
        if is_inconsistent_page(None, self.seen_end, &view) {
            return Err(CliError::Log(LogError::Faulty));
        }
        self.seen_end = page.end_offset;
        Ok(page)
    }
}

fn record_views(records: &[LogRecord]) -> Vec<RecordView<'_>> {
    records
        .iter()
        .map(|record| RecordView {
            offset: record.offset,
            appended: record.appended,
            payload: &record.payload,
        })
        .collect()
}
