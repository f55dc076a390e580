//! Callers' requests through entries and agents to endpoints, over sockets.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{Agent, Entry, SERVICE, ask, request, send, until};
use fakes::endpoint::Behaviour;
use futures_lite::future::zip;
use http_body_util::Full;
use kernel::EventKind;
use rstest::rstest;

/// Enough lookups to earn the budget for one retry.
const EARN_RETRY: usize = 10;

async fn warm(entry: &Entry) {
    for number in 0..EARN_RETRY {
        let id = format!("warm-{number}");
        assert!(ask(entry.address, "GET", &id).await.answers(&id));
    }
}

#[test]
fn a_request_goes_from_a_caller_to_an_endpoint_and_back() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let got = ask(entry.address, "GET", "lookup-1").await;
        assert!(got.answers("lookup-1"), "{got:?}");
        assert_eq!(got.body, "lookup-1 GET /players/kora?day=1 0\n");
        assert_eq!(got.verdict, "done");
        assert_eq!(got.id, "lookup-1");
        assert_eq!(agent.endpoint.request_count("lookup-1"), 1);
        entry.callers.flush();
        let events = entry.events.lock().unwrap();
        assert_eq!(events.len(), 1);
        assert_eq!(events[0].kind, EventKind::RequestsGood);
        assert_eq!(events[0].zone, Some("plateau".parse().unwrap()));
    });
}

#[test]
fn the_host_field_picks_the_service_and_keeps_the_path() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let req = http::Request::builder()
            .uri("/players")
            .header("host", format!("{SERVICE}.example"))
            .header("x-request-id", "by-host")
            .body(Full::default())
            .unwrap();
        let got = send(entry.address, req).await;
        assert_eq!(got.body, "by-host GET /players 0\n");
    });
}

#[rstest]
#[case::no_such_service("/other/x", "id", "1000", 404)]
#[case::bad_id("/directory/x", "Not An Id", "1000", 400)]
#[case::bad_timeout("/directory/x", "id", "soon", 400)]
fn bad_requests_are_refused_before_any_endpoint(
    #[case] path: &str,
    #[case] id: &str,
    #[case] timeout: &str,
    #[case] status: u16,
) {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let req = http::Request::builder()
            .uri(path)
            .header("host", "127.0.0.1")
            .header("x-request-id", id)
            .header("x-hemlockmoor-timeout-millis", timeout)
            .body(Full::default())
            .unwrap();
        let got = send(entry.address, req).await;
        assert_eq!(got.status, status, "{got:?}");
        assert_eq!(got.verdict, "not-run");
        assert_eq!(agent.endpoint.total_requests(), 0);
    });
}

#[test]
fn a_body_over_the_limit_is_refused() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let body = vec![b'x'; 8 * 1024 * 1024 + 1];
        let req = request("POST", "large").body(Full::from(body)).unwrap();
        let got = send(entry.address, req).await;
        assert_eq!(got.status, 413, "{got:?}");
        assert_eq!(got.verdict, "not-run");
        assert_eq!(agent.endpoint.total_requests(), 0);
    });
}

#[test]
fn without_an_endpoint_a_refusal_comes_at_once_and_says_when_to_come_back() {
    smol::block_on(async {
        let entry = Entry::start(1).await;
        let got = ask(entry.address, "GET", "nobody").await;
        assert_eq!(got.status, 503);
        assert_eq!(got.verdict, "not-run");
        assert!(got.retry_after.is_some_and(|secs| secs >= 1), "{got:?}");
    });
}

#[rstest]
#[case::half(Behaviour::Truncated)]
#[case::closed(Behaviour::Close)]
#[case::of_another_request(Behaviour::WrongId)]
fn a_broken_answer_to_a_booking_may_have_run_and_runs_once(#[case] behaviour: Behaviour) {
    smol::block_on(async {
        let (first, second) = (
            Agent::start("vm-1", "plateau", 8).await,
            Agent::start("vm-2", "medina", 8).await,
        );
        let entry = Entry::start(1).await;
        for agent in [&first, &second] {
            agent.announce(&entry);
        }
        warm(&entry).await;
        for agent in [&first, &second] {
            agent.endpoint.set_behaviour(behaviour);
        }
        let got = ask(entry.address, "POST", "booking").await;
        assert_eq!((got.status, got.verdict.as_str()), (502, "may-have-run"));
        let again = ask(entry.address, "POST", "booking").await;
        assert_eq!(again.verdict, "may-have-run", "{again:?}");
        let seen =
            first.endpoint.request_count("booking") + second.endpoint.request_count("booking");
        assert_eq!(seen, 1);
    });
}

#[test]
fn a_broken_answer_to_a_lookup_is_tried_again_elsewhere() {
    smol::block_on(async {
        let (first, second) = (
            Agent::start("vm-1", "plateau", 8).await,
            Agent::start("vm-2", "medina", 8).await,
        );
        let entry = Entry::start(1).await;
        for agent in [&first, &second] {
            agent.announce(&entry);
        }
        warm(&entry).await;
        for agent in [&first, &second] {
            agent.endpoint.set_behaviour(Behaviour::Truncated);
        }
        let got = ask(entry.address, "GET", "lookup").await;
        assert_eq!((got.status, got.verdict.as_str()), (502, "may-have-run"));
        assert_eq!(first.endpoint.request_count("lookup"), 1);
        assert_eq!(second.endpoint.request_count("lookup"), 1);
    });
}

#[test]
fn a_hanging_endpoint_costs_a_booking_its_deadline_and_no_second_run() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        agent.endpoint.set_behaviour(Behaviour::Hang);
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let req = request("POST", "hung")
            .header("x-hemlockmoor-timeout-millis", "200")
            .body(Full::default())
            .unwrap();
        let got = send(entry.address, req).await;
        assert_eq!((got.status, got.verdict.as_str()), (504, "may-have-run"));
        agent.endpoint.set_behaviour(Behaviour::Immediate);
        let again = ask(entry.address, "POST", "hung").await;
        assert_eq!(again.verdict, "may-have-run");
        assert_eq!(agent.endpoint.request_count("hung"), 1);
    });
}

#[test]
fn a_late_answer_never_reaches_the_next_request() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 1).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        warm(&entry).await;
        agent
            .endpoint
            .set_behaviour(Behaviour::Slow(Duration::from_millis(300)));
        let req = request("GET", "late")
            .header("x-hemlockmoor-timeout-millis", "100")
            .body(Full::default())
            .unwrap();
        assert_eq!(send(entry.address, req).await.verdict, "may-have-run");
        for number in 0..3 {
            let id = format!("next-{number}");
            let got = ask(entry.address, "GET", &id).await;
            assert!(got.answers(&id), "{got:?}");
        }
    });
}

#[test]
fn many_callers_at_once_get_their_own_answers() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 4).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let mut callers = Vec::new();
        for number in 0..40 {
            let address = entry.address;
            callers.push(smol::spawn(async move {
                let id = format!("own-{number}");
                let method = if number % 2 == 0 { "GET" } else { "POST" };
                let got = ask(address, method, &id).await;
                (id, got)
            }));
        }
        for caller in callers {
            let (id, got) = caller.await;
            assert!(got.answers(&id), "{got:?}");
            assert_eq!(agent.endpoint.request_count(&id), 1);
        }
        assert!(agent.endpoint.max_running_requests() <= 4);
    });
}

#[test]
fn a_repeat_at_a_second_entry_gets_the_recorded_answer() {
    smol::block_on(async {
        let mut agents = Vec::new();
        for number in 0..4 {
            agents.push(Agent::start(&format!("vm-{number}"), "plateau", 8).await);
        }
        let (first, second) = (Entry::start(1).await, Entry::start(2).await);
        for agent in &agents {
            agent.announce(&first);
            agent.announce(&second);
        }
        for number in 0..8 {
            let id = format!("booking-{number}");
            let got = ask(first.address, "POST", &id).await;
            assert!(got.answers(&id), "{got:?}");
            assert_eq!(ask(second.address, "POST", &id).await, got);
            let seen: u32 = agents
                .iter()
                .map(|agent| agent.endpoint.request_count(&id))
                .sum();
            assert_eq!(seen, 1);
        }
    });
}

#[test]
fn an_id_used_for_other_content_is_refused() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        assert!(ask(entry.address, "POST", "one-id").await.answers("one-id"));
        let req = request("POST", "one-id").body(Full::from("other")).unwrap();
        let got = send(entry.address, req).await;
        assert_eq!((got.status, got.verdict.as_str()), (422, "not-run"));
        assert_eq!(agent.endpoint.request_count("one-id"), 1);
    });
}

#[test]
fn a_repeat_meets_its_record_after_its_zone_was_taken_out() {
    smol::block_on(async {
        let (first, second) = (
            Agent::start("vm-1", "plateau", 8).await,
            Agent::start("vm-2", "medina", 8).await,
        );
        let entry = Entry::start(1).await;
        for agent in [&first, &second] {
            agent.announce(&entry);
        }
        let ids: Vec<String> = (0..8).map(|number| format!("booking-{number}")).collect();
        for id in &ids {
            assert!(ask(entry.address, "POST", id).await.answers(id));
        }
        entry.set_config(2, &["plateau"]);
        let in_plateau = first.endpoint.total_requests();
        for id in &ids {
            assert!(ask(entry.address, "POST", id).await.answers(id));
            assert_eq!(
                first.endpoint.request_count(id) + second.endpoint.request_count(id),
                1
            );
        }
        for number in 0..8 {
            let id = format!("new-{number}");
            assert!(ask(entry.address, "POST", &id).await.answers(&id));
            assert!(ask(entry.address, "GET", &id).await.answers(&id));
        }
        assert_eq!(first.endpoint.total_requests(), in_plateau);
    });
}

#[test]
fn a_dead_agent_leaves_no_booking_to_run_twice() {
    smol::block_on(async {
        let first = Agent::start_behind_relay("vm-1", "plateau", 8).await;
        let second = Agent::start("vm-2", "medina", 8).await;
        let entry = Entry::start(1).await;
        for agent in [&first, &second] {
            agent.announce(&entry);
            agent
                .endpoint
                .set_behaviour(Behaviour::Slow(Duration::from_millis(200)));
        }
        let ids: Vec<String> = (0..8).map(|number| format!("booking-{number}")).collect();
        let mut callers = Vec::new();
        for id in &ids {
            let (address, id) = (entry.address, id.clone());
            callers.push(smol::spawn(async move { ask(address, "POST", &id).await }));
        }
        until(|| first.endpoint.running_requests() > 0).await;
        let endpoint = first.kill().await;
        for (id, caller) in ids.iter().zip(callers) {
            let got = caller.await;
            let seen = endpoint.request_count(id) + second.endpoint.request_count(id);
            assert!(seen <= 1, "{id} ran {seen} times");
            assert!(got.verdict != "not-run" || seen == 0, "{id}: {got:?}");
            let again = ask(entry.address, "POST", id).await;
            let seen = endpoint.request_count(id) + second.endpoint.request_count(id);
            assert!(seen <= 1, "{id} ran {seen} times, then {again:?}");
        }
    });
}

#[test]
fn a_leaving_agent_gets_no_new_work_though_its_message_is_lost() {
    smol::block_on(async {
        let (first, second) = (
            Agent::start("vm-1", "plateau", 8).await,
            Agent::start("vm-2", "medina", 8).await,
        );
        let entry = Entry::start(1).await;
        for agent in [&first, &second] {
            agent.announce(&entry);
        }
        warm(&entry).await;
        first.proxy.leave();
        let before = first.endpoint.total_requests();
        for number in 0..20 {
            let id = format!("lookup-{number}");
            assert!(ask(entry.address, "GET", &id).await.answers(&id));
        }
        assert_eq!(first.endpoint.total_requests(), before);
    });
}

#[test]
fn a_graceful_stop_of_agent_or_entry_cuts_nothing_off() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        agent
            .endpoint
            .set_behaviour(Behaviour::Slow(Duration::from_millis(200)));
        let mut callers = Vec::new();
        for number in 0..6 {
            let address = entry.address;
            callers.push(smol::spawn(async move {
                let id = format!("running-{number}");
                let got = ask(address, "POST", &id).await;
                (id, got)
            }));
        }
        until(|| agent.endpoint.running_requests() == 6).await;
        let endpoint = zip(agent.stop(), entry.stop()).await.0;
        for caller in callers {
            let (id, got) = caller.await;
            assert!(got.answers(&id), "{got:?}");
            assert_eq!(endpoint.request_count(&id), 1);
        }
    });
}

#[test]
fn a_restarted_agent_runs_no_booking_meant_for_its_earlier_life() {
    smol::block_on(async {
        let mut agent = Agent::start("vm-1", "plateau", 8).await;
        agent.info.incarnation.0 = 0;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let got = ask(entry.address, "POST", "booking").await;
        assert_eq!(got.verdict, "may-have-run");
        assert_eq!(agent.endpoint.total_requests(), 0);
        assert!(ask(entry.address, "GET", "lookup").await.answers("lookup"));
    });
}
