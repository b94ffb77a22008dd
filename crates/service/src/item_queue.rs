//! Items of one job in the scheduler: those that wait, and what is kept of their earlier runs.

use std::collections::HashMap;
use std::collections::VecDeque;

use crate::closed_texts::ClosedTexts;
use crate::length_model::LengthQuery;
use crate::order::ItemRank;
use crate::order::latest_start;
use crate::order::start_order;
use crate::work::JobConstraints;
use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;

/// Items of a job, all by their index in the submission.
#[derive(Debug)]
pub(crate) struct ItemQueue {
    pub(crate) constraints: JobConstraints,
    /// Group of each item.
    pub(crate) groups: Vec<u32>,
    /// Number of tokens that each item is expected to need, and at most may.
    tokens: Vec<(u64, Option<u64>)>,
    /// Items that wait for an engine, in the order in which they should start.
    pub(crate) waiting: VecDeque<u32>,
    /// Texts from which the next runs of items resume, including those of items that run: a run may
    /// end without having reached its engine.
    pub(crate) partials: HashMap<u32, PartialText>,
    /// Ends of items' streams by a close alone.
    pub(crate) closed: ClosedTexts,
    /// Number of failures of each item, as engines reported them.
    pub(crate) failures: HashMap<u32, u32>,
    /// ID of the engine that last got an item of each group.
    pub(crate) group_engine: HashMap<u32, String>,
    /// Engines to which items move.
    pub(crate) planned: HashMap<u32, PlannedMove>,
    /// IDs of the engines that items were moved off, by item.
    pub(crate) left_engines: HashMap<u32, Vec<String>>,
}

/// Engine at which the next run of an item resumes.
#[derive(Debug)]
pub(crate) struct PlannedMove {
    pub(crate) engine: String,
    /// Time until which a slot is kept free.
    pub(crate) until: ClockTime,
}

impl ItemQueue {
    /// Creates the queue of a job. `open` holds the items that still have to run.
    pub(crate) fn new(
        constraints: JobConstraints,
        groups: Vec<u32>,
        mut open: Vec<ItemRank>,
    ) -> Self {
        let mut tokens = vec![(0, None); groups.len()];
        for rank in &mut open {
            // A hint without bound would let the item's job pass for one that is late.
            let limit = rank.max_tokens.filter(|it| *it > 0).unwrap_or(u64::MAX);
            rank.expected_tokens = rank.expected_tokens.min(limit);
            tokens[rank.item as usize] = (rank.expected_tokens, rank.max_tokens);
        }
        Self {
            constraints,
            groups,
            tokens,
            waiting: start_order(open).into(),
            partials: HashMap::new(),
            closed: ClosedTexts::default(),
            failures: HashMap::new(),
            group_engine: HashMap::new(),
            planned: HashMap::new(),
            left_engines: HashMap::new(),
        }
    }

    /// Returns the latest start time of the first waiting item.
    pub(crate) fn next_start(&self) -> Option<ClockTime> {
        let item = *self.waiting.front()?;
        let (expected, _) = self.tokens[item as usize];
        Some(latest_start(self.constraints.due, expected))
    }

    /// Returns what is known of the length of an item with a number of events so far.
    pub(crate) fn length_query(&self, item: u32, events: u32) -> LengthQuery {
        let (expected_tokens, max_tokens) = self.tokens[item as usize];
        LengthQuery {
            expected_tokens,
            max_tokens,
            events,
        }
    }

    /// Returns the IDs of the engines that an item was moved off.
    pub(crate) fn left_engines(&self, item: u32) -> &[String] {
        self.left_engines.get(&item).map_or(&[], Vec::as_slice)
    }
}
