//! A stand-in for the platform's promotion call. It checks fences when an order is carried out.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::group::{Group, Promotion};
use crate::http::{Handler, Reply, Request};
use crate::json;
use crate::record::Record;

/// Time from an order until the member leads, as in the site file.
const PROMOTION_TIME: Duration = Duration::from_millis(300);

/// The orders for one group.
pub struct Promotions {
    pub group: Arc<Group>,
    pub record: Arc<Record>,
    /// The highest fencing token of an order that was carried out.
    highest: Mutex<u64>,
    /// Whether the next order is left unanswered and carried out late.
    pub hold_next: AtomicBool,
    /// How late.
    pub hold_for: Duration,
    pub orders: AtomicU64,
    pub held: AtomicU64,
    pub late_done: AtomicU64,
    /// Rounds in which an order was to be left unanswered.
    pub late_rounds: AtomicU64,
    /// The promotions that took effect.
    pub done: Mutex<Vec<(Promotion, bool)>>,
}

impl Promotions {
    pub fn new(group: Arc<Group>, record: Arc<Record>, hold_for: Duration) -> Arc<Promotions> {
        Arc::new(Promotions {
            group,
            record,
            highest: Mutex::new(0),
            hold_next: AtomicBool::new(false),
            hold_for,
            orders: AtomicU64::new(0),
            held: AtomicU64::new(0),
            late_done: AtomicU64::new(0),
            late_rounds: AtomicU64::new(0),
            done: Mutex::default(),
        })
    }

    /// Checks the fence and the member, and begins the promotion. Returns the status of the answer.
    fn carry_out(self: &Arc<Promotions>, member: usize, token: u64, is_late: bool) -> u16 {
        let mut highest = self.highest.lock().unwrap();
        if token < *highest || !self.group.is_running(member) {
            return 409;
        }
        *highest = token;
        let this = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(PROMOTION_TIME);
            // A promotion with a higher token has begun meanwhile.
            if *this.highest.lock().unwrap() > token {
                return;
            }
            if let Some(promotion) = this.group.promote(member) {
                this.done.lock().unwrap().push((promotion, is_late));
            }
        });
        200
    }
}

/// The call for all groups.
pub struct PromotionApi(pub Vec<Arc<Promotions>>);

impl Handler for PromotionApi {
    fn handle(&self, request: &Request) -> Reply {
        let service = json::string(&request.body, "service").unwrap_or_default();
        let Some(this) = self.0.iter().find(|it| it.group.name == service).cloned() else {
            return Reply::Answer(409, "{}".to_owned());
        };
        let id = json::string(&request.body, "id").unwrap_or_default().to_owned();
        let token: u64 = request.header("Gullspar-Fencing-Token").parse().unwrap_or(0);
        let holder = request.header("Gullspar-Duty-Holder").to_owned();
        let Some(member) = this.group.member_of_id(&id) else {
            return Reply::Answer(409, "{}".to_owned());
        };
        this.orders.fetch_add(1, Ordering::SeqCst);
        if !this.hold_next.swap(false, Ordering::SeqCst) {
            let status = this.carry_out(member, token, false);
            this.record.line(&format!("order of {holder}: promote {id}, token {token}: {status}"));
            return Reply::Answer(status, "{}".to_owned());
        }
        this.held.fetch_add(1, Ordering::SeqCst);
        this.record.line(&format!("order of {holder}: promote {id}, token {token}: unanswered"));
        thread::spawn(move || {
            thread::sleep(this.hold_for);
            let status = this.carry_out(member, token, true);
            this.record
                .line(&format!("the unanswered order (token {token}) is carried out: {status}"));
            this.late_done.fetch_add(1, Ordering::SeqCst);
        });
        Reply::Silence
    }
}
