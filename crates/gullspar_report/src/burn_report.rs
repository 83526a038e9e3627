//! Burn rates over several windows.

use gullspar_border::{BurnSeries, MinuteCount, TargetFailureCount};
use gullspar_model::record;

record! {
    /// A window of minutes, the present one included.
    #[derive(Copy)]
    pub struct BurnWindow {
        pub minutes: u32,
        pub requests: u64,
        pub bad: u64,
        /// Hundredths of the burn rate: at 100 the budget lasts exactly its period.
        pub burn_hundredths: u64,
    }
}

record! {
    /// How soon somebody must look.
    #[derive(Copy, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Urgency {
        /// Now: a month's budget would be gone in about two days.
        Page,
        /// This day: it would be gone in about five days.
        Ticket,
        None,
    }
}

record! {
    /// One service and class.
    pub struct BurnRow {
        pub service: String,
        pub class: String,
        pub objective_ppm: u64,
        pub urgency: Urgency,
        pub windows: Vec<BurnWindow>,
        /// What failed requests were last tried at, the most frequent first.
        pub blames: Vec<TargetFailureCount>,
        pub minutes: Vec<MinuteCount>,
    }
}

record! {
    /// All services and classes, the most urgent first.
    pub struct BurnReport {
        pub rows: Vec<BurnRow>,
    }
}

/// Windows of the report, in minutes. A rate must be exceeded over a short and a long window at once: the
/// long one keeps a moment's trouble from waking anybody, the short one ends the alarm soon after.
const WINDOWS: [u32; 4] = [5, 30, 60, 360];

/// Rate over 5 minutes and an hour at which somebody is called.
const PAGE_HUNDREDTHS: u64 = 1440;

/// Rate over 30 minutes and six hours at which somebody must look.
const TICKET_HUNDREDTHS: u64 = 600;

/// Blames that are shown.
const BLAMES: usize = 5;

impl BurnReport {
    /// Makes the report of all series.
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
    let windows: Vec<BurnWindow> = WINDOWS.iter().map(|it| window(series, *it)).collect();
    let rate = |minutes: u32| {
        windows.iter().find(|it| it.minutes == minutes).map_or(0, |it| it.burn_hundredths)
    };
    let urgency = if rate(5).min(rate(60)) >= PAGE_HUNDREDTHS {
        Urgency::Page
    } else if rate(30).min(rate(360)) >= TICKET_HUNDREDTHS {
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
        blames: series.blames.iter().take(BLAMES).cloned().collect(),
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
