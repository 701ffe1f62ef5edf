//! One completion: waits for capacity, then streams its tokens.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::runs::Ticket;
use super::tokens::token;
use super::{EngineFake, EngineFaults, EngineState};
use crate::control::Controller;
use crate::http::{self, Call, Reply};
use crate::server::Switch;

/// Events that may wait for a slow reader before the engine pauses.
const EVENT_BUFFER: usize = 16;

/// The body of `POST /v1/completions`.
#[derive(Clone, Deserialize)]
pub(super) struct CompletionRequest {
    pub(super) request_id: String,
    /// The loaded version if absent.
    #[serde(default)]
    pub(super) version: Option<String>,
    pub(super) prompt: String,
    pub(super) max_tokens: u64,
    #[serde(default)]
    pub(super) priority: u8,
    #[serde(default)]
    resume_from_token: u64,
}

/// Waits for capacity.
struct Queued {
    admitted: oneshot::Receiver<bool>,
}

/// Holds capacity.
struct Running {
    started: Instant,
    /// Whether the prompt's prefix was in the cache, which saves the prefill.
    cached: bool,
}

/// One request in one stage of its life.
struct Run<Stage> {
    place: Place,
    version: String,
    request: CompletionRequest,
    stage: Stage,
}

/// A request's place in the engine, freed on drop.
struct Place {
    control: Controller<EngineState>,
    number: u64,
}

impl Drop for Place {
    fn drop(&mut self) {
        let number = self.number;
        self.control.post(move |state| state.release(number));
    }
}

/// Why a stream ended before its last event.
enum Ended {
    /// The reader is gone.
    Left,
    /// A fault cuts the stream.
    Cut,
}

type Events = mpsc::Sender<io::Result<Bytes>>;

/// Handles `POST /v1/completions`.
pub(super) async fn complete(fake: &EngineFake, call: &Call) -> Reply {
    let request: CompletionRequest = match call.json() {
        Ok(request) => request,
        Err(message) => return http::bad_request(&message),
    };
    let asked = request.clone();
    let (ticket, version) = match fake.control.change(move |state| state.enqueue(&asked)).await {
        Ok(queued) => queued,
        Err(loaded) => {
            let message = json!({ "error": "another version is loaded", "version": loaded });
            return http::json(StatusCode::CONFLICT, &message);
        }
    };
    let Ticket { number, admitted, cancelled } = ticket;
    let place = Place { control: fake.control.clone(), number };
    let run = Run { place, version, request, stage: Queued { admitted } };
    let (events, parts) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(stream(run, cancelled, events, fake.switch.clone()));
    let builder = Response::builder().header("content-type", "text/event-stream");
    builder.body(http::streamed(parts)).map_err(io::Error::other)
}

/// Generates until the end, a cancel, or the reader's leaving.
async fn stream(
    run: Run<Queued>,
    cancelled: oneshot::Receiver<()>,
    events: Events,
    switch: Switch,
) {
    let result = tokio::select! {
        Ok(()) = cancelled => return,
        () = events.closed() => return,
        result = generate(run, &events, &switch) => result,
    };
    if let Err(Ended::Cut) = result {
        drop(events.send(Err(io::Error::other("cut by a fault"))).await);
    }
}

async fn generate(run: Run<Queued>, events: &Events, switch: &Switch) -> Result<(), Ended> {
    let run = run.admitted().await?;
    let mut due = run.stage.started;
    if !run.stage.cached {
        due += Duration::from_millis(run.faults().await.prefill_ms);
    }
    for index in run.request.resume_from_token..run.request.max_tokens {
        let faults = run.faults().await;
        due += Duration::from_millis(faults.token_interval_ms);
        tokio::time::sleep_until(due).await;
        run.apply(&faults, index, switch).await?;
        let token = token(&run.version, &run.request.prompt, index);
        send(events, &json!({ "index": index, "token": token })).await?;
    }
    let faults = run.faults().await;
    run.apply(&faults, run.request.max_tokens, switch).await?;
    send(events, &json!({ "total": run.request.max_tokens })).await?;
    // The place is free before the reader sees the end, so that its next request finds it free.
    let place = run.place;
    place.control.clone().change(move |_| drop(place)).await;
    send_text(events, "data: [DONE]\n\n".to_owned()).await
}

impl Run<Queued> {
    async fn admitted(self) -> Result<Run<Running>, Ended> {
        let cached = self.stage.admitted.await.map_err(|_| Ended::Left)?;
        let stage = Running { started: Instant::now(), cached };
        Ok(Run { place: self.place, version: self.version, request: self.request, stage })
    }
}

impl Run<Running> {
    async fn faults(&self) -> EngineFaults {
        self.place.control.read(|state| state.faults.clone()).await
    }

    /// Applies the faults that strike before the event at `index`.
    async fn apply(&self, faults: &EngineFaults, index: u64, switch: &Switch) -> Result<(), Ended> {
        if http::holds(self.request.prompt.as_bytes(), &faults.crash_on)
            && index >= faults.crash_after_tokens
        {
            switch.crash(faults.restart_after_ms).await;
        }
        if faults.cut_after_tokens.is_some_and(|tokens| index >= tokens) {
            return Err(Ended::Cut);
        }
        if faults.stalls(index) {
            let resumed = move |state: &EngineState| (!state.faults.stalls(index)).then_some(());
            self.place.control.wait(resumed).await;
        }
        Ok(())
    }
}

async fn send(events: &Events, event: &Value) -> Result<(), Ended> {
    send_text(events, format!("data: {event}\n\n")).await
}

async fn send_text(events: &Events, text: String) -> Result<(), Ended> {
    events.send(Ok(text.into())).await.map_err(|_| Ended::Left)
}
