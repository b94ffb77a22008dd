//! An entry's questions for slots of one target, and what a late answer still grants.

use std::collections::VecDeque;

/// Questions remembered; an answer to an older one grants nothing.
const QUESTIONS_KEPT: usize = 64;

/// Questions whose answers may still come.
#[derive(Debug, Clone, Default)]
pub struct GrantTracker {
    questions: VecDeque<(u64, u32)>,
}

impl GrantTracker {
    /// Takes note of a question for `want` slots.
    pub fn ask(&mut self, sequence: u64, want: u32) {
        self.questions.push_back((sequence, want));
        if self.questions.len() > QUESTIONS_KEPT {
            self.questions.pop_front();
        }
    }

    /// Returns how many of `count` slots, granted in answer to a question, are granted
    /// still.
    ///
    /// Later questions may have returned some: the ledger counts no more than the least
    /// that any of them wanted.
    pub fn answer(&mut self, sequence: u64, count: u32) -> u32 {
        let known = self.questions.iter().any(|(asked, _)| *asked == sequence);
        if !known {
            return 0;
        }
        self.questions.retain(|(asked, _)| *asked >= sequence);
        let later = self.questions.iter().filter(|(asked, _)| *asked > sequence);
        later.map(|(_, want)| *want).fold(count, u32::min)
    }
}
