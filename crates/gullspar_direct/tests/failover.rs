//! Replacing leaders, with several instances.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::collections::BTreeSet;

use gullspar_direct::Claim;
use gullspar_model::Term;
use gullspar_statement::FailureCode;
use support::{BOUNDED, Fault, LATEST, LEASE, LEAVING_SERVES, World, leader_of, pause, run, until};

/// The time in which a failed leader is replaced: two checks without an answer, the views of the others, a
/// claim, and the 300 ms that the fake promotion takes. Instances also look for 1.5 s after their start.
const REPLACED_WITHIN: u64 = 5000;

/// How often a promotion is ordered with one token while no answer comes.
const ORDERS_IN_A_ROW: u32 = 4;

/// Symptom: writes stop for good when a leader fails.
#[test]
fn a_dark_leader_is_replaced_once() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        world.group.set(0, Fault::Dark);
        until(REPLACED_WITHIN, "another member leads", || {
            world.group.leader() != Some("m0".into())
        })
        .await;
        let leader = world.group.leader();
        for proxy in &proxies {
            until(1000, "all follow", || leader_of(proxy) == leader).await;
        }
        world.caller(&proxies[0], LATEST).await.done("WRITE slot mine").await;
        pause(1500).await;
        assert_eq!(world.promoter.orders().len(), 1, "{:?}", world.promoter.orders());
        assert_eq!(world.group.leader(), leader);
    });
}

/// Symptom: a group changes its leader three times within half a second, and two instances promote in
/// turn.
/// Events: one instance orders a promotion, which takes a while to show; the turns of the next instances
/// come meanwhile, they find the claim of the first, replace it and promote another member.
/// Cause: a claim that had just been made did not keep others from claiming.
#[test]
fn instances_do_not_promote_in_turn() {
    run(async {
        let world = World::new();
        world.promoter.takes_ms.set(1200);
        let _proxies = world.instances(5).await;
        world.group.set(0, Fault::Dark);
        until(REPLACED_WITHIN, "another member leads", || {
            world.group.leader() != Some("m0".into())
        })
        .await;
        pause(500).await;
        let holders: BTreeSet<_> =
            world.promoter.orders().into_iter().map(|it| it.holder).collect();
        assert_eq!(holders.len(), 1, "{:?}", world.promoter.orders());
    });
}

/// Symptom: a healthy leader is replaced, and commits are undone with it.
/// Events: one instance of several loses the way to the leader.
/// Cause: its view alone was enough.
#[test]
fn one_instances_view_does_not_replace_a_leader() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        world.group.set(0, Fault::DarkTo(2));
        pause(2500).await;
        assert_eq!(world.promoter.orders(), []);
        // That instance's callers are served all the same, through another one, and at once.
        let started = std::time::Instant::now();
        world.caller(&proxies[1], LATEST).await.done("WRITE slot mine").await;
        assert!(started.elapsed().as_millis() < 200, "took {:?}", started.elapsed());
        world.caller(&proxies[0], LATEST).await.done("WRITE slot mine").await;
    });
}

/// Symptom: behind a cut, a minority of instances moves leaders away from everybody else.
#[test]
fn a_cut_off_instance_promotes_nobody_and_sends_callers_elsewhere() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        world.network.cut(3);
        world.group.set(0, Fault::DarkTo(3));
        until(3000, "the instance is not ready", || !proxies[2].is_ready()).await;
        pause(1000).await;
        assert_eq!(world.promoter.orders(), []);
        assert!(proxies[0].is_ready() && proxies[1].is_ready());
        let idle = world.caller(&proxies[2], BOUNDED).await;
        assert_eq!(
            idle.next().await,
            None,
            "its idle sessions are closed once it is out of rotation"
        );
        world.network.heal();
        world.group.mend(0);
        until(2000, "it is ready again", || proxies[2].is_ready()).await;
    });
}

/// Symptom: after most instances lost power, the rest refuses everybody.
/// Events: the others are silent, so the survivors look cut off.
/// Cause: silence of instances alone was taken for a cut, though the leaders answer.
#[test]
fn survivors_that_reach_the_leaders_go_on() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        world.network.cut(2);
        world.network.cut(3);
        pause(1500).await;
        assert!(proxies[0].is_ready());
        world.caller(&proxies[0], LATEST).await.done("WRITE slot mine").await;
    });
}

/// Symptom: a release of the leader loses confirmed bookings.
/// Events: the leader says that it leaves; its successor has not received the last commits.
/// Cause: the handover did not wait for them.
#[test]
fn a_leaving_leader_hands_over_with_all_its_commits() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        world.group.set(1, Fault::Deaf);
        world.group.set(2, Fault::Deaf);
        world.caller(&proxies[0], LATEST).await.done("WRITE slot mine").await;
        pause(300).await;
        world.group.leaves(0);
        proxies.iter().for_each(|it| world.list_targets(it, 2));
        pause(1000).await;
        assert_eq!(world.promoter.orders(), [], "nobody has the last commit yet");
        world.group.mend(2);
        until(3000, "the one that has it leads", || world.group.leader() == Some("m2".into()))
            .await;
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
    });
}

/// Symptom: a promotion is ordered with a token that belongs to nobody, or never.
/// Events: the store makes the claim and its answer is lost.
/// Cause: the claim was neither read back nor made anew.
#[test]
fn a_claim_whose_answer_is_lost_is_read_back() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.claims.loses_answers.set(true);
        world.group.set(0, Fault::Dark);
        until(REPLACED_WITHIN, "another member leads", || {
            world.group.leader() != Some("m0".into())
        })
        .await;
        assert_eq!(world.promoter.orders().len(), 1);
    });
}

/// Symptom: a group stays without a leader although the platform is there again.
/// Events: an order gets no answer and is never carried out.
/// Cause: an unanswered order was taken for a promotion under way, for ever.
#[test]
fn an_order_that_is_lost_is_given_again_with_a_higher_token() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.promoter.ignores.set(ORDERS_IN_A_ROW);
        world.group.set(0, Fault::Dark);
        until(2 * REPLACED_WITHIN, "another member leads", || {
            world.group.leader() != Some("m0".into())
        })
        .await;
        let orders = world.promoter.orders();
        let (last, lost) = orders.split_last().unwrap();
        assert!(lost.iter().all(|it| it.token < last.token), "{orders:?}");
    });
}

/// Symptom: a group has no leader for 2.7 s longer than a promotion takes.
/// Events: the order gets no answer; whether it is carried out can't be told.
/// Cause: it was waited for as long as one that was answered takes to show.
#[test]
fn an_order_without_an_answer_is_given_again_at_once() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.promoter.ignores.set(ORDERS_IN_A_ROW - 1);
        world.group.set(0, Fault::Dark);
        until(REPLACED_WITHIN, "a promotion is ordered", || !world.promoter.orders().is_empty())
            .await;
        until(600, "another member leads", || world.group.leader() != Some("m0".into())).await;
        let orders = world.promoter.orders();
        assert_eq!(orders.len(), ORDERS_IN_A_ROW as usize);
        assert!(orders.iter().all(|it| *it == orders[0]), "{orders:?}");
    });
}

/// While the store is away nobody is promoted, and a leader that comes back is used at once.
#[test]
fn without_the_store_a_leader_is_waited_for() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        world.claims.away.set(true);
        world.group.set(0, Fault::Dark);
        pause(2000).await;
        assert_eq!(world.promoter.orders(), []);
        world.group.mend(0);
        until(1000, "it is usable", || leader_of(&proxies[0]) == Some("m0".into())).await;
        pause(200).await;
        world.caller(&proxies[0], LATEST).await.done("WRITE slot mine").await;
    });
}

/// Symptom: an instance that starts promotes over one that is in the middle of it.
/// Events: the claim in the store is of an instance that lives, and was made just now.
/// Cause: only claims that were heard of before were respected.
#[test]
fn a_claim_first_seen_in_the_store_is_respected_while_its_holder_lives() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        let other = proxies[1].groups().len();
        assert_eq!(other, 1);
        world.claims.put(Claim {
            holder: "instance-2".into(),
            member: "m1".into(),
            nonce: "made by hand".to_owned(),
            over_term: Term(0),
        });
        // Only instance 1 sees the leader dark; instance 2 is silent about it, and they are two.
        world.group.set(0, Fault::DarkTo(1));
        pause(1000).await;
        let by_one =
            world.promoter.orders().into_iter().filter(|it| it.holder == "instance-1".into());
        assert_eq!(by_one.count(), 0);
    });
}

/// Symptom: reads miss what was acknowledged, and commits of the present term are undone.
/// Events: a data centre is cut off with the leader; the others promote another member, which takes
/// writes; the cut heals, and an instance that was behind it sees nobody lead and reaches the old leader
/// first.
/// Cause: it promoted the old leader, whose log ends in the old term, since it knew of no newer one.
#[test]
fn a_log_of_a_superseded_term_is_not_promoted() {
    run(async {
        let world = World::new();
        let _proxies = world.instances(2).await;
        world.claims.put(Claim {
            holder: "instance-9".into(),
            member: "m1".into(),
            nonce: "made by another".to_owned(),
            over_term: Term(1),
        });
        world.group.set(0, Fault::Deaf);
        world.group.set(1, Fault::Dark);
        world.group.set(2, Fault::Dark);
        world.group.promote(&"m1".into());
        world.group.commit(&[("slot".to_owned(), "taken".to_owned())]);
        pause(3000).await;
        assert_eq!(world.promoter.orders(), [], "only the superseded leader is in reach");
        world.group.mend(2);
        until(4000, "a member of the present term leads", || {
            world.promoter.orders().iter().any(|it| it.member == "m2".into())
        })
        .await;
    });
}

/// An instance that hears fewer than half of the others promotes nobody, whoever its near neighbours are.
#[test]
fn a_minority_promotes_nobody_when_it_forms_its_own_homes() {
    run(async {
        let world = World::new();
        let proxies = world.instances(5).await;
        world.network.cut_between(&[1, 2], &[3, 4, 5]);
        world.group.set(0, Fault::DarkTo(4));
        world.group.set(0, Fault::DarkTo(5));
        pause(2500).await;
        assert!(proxies[3].is_ready() || proxies[0].is_ready());
        let minority = ["instance-1".into(), "instance-2".into()];
        let by_minority = world.promoter.orders().into_iter();
        assert_eq!(by_minority.filter(|it| minority.contains(&it.holder)).count(), 0);
    });
}

/// Symptom: reads of the latest data lack bookings that were confirmed, 37 and 90 of them after a failover.
/// Events: a data centre is cut off with the leader; the others see it dark and order another one, which takes
/// 600 ms to show; meanwhile, and in the 0.2 s before the order, the instance behind the cut sends writes to
/// the old leader, which leads until then, and confirms them by its word alone.
/// Cause: where no replica was in reach, nobody was asked whether a promotion might be under way or about to
/// be; and what others had said before the cut was taken for their word.
#[test]
fn behind_a_cut_no_write_is_confirmed_by_the_leader_alone() {
    run(async {
        let world = World::new();
        world.promoter.takes_ms.set(600);
        let proxies = world.instances(3).await;
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.done("WRITE before cut").await;
        world.network.cut(1);
        world.group.set(0, Fault::DarkTo(2));
        world.group.set(0, Fault::DarkTo(3));
        // Each side keeps its log as it is.
        (0..3).for_each(|it| world.group.set(it, Fault::Deaf));
        [1, 2].into_iter().for_each(|it| world.group.set(it, Fault::DarkTo(1)));
        let mut sent_after_the_order = 0;
        let mut confirmed = Vec::new();
        for number in 0..200 {
            let ordered = !world.promoter.orders().is_empty();
            let caller = world.caller(&proxies[0], LATEST).await;
            let answer = caller.say(&format!("WRITE slot-{number} mine")).await;
            sent_after_the_order += u32::from(ordered);
            assert!(!ordered || answer.result.is_err(), "write {number} was confirmed");
            if answer.result.is_ok() {
                confirmed.push(number);
            }
            if world.group.leader() != Some("m0".into()) {
                break;
            }
            pause(10).await;
        }
        assert!(sent_after_the_order > 0, "no write came between the order and its effect");
        confirmed.retain(|it| world.group.value(&format!("slot-{it}")).is_none());
        assert!(confirmed.is_empty(), "confirmed and gone: {confirmed:?}");
    });
}

/// Symptom: a group stays without a leader for ever.
/// Events: another writer puts something into the store where the group's claim belongs; the leader fails.
/// Cause: what was no claim could neither be read nor claimed over.
#[test]
fn what_is_no_claim_is_claimed_over() {
    run(async {
        let world = World::new();
        let garbage = world.claims.put_garbage();
        let _proxies = world.instances(2).await;
        world.group.set(0, Fault::Dark);
        until(REPLACED_WITHIN, "another member leads", || {
            world.group.leader() != Some("m0".into())
        })
        .await;
        assert!(world.promoter.orders()[0].token > garbage);
    });
}

/// Symptom: a commit that a promotion has undone is confirmed just after it, and all reads of the latest data lack
/// it from then on.
/// Events: behind a cut, a commit waits for a replica; the promotion takes effect; the instance learns that the
/// old leader leads no more.
/// Cause: from then on the old leader counted as a replica, and it has its own commit.
#[test]
fn a_leader_that_leads_no_more_does_not_confirm_its_own_commit() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.done("WRITE before cut").await;
        let other = world.caller(&proxies[0], LATEST).await;
        world.network.cut(1);
        (0..3).for_each(|it| world.group.set(it, Fault::Deaf));
        [1, 2].into_iter().for_each(|it| world.group.set(it, Fault::DarkTo(1)));
        caller.begin_to_say("WRITE slot mine");
        pause(300).await;
        assert!(!caller.has_answer(), "it waits for a replica");
        world.group.promote(&"m1".into());
        // The old leader says so to whoever asks first.
        other.begin_to_say("READ slot");
        let answer = caller.next().await.unwrap();
        assert_eq!(answer.result.unwrap_err().code, FailureCode::Unknown);
        assert_eq!(world.group.value("slot"), None);
    });
}

/// Symptom: statements reach a target seven seconds after it said that it leaves, although three instances of
/// nine could promote another leader all the time.
/// Events: an instance promotes; long after, its leader leaves while the store answers that instance no more; it
/// tries in vain; the others find its claim, and wait for it.
/// Cause: whoever read the claim took its holder for one that had just acted, so that its time alone began
/// anew with every look and never ended while it lived.
/// Evidence: the claim was 16 s old, no instance that reached the store logged a try, and the promotion was ordered by
/// the holder itself, 0.8 s after the store answered it again and 6.2 s after the announcement.
#[test]
fn a_holder_that_the_store_turns_away_is_not_waited_for() {
    run(async {
        let world = World::new();
        let proxies = world.instances(3).await;
        let leave = |member: usize, revision: u64| {
            world.group.leaves(member);
            proxies.iter().for_each(|it| world.list_targets(it, revision));
        };
        leave(0, 2);
        let led_by_another = |old: &str| world.group.leader() != Some(old.into());
        until(REPLACED_WITHIN, "another member leads", || led_by_another("m0")).await;
        let second = world.group.leader().unwrap();
        let holder = world.claims.holder().unwrap();
        let number = (1..=3).find(|it| support::member(*it).id == holder).unwrap();
        world.claims.turn_away(number);
        pause(LEASE.as_millis() as u64).await;
        leave(if second == "m1".into() { 1 } else { 2 }, 3);
        until(REPLACED_WITHIN, "a third one leads", || led_by_another(second.as_str())).await;
    });
}

/// Symptom: a target gets statements until it ends, long after it said that it leaves.
/// Events: a leader leaves while nobody can take its place.
/// Cause: it was given work for as long as it led.
#[test]
fn a_leaving_leader_without_a_successor_gets_no_new_work_in_the_end() {
    run(async {
        let world = World::new();
        let proxies = world.instances(2).await;
        [1, 2].into_iter().for_each(|it| world.group.set(it, Fault::Dark));
        pause(1000).await;
        world.group.leaves(0);
        proxies.iter().for_each(|it| world.list_targets(it, 2));
        let caller = world.caller(&proxies[0], LATEST).await;
        caller.done("WRITE slot mine").await;
        pause(LEAVING_SERVES.as_millis() as u64).await;
        let asked = std::time::Instant::now();
        for statement in ["WRITE slot again", "READ slot", "BEGIN"] {
            if statement == "BEGIN" {
                caller.done(statement).await;
                assert_eq!(caller.refused("READ slot").await, FailureCode::Congested);
            } else {
                assert_eq!(caller.refused(statement).await, FailureCode::Congested);
            }
        }
        assert!(asked.elapsed().as_millis() < 300, "refused at once, not {:?}", asked.elapsed());
        assert_eq!(world.group.value("slot"), Some("mine".to_owned()));
        [1, 2].into_iter().for_each(|it| world.group.mend(it));
        until(REPLACED_WITHIN, "another leads", || world.group.leader() != Some("m0".into())).await;
        world.caller(&proxies[1], LATEST).await.done("WRITE slot later").await;
    });
}

/// A leader that stays after all serves on, however long ago it said that it leaves.
#[test]
fn a_leader_that_stays_after_all_is_given_work_again() {
    run(async {
        let world = World::new();
        let proxy = world.instance(1);
        world.settle(&proxy).await;
        [1, 2].into_iter().for_each(|it| world.group.set(it, Fault::Dark));
        world.group.leaves(0);
        world.list_targets(&proxy, 2);
        pause(LEAVING_SERVES.as_millis() as u64 + 500).await;
        let caller = world.caller(&proxy, LATEST).await;
        assert_eq!(caller.refused("WRITE slot mine").await, FailureCode::Congested);
        world.group.stays(0);
        world.list_targets(&proxy, 3);
        pause(100).await;
        caller.done("WRITE slot mine").await;
    });
}
