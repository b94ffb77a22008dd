//! Runs samples: generate, score, hold on two instances, record.

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

/// Tokens of a sample at most.
const SAMPLE_TOKENS: u32 = 256;

/// Priority of rollouts at the engines; lookups have zero.
const ROLLOUT_PRIORITY: u32 = 10;

/// Pause before a failed sample is run again.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// An attempt that takes longer than this many times the usual is a straggler.
const STRAGGLER_FACTOR: u64 = 4;

/// Shortest time after which an attempt counts as a straggler, in milliseconds.
const STRAGGLER_FLOOR_MS: u64 = 300;

/// Times that a command is tried again after its answer was lost.
const SUBMIT_TRIES: u32 = 5;

/// What it takes to run samples.
pub struct RolloutRunner {
    run: RunId,
    shared: Arc<TrafficShared>,
    handle: ControlHandle,
    samples: Arc<SampleStore>,
    client: reqwest::Client,
    next_attempt: AtomicU64,
    /// Usual duration of an attempt, as a moving mean in milliseconds.
    usual_ms: AtomicU64,
}

/// A finished generation.
struct FinishedText {
    text: String,
    spans: Vec<SpanBody>,
}

#[derive(Debug, Deserialize)]
struct ScoreBody {
    score: f64,
}

impl RolloutRunner {
    /// Creates a runner.
    pub fn new(
        run: RunId,
        shared: Arc<TrafficShared>,
        handle: ControlHandle,
        samples: Arc<SampleStore>,
        client: reqwest::Client,
    ) -> Arc<Self> {
        Arc::new(Self {
            run,
            shared,
            handle,
            samples,
            client,
            next_attempt: AtomicU64::new(1),
            usual_ms: AtomicU64::new(0),
        })
    }

    /// Runs jobs until the control thread ends.
    pub async fn run(self: Arc<Self>, mut jobs: mpsc::UnboundedReceiver<RolloutJob>) {
        while let Some(job) = jobs.recv().await {
            let runner = Arc::clone(&self);
            tokio::spawn(async move {
                let result = runner.run_job(&job).await;
                let word = if result.is_some() { "kept" } else { "failed" };
                let attempts = &runner.shared.metrics.attempts;
                attempts.with_label_values(&[word]).inc();
                if result.is_none() {
                    sleep(FAILURE_PAUSE).await;
                }
                runner.handle.send(ControlInput::JobEnded(job));
            });
        }
    }

    /// Runs a sample; returns `None` if no attempt was recorded.
    async fn run_job(&self, job: &RolloutJob) -> Option<()> {
        let view = self.shared.view();
        let row = view.routes().trainer(&job.trainer)?.clone();
        let (key, _) = view.routes().service(&row.service)?;
        let gate = Arc::clone(&view.pools.get(key)?.gate);
        drop(view);
        gate.begin_rollout();
        let finished = self.generate_hedged(job, &row, &gate).await;
        gate.end_rollout();
        let finished = finished?;
        let score = match &row.scorer {
            Some(scorer) => Some(self.score(scorer, &row, job, &finished.text).await?),
            None => None,
        };
        self.record(job, &row, finished, score).await
    }

    /// Generates a sample; a straggler gets a second attempt elsewhere, and the first one
    /// to finish is kept.
    async fn generate_hedged(
        &self,
        job: &RolloutJob,
        row: &TrainerRow,
        gate: &Arc<ServiceGate>,
    ) -> Option<FinishedText> {
        let started = now();
        let usual = self.usual_ms.load(Ordering::Relaxed);
        let first = self.generate(job, row, gate, 0);
        tokio::pin!(first);
        let patience = match usual {
            0 => None,
            _ => Some((usual * STRAGGLER_FACTOR).max(STRAGGLER_FLOOR_MS)),
        };
        let finished = match patience {
            None => first.await,
            Some(patience) => tokio::select! {
                finished = &mut first => finished,
                () = sleep(Duration::from_millis(patience)) => {
                    self.shared.metrics.retries.inc();
                    let second = self.generate(job, row, gate, 1);
                    tokio::pin!(second);
                    // A failed attempt leaves the other one in the race.
                    tokio::select! {
                        finished = &mut first => match finished {
                            Some(finished) => Some(finished),
                            None => second.await,
                        },
                        finished = &mut second => match finished {
                            Some(finished) => Some(finished),
                            None => first.await,
                        },
                    }
                }
            },
        };
        if finished.is_some() {
            let took = now().since(started).max(1);
            let mean = if usual == 0 {
                took
            } else {
                (usual * 7 + took) / 8
            };
            self.usual_ms.store(mean, Ordering::Relaxed);
        }
        finished
    }

    async fn generate(
        &self,
        job: &RolloutJob,
        row: &TrainerRow,
        gate: &Arc<ServiceGate>,
        attempt: u64,
    ) -> Option<FinishedText> {
        let view = self.shared.view();
        let (_, service) = view.routes().service(&row.service)?;
        let (_, customer) = view.routes().customer_by_id(&row.customer)?;
        let weight = customer.row.weight;
        let deadline = now() + service.deadline_ms;
        drop(view);
        let prompt = String::from_utf8_lossy(&job.prompt).into_owned();
        let body = GenerationBody {
            messages: json!([{ "role": "user", "content": prompt }]),
            max_tokens: SAMPLE_TOKENS,
            stream: true,
            seed: Some(u64::from(job.sample.place) + 1),
            priority: ROLLOUT_PRIORITY,
            resume: Vec::new(),
        };
        let request = GateRequest {
            service: row.service.as_str().into(),
            rank: RequestRank::Rollout,
            customer: customer_number(&row.customer),
            weight,
            deadline,
            choice: ChoiceRequest {
                prefer_reclaimable: true,
                least_version: job.least_version,
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
        let mut finished = FinishedText {
            text: String::new(),
            spans: Vec::new(),
        };
        loop {
            match generation.step().await {
                Ok(GenerationStep::Token(event)) => {
                    finished.text.push_str(&event.text);
                    extend_spans(&mut finished.spans, &event);
                }
                Ok(GenerationStep::Finished(_)) => break,
                Err(error) => {
                    if attempt == 0 {
                        spdlog::debug!("rollout: Attempt at {:?} failed: {error:?}.", job.sample);
                    }
                    return None;
                }
            }
        }
        // A sample without a version is no sample.
        (!finished.spans.is_empty()).then_some(finished)
    }

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
            customer: customer_number(&row.customer),
            weight: 1,
            deadline: now() + service.deadline_ms,
            choice: ChoiceRequest {
                spread: rand::random(),
                ..ChoiceRequest::default()
            },
        };
        drop(view);
        let slot = gate.enter(&self.shared, request).await.ok()?;
        let url = format!("http://{}/v1/score", slot.target.address);
        let body = json!({ "group": job.sample.group, "place": job.sample.place, "text": text });
        let sent = self
            .client
            .post(url)
            .timeout(limit)
            .json(&body)
            .send()
            .await;
        let scored = match sent {
            Ok(response) if response.status().is_success() => response.json::<ScoreBody>().await,
            Ok(response) => response
                .error_for_status()
                .map(|_| ScoreBody { score: 0.0 }),
            Err(error) => Err(error),
        };
        slot.report(scored.is_ok());
        scored.ok().map(|it| it.score)
    }

    /// Holds the sample on two instances, then records the attempt.
    async fn record(
        &self,
        job: &RolloutJob,
        row: &TrainerRow,
        finished: FinishedText,
        score: Option<f64>,
    ) -> Option<()> {
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        let oldest_version = finished.spans.iter().map(|it| it.weight_version).min()?;
        let tokens = finished.spans.last().map_or(0, |it| it.to);
        let body = SampleBody {
            group: job.sample.group.clone(),
            place: job.sample.place,
            text: finished.text,
            spans: finished.spans,
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
        let holders = self.copy_elsewhere(job, &sample).await?;
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
            self.waive(row);
        }
        kept.then_some(())
    }

    /// Counts an attempt that is of no use.
    fn waive(&self, row: &TrainerRow) {
        let view = self.shared.view();
        let customer = view.routes().customer_by_id(&row.customer);
        let service = view.routes().service(&row.service);
        let (Some((customer, _)), Some((service, _))) = (customer, service) else {
            return;
        };
        if let Some(cell) = view.config.usage_counter(customer, service) {
            cell.waive();
        }
    }

    /// Copies a sample to another instance; an instance that is alone holds the only copy.
    async fn copy_elsewhere(&self, job: &RolloutJob, sample: &StoredSample) -> Option<Vec<RunId>> {
        let others: Vec<RunId> = job
            .holders
            .iter()
            .copied()
            .filter(|it| *it != self.run)
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

    async fn submit_attempt(&self, job: &RolloutJob, record: AttemptRecord) -> bool {
        let command = ControlCommand::Rollout {
            trainer: job.trainer.clone(),
            command: RolloutCommand::Finish {
                sample: job.sample.clone(),
                record,
            },
        };
        for _ in 0..SUBMIT_TRIES {
            match self.handle.submit(command.clone()).await {
                Ok(ControlOutcome::Rollout { outcome }) => {
                    return outcome == (RolloutOutcome::Kept {});
                }
                Ok(_) => return false,
                Err(SubmitFailure::NotTaken | SubmitFailure::Unknown) => {
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
        false
    }
}

/// Returns the number that stands for a customer in fair queues.
pub fn customer_number(customer: &str) -> u32 {
    let hash = blake3::hash(customer.as_bytes());
    let mut number = [0; 4];
    number.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_le_bytes(number)
}
