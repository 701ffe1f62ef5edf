//! Runs attempts on the engine or service beside this process.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;
use tokio::task::JoinHandle;

use crate::adapters::backend::{Completion, EngineEvent, ServiceCall};
use crate::adapters::http::HttpError;
use crate::controllers::attempts::{ExecutionEnd, ExecutionEnded};
use crate::ids::AttemptId;
use crate::response::{ResponseBuffer, ResponseEnd};
use crate::roles::endpoint::EndpointState;
use crate::telemetry::HopSpan;
use crate::wire::message::{Start, Work};

/// Times that a cut stream is continued on the same engine.
const MAX_RESUMES: u32 = 2;

/// An attempt that is running.
#[derive(Debug)]
pub(crate) struct Execution {
    task: JoinHandle<()>,
    buffer: Arc<ResponseBuffer>,
}

/// Starts an attempt. Its answer goes into `buffer`.
pub(crate) fn spawn(state: &Arc<EndpointState>, start: Box<Start>, buffer: Arc<ResponseBuffer>) {
    let attempt = start.attempt;
    // The map stays locked until the task is in it, so that a short task cannot end before.
    let mut executions = state.executions();
    let task = tokio::spawn(execute(Arc::clone(state), start, Arc::clone(&buffer)));
    executions.insert(attempt, Execution { task, buffer });
}

/// Stops a completion that nobody reads. Calls to services run to their end, since their result may
/// be asked for later.
pub(crate) fn cancel(state: &Arc<EndpointState>, attempt: AttemptId) {
    if !state.serves_model() {
        return;
    }
    let Some(execution) = state.executions().remove(&attempt) else { return };
    let state = Arc::clone(state);
    tokio::spawn(async move { stop(&state, attempt, execution).await });
}

async fn stop(state: &EndpointState, attempt: AttemptId, execution: Execution) {
    execution.task.abort();
    if execution.task.await.is_ok() {
        return;
    }
    state.engine.cancel(attempt).await;
    let end = ExecutionEnd::Failed;
    let _ = state.attempts.ask(ExecutionEnded { attempt, end }).await;
    execution.buffer.finish(ResponseEnd::Failed { engine_died: false });
}

async fn execute(state: Arc<EndpointState>, start: Box<Start>, buffer: Arc<ResponseBuffer>) {
    let attempt = start.attempt;
    let attributes = vec![KeyValue::new("lycheewood.attempt", attempt.to_string())];
    let parent = start.traceparent.as_deref();
    let span = state.telemetry.span("execute", SpanKind::Server, parent, attributes);
    let end = match &start.work {
        Work::Model { .. } => complete(&state, &start, &span, &buffer).await,
        Work::Service { .. } => call_service(&state, &start, &span, &buffer).await,
    };
    // The controller learns of the end first: it tells of suspects before the answer fails.
    let _ = state.attempts.ask(ExecutionEnded { attempt, end }).await;
    state.executions().remove(&attempt);
    buffer.finish(match end {
        ExecutionEnd::Answered => ResponseEnd::Complete,
        ExecutionEnd::NotStarted => ResponseEnd::NotStarted,
        ExecutionEnd::Failed => ResponseEnd::Failed { engine_died: false },
        ExecutionEnd::EngineDied => ResponseEnd::Failed { engine_died: true },
    });
    span.set_outcome(if end == ExecutionEnd::Answered { "done" } else { "failed" });
    let label = if end == ExecutionEnd::Answered { "done" } else { "failed" };
    state.metrics.attempts.with_label_values(&[label]).inc();
}

/// Runs a completion; continues a cut stream from the next token.
async fn complete(
    state: &EndpointState,
    start: &Start,
    span: &HopSpan,
    buffer: &ResponseBuffer,
) -> ExecutionEnd {
    buffer.set_head(200, String::new());
    let mut resumes = 0;
    loop {
        let error = match stream_tokens(state, start, span, buffer).await {
            Ok(()) => return ExecutionEnd::Answered,
            Err(error) => error,
        };
        let untouched = buffer.next_index() == start.work.first_piece() && resumes == 0;
        if error.is_not_sent() && untouched {
            return ExecutionEnd::NotStarted;
        }
        if state.engine.load(state.settings.timing.platform_reply_ms).await.is_err() {
            return ExecutionEnd::EngineDied;
        }
        if resumes == MAX_RESUMES {
            return ExecutionEnd::Failed;
        }
        resumes += 1;
        // The former stream may still be running when only its connection is gone.
        state.engine.cancel(start.attempt).await;
    }
}

async fn stream_tokens(
    state: &EndpointState,
    start: &Start,
    span: &HopSpan,
    buffer: &ResponseBuffer,
) -> Result<(), HttpError> {
    let Work::Model { model, version, prompt, max_tokens, .. } = &start.work else {
        return Ok(());
    };
    let completion = Completion {
        attempt: start.attempt,
        model: model.as_str(),
        version: version.as_str(),
        prompt,
        max_tokens: *max_tokens,
        priority: start.priority,
        resume_from_token: buffer.next_index(),
        traceparent: span.traceparent(),
    };
    let mut stream = state.engine.open(completion).await?;
    let address = state.backend_address;
    loop {
        match stream.next().await? {
            EngineEvent::Token(index, token) if index == buffer.next_index() => buffer.push(token),
            // A token that was received before the stream was cut.
            EngineEvent::Token(index, _) if index < buffer.next_index() => {}
            EngineEvent::Total(total) if total == buffer.next_index() => return Ok(()),
            EngineEvent::Token(..) | EngineEvent::Total(_) => {
                let reason = "tokens are missing".to_owned();
                return Err(HttpError::Protocol { address, reason });
            }
        }
    }
}

async fn call_service(
    state: &EndpointState,
    start: &Start,
    span: &HopSpan,
    buffer: &ResponseBuffer,
) -> ExecutionEnd {
    let Work::Service { method, path, content_type, body, .. } = &start.work else {
        return ExecutionEnd::NotStarted;
    };
    let left_ms = start.deadline.ms_since(state.clock.now());
    let call = ServiceCall {
        method,
        path,
        content_type,
        traceparent: span.traceparent(),
        body: body.clone(),
    };
    let call = state.service.call(call, left_ms);
    match call.await {
        Ok(reply) => {
            buffer.set_head(reply.status, reply.content_type);
            buffer.push(reply.body);
            ExecutionEnd::Answered
        }
        Err(error) if error.is_not_sent() => ExecutionEnd::NotStarted,
        Err(_) if !state.service.is_up(state.settings.timing.connect_ms).await => {
            ExecutionEnd::EngineDied
        }
        Err(_) => ExecutionEnd::Failed,
    }
}
