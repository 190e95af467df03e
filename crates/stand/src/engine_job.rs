//! Execution of one request in the fake engine: waits for a slot, prefills the prompt, decodes tokens.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{mpsc, oneshot};

use crate::engine_chat::{ChatRequest, answer_token};
use crate::engine_shared::EngineShared;

/// Maximum delay that later tokens make up for; after a longer delay, all later tokens are delayed too.
const MAX_CATCH_UP: Duration = Duration::from_millis(20);

/// An item of a job's output.
pub(crate) enum JobItem {
    /// A token.
    Token { text: String, is_last: bool },
    /// The end of the answer, with the token counts for the usage report.
    End {
        prompt_tokens: usize,
        cached_tokens: usize,
    },
}

/// The output channel of a job; a job that ends early closes it without [`JobItem::End`].
pub(crate) type JobSender = mpsc::Sender<JobItem>;

/// A request to execute.
pub(crate) struct Job {
    pub(crate) request: ChatRequest,
    pub(crate) attempt: String,
    pub(crate) priority: usize,
}

/// Adds the time in a slot to the totals on drop, so that a cancelled job counts too.
struct SlotTimer {
    shared: Arc<EngineShared>,
    since: Instant,
}

impl Drop for SlotTimer {
    fn drop(&mut self) {
        let slot_ms = self.since.elapsed().as_secs_f64() * 1_000.0;
        self.shared.totals.lock().slot_ms += slot_ms;
    }
}

/// Runs a job until it ends, is cancelled, or its client disconnects.
pub(crate) async fn run_job(shared: Arc<EngineShared>, job: Job, items: JobSender) {
    let (cancel, cancelled) = oneshot::channel::<()>();
    let attempt = job.attempt.clone();
    shared.cancels.lock().insert(attempt.clone(), cancel);
    shared.sample_load();
    let finished = tokio::select! {
        finished = execute(&shared, job, &items) => finished,
        () = items.closed() => false,
        // A later request with the same attempt id drops the sender, which is not a cancellation.
        Ok(()) = cancelled => false,
    };
    if !finished {
        shared.totals.lock().cut_short += 1;
    }
    remove_cancel(&shared, &attempt);
    shared.sample_load();
}

/// Removes the cancel sender of an ended job, but not that of a later job with the same attempt id.
fn remove_cancel(shared: &EngineShared, attempt: &str) {
    let mut cancels = shared.cancels.lock();
    if cancels.get(attempt).is_some_and(oneshot::Sender::is_closed) {
        cancels.remove(attempt);
    }
}

async fn execute(shared: &Arc<EngineShared>, job: Job, items: &JobSender) -> bool {
    let _slot = shared.slots.acquire(job.priority).await;
    let _timer = SlotTimer {
        shared: shared.clone(),
        since: Instant::now(),
    };
    shared.sample_load();
    let prompt = job.request.prompt();
    let (prompt_tokens, cached_tokens) = prefill(shared, &job.request, &prompt).await;
    if !decode(shared, &job.request, &prompt, items).await {
        return false;
    }
    let end = JobItem::End {
        prompt_tokens,
        cached_tokens,
    };
    items.send(end).await.is_ok()
}

async fn prefill(shared: &EngineShared, request: &ChatRequest, prompt: &str) -> (usize, usize) {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let cached = shared.cache.lock().admit(&words, Instant::now());
    // A resumed stream prefills the tokens that were already sent.
    let to_process = words.len() - cached + request.resume_from;
    {
        let mut totals = shared.totals.lock();
        totals.started += 1;
        totals.cached_tokens += cached as u64;
        totals.prefilled_tokens += to_process as u64;
    }
    tokio::time::sleep(shared.prefill_time(to_process)).await;
    (words.len(), cached)
}

async fn decode(
    shared: &EngineShared,
    request: &ChatRequest,
    prompt: &str,
    items: &JobSender,
) -> bool {
    let abort_after = shared.consume_abort();
    let mut due = tokio::time::Instant::now();
    for index in request.resume_from..request.max_tokens {
        if abort_after.is_some_and(|tokens| index >= request.resume_from + tokens) {
            return false;
        }
        shared.wait_while_paused().await;
        let (_, running) = shared.slots.counts();
        // Compensates for timer granularity, but not for a pause.
        due = due.max(tokio::time::Instant::now() - MAX_CATCH_UP);
        due += shared.token_time(running);
        tokio::time::sleep_until(due).await;
        let item = JobItem::Token {
            text: answer_token(prompt, index),
            is_last: index + 1 == request.max_tokens,
        };
        shared.totals.lock().decoded_tokens += 1;
        if items.send(item).await.is_err() {
            return false;
        }
    }
    true
}
