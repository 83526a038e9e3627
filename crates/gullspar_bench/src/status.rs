//! Status reports of the instances of a lab.

use gullspar_border::OutcomeCount;
use gullspar_lab::Lab;
use gullspar_operator::Status;

/// Requests the status of all instances from the first instance of the lab.
pub fn status(lab: &Lab) -> Option<Status> {
    let address = lab.instances.first()?.addresses.operator;
    let read = async move {
        let client = cyper::Client::new().ok()?;
        let response = client.get(format!("http://{address}/v1/status")).ok()?.send().await.ok()?;
        serde_json::from_str(&response.text().await.ok()?).ok()
    };
    compio::runtime::Runtime::new().ok()?.block_on(read)
}

/// The sum of the outcome counts of all instances for `class`.
pub fn class_counts(status: &Status, class: &str) -> OutcomeCount {
    let reports = status.instances.iter().filter_map(|it| it.report.as_ref());
    let all = reports.flat_map(|it| &it.outcomes).filter(|it| it.class == class);
    all.cloned()
        .reduce(|mut sum, it| {
            sum.done += it.done;
            sum.late += it.late;
            sum.not_run += it.not_run;
            sum.unknown += it.unknown;
            sum.replica_reads += it.replica_reads;
            sum.primary_reads += it.primary_reads;
            sum.writes += it.writes;
            sum
        })
        .unwrap_or_else(|| OutcomeCount::empty("", class))
}
