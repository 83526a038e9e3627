//! Computes burn rates over several windows of time.

use gullspar_border::{BurnSeries, MinuteCount, TargetFailureCount};
use gullspar_model::record;

record! {
    /// The requests of the last minutes, including the current one.
    #[derive(Copy)]
    pub struct BurnWindow {
        pub minutes: u32,
        pub requests: u64,
        pub bad: u64,
        /// The burn rate in hundredths. At 100, the error budget lasts exactly for its period.
        pub burn_hundredths: u64,
    }
}

record! {
    /// How soon an operator must respond.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Urgency {
        /// At once: the error budget of a month would be used up in about two days.
        Page,
        /// Within a day: it would be used up in about five days.
        Ticket,
        None,
    }
}

record! {
    /// The burn rates of one service and class.
    pub struct BurnRow {
        pub service: String,
        pub class: String,
        pub objective_ppm: u64,
        pub urgency: Urgency,
        pub windows: Vec<BurnWindow>,
        /// The targets that failed requests were last sent to, with the reason; the most frequent first.
        pub blames: Vec<TargetFailureCount>,
        /// The current minute first, then the preceding ones.
        pub minutes: Vec<MinuteCount>,
    }
}

record! {
    /// All services and classes, the most urgent first.
    pub struct BurnReport {
        pub rows: Vec<BurnRow>,
    }
}

/// Windows of the report, in minutes.
///
/// A threshold must be exceeded in a short and in a long window at once: the long window prevents an
/// alarm on a brief failure, and the short one ends the alarm soon after a recovery.
const WINDOW_MINUTES: [u32; 4] = [5, 30, 60, 360];

/// Burn rate over 5 minutes and over an hour from which an operator is paged, in hundredths.
const PAGE_THRESHOLD_HUNDREDTHS: u64 = 1440;

/// Burn rate over 30 minutes and over six hours from which a ticket is opened, in hundredths.
const TICKET_THRESHOLD_HUNDREDTHS: u64 = 600;

/// Maximum number of failing targets that are listed for each service and class.
const MAX_BLAMES: usize = 5;

impl BurnReport {
    /// Creates the report from the series of all services and classes.
    pub fn new(series: &[BurnSeries]) -> BurnReport {
        let mut rows: Vec<BurnRow> = series.iter().map(row).collect();
        rows.sort_by_key(|it| {
            let worst = it.windows.first().map_or(0, |it| it.burn_hundredths);
            (it.urgency, std::cmp::Reverse(worst), it.service.clone(), it.class.clone())
        });
        BurnReport { rows }
    }
}

fn row(series: &BurnSeries) -> BurnRow {
    let windows: Vec<BurnWindow> = WINDOW_MINUTES.iter().map(|it| window(series, *it)).collect();
    let rate = |minutes: u32| {
        windows.iter().find(|it| it.minutes == minutes).map_or(0, |it| it.burn_hundredths)
    };
    let urgency = if rate(5).min(rate(60)) >= PAGE_THRESHOLD_HUNDREDTHS {
        Urgency::Page
    } else if rate(30).min(rate(360)) >= TICKET_THRESHOLD_HUNDREDTHS {
        Urgency::Ticket
    } else {
        Urgency::None
    };
    BurnRow {
        service: series.service.clone(),
        class: series.class.clone(),
        objective_ppm: series.objective_ppm,
        urgency,
        windows,
        blames: series.blames.iter().take(MAX_BLAMES).cloned().collect(),
        minutes: series.minutes.clone(),
    }
}

fn window(series: &BurnSeries, minutes: u32) -> BurnWindow {
    let mut sum = MinuteCount::default();
    series.minutes.iter().take(minutes as usize).for_each(|it| sum.add(it));
    let allowed_ppm = 1_000_000_u64.saturating_sub(series.objective_ppm).max(1);
    let bad_ppm = (sum.bad() * 1_000_000).checked_div(sum.total()).unwrap_or(0);
    BurnWindow {
        minutes,
        requests: sum.total(),
        bad: sum.bad(),
        burn_hundredths: bad_ppm * 100 / allowed_ppm,
    }
}
