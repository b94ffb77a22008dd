//! Runs rollout jobs: generates a sample, has it scored, stores copies of it on two instances
//! and records the attempt in the replicated log.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde_bytes::ByteBuf;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::clock::now;
use crate::control::ControlHandle;
use crate::control::ControlInput;
use crate::control::RolloutJob;
use crate::engine::Generation;
use crate::engine::GenerationBody;
use crate::engine::GenerationStep;
use crate::engine::extend_spans;
use crate::gate::GateRequest;
use crate::gate::ServiceGate;
use crate::samples::SampleStore;
use crate::shared::TrafficShared;
use crate::target_client::TargetClient;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::control::AttemptId;
use bergamotlane_policy::control::AttemptRecord;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::ControlOutcome;
use bergamotlane_policy::control::RolloutCommand;
use bergamotlane_policy::control::RolloutOutcome;
use bergamotlane_policy::fair::RequestRank;
use bergamotlane_policy::plan::TrainerRow;
use bergamotlane_policy::targets::ChoiceRequest;
use bergamotlane_wire::AttemptIdWire;
use bergamotlane_wire::http::SampleBody;
use bergamotlane_wire::http::SpanBody;
use bergamotlane_wire::peer::StoredSample;
use bergamotlane_wire::peer::SubmitFailure;

/// Maximum number of tokens of a sample.
const MAX_SAMPLE_TOKENS: u32 = 256;

/// Priority of rollouts at the engines; lookups have priority zero.
const ROLLOUT_PRIORITY: u32 = 10;

/// Delay before a failed sample or command is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Multiple of the mean duration after which a generation counts as a straggler.
const STRAGGLER_FACTOR: u64 = 4;

/// Minimum time after which a generation counts as a straggler, in milliseconds.
const MIN_STRAGGLER_MS: u64 = 300;

/// Maximum number of times that a command is submitted if it is not committed or its outcome
/// is lost; submitting it again is idempotent.
const MAX_SUBMISSIONS: u32 = 5;

/// Runs the rollout jobs that the control thread dispatches to this instance.
pub struct RolloutRunner {
    run: RunId,
    shared: Arc<TrafficShared>,
    handle: ControlHandle,
    samples: Arc<SampleStore>,
    client: TargetClient,
    next_attempt: AtomicU64,
    /// Exponential moving average of the duration of a generation, in milliseconds; zero until
    /// the first one has succeeded.
    mean_ms: AtomicU64,
}

/// A complete generated text, with the weight version that generated each span of it.
struct GeneratedText {
    text: String,
    spans: Vec<SpanBody>,
}

/// Answer of a scorer.
#[derive(Debug, Deserialize)]
struct ScoreBody {
    score: f64,
}

impl RolloutRunner {
    /// Creates a runner for the process run `run`; [`Self::run`] starts it.
    pub fn new(
        run: RunId,
        shared: Arc<TrafficShared>,
        handle: ControlHandle,
        samples: Arc<SampleStore>,
        client: TargetClient,
    ) -> Arc<Self> {
        Arc::new(Self {
            run,
            shared,
            handle,
            samples,
            client,
            next_attempt: AtomicU64::new(1),
            mean_ms: AtomicU64::new(0),
        })
    }

    /// Runs jobs concurrently until the control thread closes the queue.
    pub async fn run(self: Arc<Self>, mut jobs: mpsc::UnboundedReceiver<RolloutJob>) {
        while let Some(job) = jobs.recv().await {
            let runner = Arc::clone(&self);
            tokio::spawn(async move {
                let result = runner.run_job(&job).await;
                let label = if result.is_some() { "kept" } else { "failed" };
                let attempts = &runner.shared.metrics.attempts;
                attempts.with_label_values(&[label]).inc();
                if result.is_none() {
                    sleep(RETRY_DELAY).await;
                }
                runner.handle.send(ControlInput::JobEnded(job));
            });
        }
    }

    /// Runs a job; returns `None` if no attempt was recorded.
    async fn run_job(&self, job: &RolloutJob) -> Option<()> {
        let view = self.shared.view();
        let row = view.routes().trainer(&job.trainer)?.clone();
        let (key, _) = view.routes().service(&row.service)?;
        let gate = Arc::clone(&view.pools.get(key)?.gate);
        drop(view);
        gate.begin_rollout();
        let generated = self.generate_hedged(job, &row, &gate).await;
        gate.end_rollout();
        let generated = generated?;
        let score = match &row.scorer {
            Some(scorer) => Some(self.score(scorer, &row, job, &generated.text).await?),
            None => None,
        };
        self.record(job, &row, generated, score).await
    }

    /// Generates a sample with a hedge against stragglers.
    ///
    /// A generation that takes too long is started a second time, and the first one to
    /// succeed is kept.
    async fn generate_hedged(
        &self,
        job: &RolloutJob,
        row: &TrainerRow,
        gate: &Arc<ServiceGate>,
    ) -> Option<GeneratedText> {
        let started = now();
        let mean_ms = self.mean_ms.load(Ordering::Relaxed);
        let first = self.generate(job, row, gate, 0);
        tokio::pin!(first);
        let hedge_after_ms = match mean_ms {
            0 => None,
            _ => Some((mean_ms * STRAGGLER_FACTOR).max(MIN_STRAGGLER_MS)),
        };
        let generated = match hedge_after_ms {
            None => first.await,
            Some(hedge_after_ms) => tokio::select! {
                generated = &mut first => generated,
                () = sleep(Duration::from_millis(hedge_after_ms)) => {
                    self.shared.metrics.retries.inc();
                    let second = self.generate(job, row, gate, 1);
                    tokio::pin!(second);
                    // If one generation fails, the result of the other one counts.
                    tokio::select! {
                        generated = &mut first => match generated {
                            Some(generated) => Some(generated),
                            None => second.await,
                        },
                        generated = &mut second => match generated {
                            Some(generated) => Some(generated),
                            None => first.await,
                        },
                    }
                }
            },
        };
        if generated.is_some() {
            let elapsed_ms = now().since(started).max(1);
            let new_mean_ms = if mean_ms == 0 {
                elapsed_ms
            } else {
                (mean_ms * 7 + elapsed_ms) / 8
            };
            self.mean_ms.store(new_mean_ms, Ordering::Relaxed);
        }
        generated
    }

    /// Generates a sample once; `attempt` is zero for the first generation and one for the
    /// hedge.
    async fn generate(
        &self,
        job: &RolloutJob,
        row: &TrainerRow,
        gate: &Arc<ServiceGate>,
        attempt: u64,
    ) -> Option<GeneratedText> {
        let view = self.shared.view();
        let (_, service) = view.routes().service(&row.service)?;
        let (_, customer) = view.routes().customer_by_id(&row.customer)?;
        let weight = customer.row.weight;
        let deadline = now() + service.deadline_ms;
        drop(view);
        let prompt = String::from_utf8_lossy(&job.prompt).into_owned();
        let body = GenerationBody {
            messages: json!([{ "role": "user", "content": prompt }]),
            max_tokens: MAX_SAMPLE_TOKENS,
            stream: true,
            seed: Some(u64::from(job.sample.place) + 1),
            priority: ROLLOUT_PRIORITY,
            resume: Vec::new(),
        };
        let request = GateRequest {
            service: row.service.as_str().into(),
            rank: RequestRank::Rollout,
            customer: customer_hash(&row.customer),
            weight,
            deadline,
            choice: ChoiceRequest {
                prefer_reclaimable: true,
                least_version: job.min_version,
                ..ChoiceRequest::default()
            },
        };
        let mut generation = Generation::new(
            Arc::clone(&self.shared),
            Arc::clone(gate),
            self.client.clone(),
            request,
            body,
            deadline,
        );
        let mut generated = GeneratedText {
            text: String::new(),
            spans: Vec::new(),
        };
        loop {
            match generation.step().await {
                Ok(GenerationStep::Token(event)) => {
                    generated.text.push_str(&event.text);
                    extend_spans(&mut generated.spans, &event);
                }
                Ok(GenerationStep::Finished(_)) => break,
                Err(error) => {
                    if attempt == 0 {
                        spdlog::debug!("rollout: generation of {:?} failed: {error:?}", job.sample);
                    }
                    return None;
                }
            }
        }
        // Without spans, the weight version of the sample is unknown, so it can't be recorded.
        (!generated.spans.is_empty()).then_some(generated)
    }

    /// Has a sample scored by the service `scorer`; returns `None` if that fails.
    async fn score(
        &self,
        scorer: &str,
        row: &TrainerRow,
        job: &RolloutJob,
        text: &str,
    ) -> Option<f64> {
        let view = self.shared.view();
        let (key, service) = view.routes().service(scorer)?;
        let gate = Arc::clone(&view.pools.get(key)?.gate);
        let limit = Duration::from_millis(service.deadline_ms);
        let request = GateRequest {
            service: scorer.into(),
            rank: RequestRank::Rollout,
            customer: customer_hash(&row.customer),
            weight: 1,
            deadline: now() + service.deadline_ms,
            choice: ChoiceRequest {
                spread: rand::random(),
                ..ChoiceRequest::default()
            },
        };
        drop(view);
        let slot = gate.enter(&self.shared, request).await.ok()?;
        let address = &*slot.target.address;
        let url = format!("http://{address}/v1/score");
        let body = json!({ "group": job.sample.group, "place": job.sample.place, "text": text });
        let sent = self
            .client
            .of(address)
            .post(url)
            .timeout(limit)
            .json(&body)
            .send()
            .await;
        let answer = sent.ok();
        let answer = answer.and_then(|it| self.client.check_head(address, it).ok());
        let scored = match answer.filter(|it| it.status().is_success()) {
            Some(response) => response.json::<ScoreBody>().await.ok(),
            None => None,
        };
        slot.report(scored.is_some());
        scored.map(|body| body.score)
    }

    /// Stores the sample on two instances, and then records the attempt.
    ///
    /// Returns `None` if a copy could not be stored or the attempt was not kept.
    async fn record(
        &self,
        job: &RolloutJob,
        row: &TrainerRow,
        generated: GeneratedText,
        score: Option<f64>,
    ) -> Option<()> {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let oldest_version = generated
            .spans
            .iter()
            .map(|span| span.weight_version)
            .min()?;
        let tokens = generated.spans.last().map_or(0, |span| span.to);
        let body = SampleBody {
            group: job.sample.group.clone(),
            place: job.sample.place,
            text: generated.text,
            spans: generated.spans,
            score,
        };
        let sample = StoredSample {
            trainer: job.trainer.clone(),
            group: job.sample.group.clone(),
            place: job.sample.place,
            attempt: AttemptIdWire {
                run: self.run.0,
                number,
            },
            body: ByteBuf::from(serde_json::to_vec(&body).ok()?),
        };
        self.samples.insert(sample.clone());
        let holders = self.replicate(job, &sample).await?;
        let record = AttemptRecord {
            attempt: AttemptId {
                run: self.run,
                number,
            },
            holders,
            oldest_version,
            tokens,
        };
        let kept = self.submit_attempt(job, record).await;
        if !kept {
            self.count_uncharged(row);
        }
        kept.then_some(())
    }

    /// Counts an attempt that was not kept as uncharged usage of the trainer's customer.
    fn count_uncharged(&self, row: &TrainerRow) {
        let view = self.shared.view();
        let customer = view.routes().customer_by_id(&row.customer);
        let service = view.routes().service(&row.service);
        let (Some((customer, _)), Some((service, _))) = (customer, service) else {
            return;
        };
        if let Some(usage) = view.config.usage_counter(customer, service) {
            usage.waive();
        }
    }

    /// Copies a sample to one other instance and returns the holders of both copies.
    ///
    /// Without another instance, this one holds the only copy. Returns `None` if no other
    /// instance confirmed its copy.
    async fn replicate(&self, job: &RolloutJob, sample: &StoredSample) -> Option<Vec<RunId>> {
        let others: Vec<RunId> = job
            .holders
            .iter()
            .copied()
            .filter(|run| *run != self.run)
            .collect();
        if others.is_empty() {
            return Some(vec![self.run]);
        }
        let first = (sample.attempt.number % others.len() as u64) as usize;
        for place in 0..others.len() {
            let other = others[(first + place) % others.len()];
            if self.samples.copy_to(other, sample.clone()).await {
                return Some(vec![self.run, other]);
            }
        }
        None
    }

    /// Records an attempt; returns whether it was kept. Submitting it again is idempotent.
    async fn submit_attempt(&self, job: &RolloutJob, record: AttemptRecord) -> bool {
        let command = ControlCommand::Rollout {
            trainer: job.trainer.clone(),
            command: RolloutCommand::Finish {
                sample: job.sample.clone(),
                record,
            },
        };
        for _ in 0..MAX_SUBMISSIONS {
            match self.handle.submit(command.clone()).await {
                Ok(ControlOutcome::Rollout { outcome }) => {
                    return outcome == (RolloutOutcome::Kept {});
                }
                Ok(_) => return false,
                Err(SubmitFailure::NotTaken | SubmitFailure::Unknown) => {
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        false
    }
}

/// Returns the hash that identifies a customer in fair queues.
pub fn customer_hash(customer: &str) -> u32 {
    let hash = blake3::hash(customer.as_bytes());
    let mut number = [0; 4];
    number.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(number)
}
