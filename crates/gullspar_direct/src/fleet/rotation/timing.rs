//! Intervals, timeouts and limits of the decision on rotation.

use std::time::Duration;

/// Time between two reports while there is no verdict. It bounds the search for a coordinator that can be reached.
pub const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reports while there is a verdict; a verdict outlives three of them.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// How long a verdict is valid after the report that it answers was sent.
pub const VERDICT_TTL: Duration = Duration::from_secs(1);

/// How long a coordinator uses a report.
pub const REPORT_TTL: Duration = Duration::from_secs(1);

/// How long a coordinator waits for the reports that it has asked for. All instances that it reaches answer within
/// milliseconds, unless a message is lost or their machine is busy.
pub const COLLECT_PERIOD: Duration = Duration::from_millis(150);

/// How long an instance waits for a verdict before it decides alone. Isolation is detected after 0.7 s, and callers are
/// to be sent elsewhere 1.2 s after the partition.
pub const DECIDE_ALONE_AFTER: Duration = Duration::from_millis(400);

/// How much longer an instance waits if a coordinator answers that it has not decided yet. It does so within the
/// collection and a check.
pub const UNDECIDED_EXTENSION: Duration = Duration::from_millis(200);

/// How long a coordinator that has never answered may take to answer. A round trip in a data centre takes a few
/// milliseconds.
pub const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// How long a coordinator that has answered before may stay silent; one lost report is tolerated.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a coordinator that did not answer is passed over.
pub const AVOIDANCE_PERIOD: Duration = Duration::from_secs(2);

/// Time between two requests to an instance that has not reported, before the first decision.
pub const COLLECT_PROMPT_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two requests to an instance that has not reported, after the first decision.
pub const PROMPT_INTERVAL: Duration = Duration::from_millis(300);

/// How long the condition to return to rotation must hold. The load balancer asks once a second, so that a shorter change
/// would move callers twice.
pub const RETURN_AFTER: Duration = Duration::from_secs(1);

/// Number of coordinators that an instance reports to: the first, and a spare one.
pub const COORDINATORS: usize = 2;

/// Maximum number of uses in a report, the most frequent ones. Reports must fit a datagram, and an instance may have
/// callers of thousands of groups.
pub const MAX_USES: usize = 64;

/// Maximum number of an instance's groups in a report.
pub const MAX_STATUSES: usize = 128;

/// Maximum number of groups that a verdict lists as not servable; with more, it lists none.
pub const MAX_LISTED_GROUPS: usize = 16;
