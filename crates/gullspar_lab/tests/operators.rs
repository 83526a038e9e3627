//! Operators' intents: plans, concurrent changes, lost answers and rollout of configuration.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gullspar_lab::{FaultChange, LabInstanceSettings};
use serde_json::{Value, json};
use support::{LabUnderTest, run};

struct Reply {
    status: u16,
    body: Value,
}

async fn post(address: SocketAddr, path: &str, body: &Value) -> Reply {
    let client = cyper::Client::new().unwrap();
    let request = client.post(format!("http://{address}{path}")).unwrap().json(body).unwrap();
    let response = request.send().await.unwrap();
    let status = response.status().as_u16();
    Reply { status, body: serde_json::from_str(&response.text().await.unwrap()).unwrap() }
}

fn operator(lab: &LabUnderTest, index: usize) -> SocketAddr {
    lab.lab.instances[index].addresses.operator
}

fn deadline_intent(deadline_ms: u64) -> Value {
    json!({"intent": "set_class", "service": "tours", "class": "strict",
        "settings": {"consistency": "read_your_writes", "deadline_ms": deadline_ms, "priority": 0}})
}

async fn status(address: SocketAddr) -> Value {
    let client = cyper::Client::new().unwrap();
    let response = client.get(format!("http://{address}/v1/status")).unwrap().send().await.unwrap();
    serde_json::from_str(&response.text().await.unwrap()).unwrap()
}

/// Waits until `version` of the service is in force on every running instance; returns the time taken.
async fn wait_in_force(lab: &LabUnderTest, version: u64, within: Duration) -> Duration {
    let started = Instant::now();
    loop {
        let status = status(operator(lab, 0)).await;
        let service = &status["services"][0];
        if service["version"] == version && service["in_force_on"] == service["instances"] {
            return started.elapsed();
        }
        assert!(started.elapsed() < within, "not in force everywhere: {service}");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a plan that changes the configuration before it is confirmed, or only on some instances.
#[test]
fn a_plan_takes_effect_on_all_instances_only_once_confirmed() {
    let lab = LabUnderTest::small();
    run(async {
        wait_in_force(&lab, 1, Duration::from_secs(5)).await;
        let plan = post(operator(&lab, 0), "/v1/plans", &deadline_intent(1234)).await;
        assert_eq!(plan.status, 200);
        assert_eq!(plan.body["changes"].as_array().unwrap().len(), 1);
        assert_eq!(plan.body["changes"][0]["place"], "classes.strict.deadline_ms");
        compio::time::sleep(Duration::from_millis(300)).await;
        wait_in_force(&lab, 1, Duration::from_millis(500)).await;
        // A plan can be confirmed at another instance.
        let confirmed = post(operator(&lab, 2), "/v1/confirm", &plan.body).await;
        assert_eq!((confirmed.status, &confirmed.body["version"]), (200, &json!(2)));
        wait_in_force(&lab, 2, Duration::from_secs(2)).await;
    });
}

/// Two operators plan against the same version. Guards against one change silently undoing the other.
#[test]
fn a_conflicting_plan_is_refused_with_the_moved_settings() {
    let lab = LabUnderTest::small();
    run(async {
        let one = post(operator(&lab, 0), "/v1/plans", &deadline_intent(1111)).await;
        let other = post(operator(&lab, 1), "/v1/plans", &deadline_intent(2222)).await;
        assert_eq!(post(operator(&lab, 0), "/v1/confirm", &one.body).await.status, 200);
        let refused = post(operator(&lab, 1), "/v1/confirm", &other.body).await;
        assert_eq!(refused.status, 409);
        let moved = &refused.body["moved"][0];
        assert_eq!(moved["place"], "classes.strict.deadline_ms");
        assert_eq!((&moved["before"], &moved["after"]), (&json!("2222"), &json!("1111")));
        wait_in_force(&lab, 2, Duration::from_secs(2)).await;
    });
}

/// The update takes effect, but its answer is lost. Confirming again must neither repeat the change nor
/// report a conflict.
#[test]
fn confirming_a_plan_again_after_a_lost_answer_is_idempotent() {
    let lab = LabUnderTest::small();
    run(async {
        let plan = post(operator(&lab, 0), "/v1/plans", &deadline_intent(1111)).await;
        lab.lab.faults.apply(FaultChange::PlatformLosesAnswers { count: 1 });
        for index in 0..2 {
            let confirmed = post(operator(&lab, index), "/v1/confirm", &plan.body).await;
            assert_eq!((confirmed.status, &confirmed.body["version"]), (200, &json!(2)));
        }
    });
}

/// Guards against confirming settings that differ from those that were planned.
#[test]
fn a_modified_plan_is_refused() {
    let lab = LabUnderTest::small();
    run(async {
        let mut plan = post(operator(&lab, 0), "/v1/plans", &deadline_intent(1111)).await.body;
        plan["result"]["classes"]["any"]["deadline_ms"] = json!(1);
        assert_eq!(post(operator(&lab, 0), "/v1/confirm", &plan).await.status, 422);
    });
}

/// Guards against planning an invalid change, and against reporting only the first of its findings.
#[test]
fn an_invalid_intent_is_refused_with_all_findings() {
    let lab = LabUnderTest::small();
    run(async {
        let intent = json!({"intent": "set_limits", "service": "tours", "member": "m1",
            "slots": 0, "connections": 3});
        let refused = post(operator(&lab, 0), "/v1/plans", &intent).await;
        assert_eq!(refused.status, 422);
        insta::assert_json_snapshot!(refused.body["findings"], @r#"
        [
          "group.members[0] (m1).slots: must be at least 1",
          "group.members[0] (m1).connections: must be at least 8, six are gullspar's"
        ]
        "#);
    });
}

/// An instance that starts during a platform outage must get its configuration from its peers.
#[test]
fn an_instance_started_without_the_platform_gets_its_configuration_from_peers() {
    let mut lab = LabUnderTest::small();
    run(async {
        wait_in_force(&lab, 1, Duration::from_secs(5)).await;
    });
    lab.lab.faults.apply(FaultChange::PlatformOut { out: true });
    let new_instance = LabInstanceSettings { id: "i9".into(), data_centre: "b".into() };
    lab.lab.add_instance(&new_instance).unwrap();
    run(async {
        let mut client = lab.connect(4, "strict").await;
        let written = client.query("INSERT INTO ledger VALUES ('x')").await.unwrap();
        assert_eq!(written.error, None);
    });
}

#[test]
fn metrics_are_served_in_the_prometheus_format() {
    let lab = LabUnderTest::small();
    run(async {
        let mut client = lab.connect(0, "any").await;
        client.query("SELECT id FROM doors").await.unwrap();
        let address = operator(&lab, 0);
        let http = cyper::Client::new().unwrap();
        let response = http.get(format!("http://{address}/metrics")).unwrap().send().await.unwrap();
        let page = response.text().await.unwrap();
        assert!(page.contains("# TYPE gullspar_requests_total counter"), "{page}");
        let done = page.lines().find(|it| {
            it.starts_with("gullspar_requests_total{") && it.contains("outcome=\"done\"")
        });
        assert!(done.is_some_and(|it| it.ends_with(" 1")), "{page}");
    });
}
