//! The commits that this instance acknowledged last, to count those that a promotion undoes.

use std::collections::VecDeque;

use gullspar_model::LogPoint;

/// Number of commits remembered. A promotion undoes commits of less than a second.
const MAX_COMMITS: usize = 256;

/// The newest acknowledged commits of one group.
#[derive(Debug, Default)]
pub(crate) struct AcknowledgedCommits {
    points: VecDeque<LogPoint>,
    /// The newest of all, also once it is forgotten in `points`.
    newest: Option<LogPoint>,
}

impl AcknowledgedCommits {
    pub(crate) fn record(&mut self, point: LogPoint) {
        if self.points.len() == MAX_COMMITS {
            self.points.pop_front();
        }
        self.points.push_back(point);
        self.newest = self.newest.max(Some(point));
    }

    /// The newest commit that was acknowledged.
    pub(crate) fn newest(&self) -> Option<LogPoint> {
        self.newest
    }

    /// Removes all commits, and returns the number of those that a new leader lacks whose log ends at `end`.
    ///
    /// Until its first commit, a new leader reports the end of its log in the old term. After it, the position at which
    /// the new term began is unknown, and no commit counts as undone.
    pub(crate) fn take_undone(&mut self, end: LogPoint) -> usize {
        let points = std::mem::take(&mut self.points);
        points.iter().filter(|it| it.term == end.term && **it > end).count()
    }
}
