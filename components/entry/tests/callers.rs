//! Requests of callers through entries and agents to endpoints, over sockets.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

mod common;

use std::time::Duration;

use common::{Agent, Entry, SERVICE, call, request, send, wait_until};
use fakes::endpoint::Behaviour;
use futures_lite::future::zip;
use http_body_util::Full;
use kernel::EventKind;
use rstest::rstest;

/// Number of lookups that earn the budget for one retry.
const LOOKUPS_PER_RETRY: usize = 10;

async fn earn_retry_budget(entry: &Entry) {
    for number in 0..LOOKUPS_PER_RETRY {
        let id = format!("warm-{number}");
        assert!(call(entry.address, "GET", &id).await.is_answer_to(&id));
    }
}

#[test]
fn a_request_goes_from_a_caller_to_an_endpoint_and_back() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let resp = call(entry.address, "GET", "lookup-1").await;
        assert!(resp.is_answer_to("lookup-1"), "{resp:?}");
        assert_eq!(resp.body, "lookup-1 GET /players/kora?day=1 0\n");
        assert_eq!(resp.verdict, "done");
        assert_eq!(resp.id, "lookup-1");
        assert_eq!(agent.endpoint.request_count("lookup-1"), 1);
        entry.callers.flush();
        let events = entry.events.lock().unwrap();
        assert_eq!(events.len(), 1);
        assert_eq!(events[0].kind, EventKind::RequestsGood);
        assert_eq!(events[0].zone, Some("plateau".parse().unwrap()));
    });
}

#[test]
fn the_host_field_selects_the_service_and_keeps_the_path() {
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
        let resp = send(entry.address, req).await;
        assert_eq!(resp.body, "by-host GET /players 0\n");
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
        let resp = send(entry.address, req).await;
        assert_eq!(resp.status, status, "{resp:?}");
        assert_eq!(resp.verdict, "not-run");
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
        let resp = send(entry.address, req).await;
        assert_eq!(resp.status, 413, "{resp:?}");
        assert_eq!(resp.verdict, "not-run");
        assert_eq!(agent.endpoint.total_requests(), 0);
    });
}

#[test]
fn without_an_endpoint_a_request_is_refused_at_once_with_a_retry_time() {
    smol::block_on(async {
        let entry = Entry::start(1).await;
        let resp = call(entry.address, "GET", "nobody").await;
        assert_eq!(resp.status, 503);
        assert_eq!(resp.verdict, "not-run");
        assert!(resp.retry_after.is_some_and(|secs| secs >= 1), "{resp:?}");
    });
}

#[rstest]
#[case::half(Behaviour::Truncated)]
#[case::closed(Behaviour::Close)]
#[case::of_another_request(Behaviour::WrongId)]
fn a_booking_with_a_broken_answer_may_have_run_and_runs_once(#[case] behaviour: Behaviour) {
    smol::block_on(async {
        let (first, second) = (
            Agent::start("vm-1", "plateau", 8).await,
            Agent::start("vm-2", "medina", 8).await,
        );
        let entry = Entry::start(1).await;
        for agent in [&first, &second] {
            agent.announce(&entry);
        }
        earn_retry_budget(&entry).await;
        for agent in [&first, &second] {
            agent.endpoint.set_behaviour(behaviour);
        }
        let resp = call(entry.address, "POST", "booking").await;
        assert_eq!((resp.status, resp.verdict.as_str()), (502, "may-have-run"));
        let again = call(entry.address, "POST", "booking").await;
        assert_eq!(again.verdict, "may-have-run", "{again:?}");
        let seen =
            first.endpoint.request_count("booking") + second.endpoint.request_count("booking");
        assert_eq!(seen, 1);
    });
}

#[test]
fn a_lookup_with_a_broken_answer_is_retried_at_another_endpoint() {
    smol::block_on(async {
        let (first, second) = (
            Agent::start("vm-1", "plateau", 8).await,
            Agent::start("vm-2", "medina", 8).await,
        );
        let entry = Entry::start(1).await;
        for agent in [&first, &second] {
            agent.announce(&entry);
        }
        earn_retry_budget(&entry).await;
        for agent in [&first, &second] {
            agent.endpoint.set_behaviour(Behaviour::Truncated);
        }
        let resp = call(entry.address, "GET", "lookup").await;
        assert_eq!((resp.status, resp.verdict.as_str()), (502, "may-have-run"));
        assert_eq!(first.endpoint.request_count("lookup"), 1);
        assert_eq!(second.endpoint.request_count("lookup"), 1);
    });
}

#[test]
fn a_booking_at_a_hanging_endpoint_times_out_and_runs_once() {
    smol::block_on(async {
        let agent = Agent::start("vm-1", "plateau", 8).await;
        agent.endpoint.set_behaviour(Behaviour::Hang);
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let req = request("POST", "hung")
            .header("x-hemlockmoor-timeout-millis", "200")
            .body(Full::default())
            .unwrap();
        let resp = send(entry.address, req).await;
        assert_eq!((resp.status, resp.verdict.as_str()), (504, "may-have-run"));
        agent.endpoint.set_behaviour(Behaviour::Immediate);
        let again = call(entry.address, "POST", "hung").await;
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
        earn_retry_budget(&entry).await;
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
            let resp = call(entry.address, "GET", &id).await;
            assert!(resp.is_answer_to(&id), "{resp:?}");
        }
    });
}

#[test]
fn concurrent_callers_get_their_own_responses() {
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
                let resp = call(address, method, &id).await;
                (id, resp)
            }));
        }
        for caller in callers {
            let (id, resp) = caller.await;
            assert!(resp.is_answer_to(&id), "{resp:?}");
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
            let resp = call(first.address, "POST", &id).await;
            assert!(resp.is_answer_to(&id), "{resp:?}");
            assert_eq!(call(second.address, "POST", &id).await, resp);
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
        assert!(
            call(entry.address, "POST", "one-id")
                .await
                .is_answer_to("one-id")
        );
        let req = request("POST", "one-id").body(Full::from("other")).unwrap();
        let resp = send(entry.address, req).await;
        assert_eq!((resp.status, resp.verdict.as_str()), (422, "not-run"));
        assert_eq!(agent.endpoint.request_count("one-id"), 1);
    });
}

#[test]
fn a_repeat_gets_its_recorded_answer_after_its_zone_was_taken_out() {
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
            assert!(call(entry.address, "POST", id).await.is_answer_to(id));
        }
        entry.set_config(2, &["plateau"]);
        let in_plateau = first.endpoint.total_requests();
        for id in &ids {
            assert!(call(entry.address, "POST", id).await.is_answer_to(id));
            assert_eq!(
                first.endpoint.request_count(id) + second.endpoint.request_count(id),
                1
            );
        }
        for number in 0..8 {
            let id = format!("new-{number}");
            assert!(call(entry.address, "POST", &id).await.is_answer_to(&id));
            assert!(call(entry.address, "GET", &id).await.is_answer_to(&id));
        }
        assert_eq!(first.endpoint.total_requests(), in_plateau);
    });
}

#[test]
fn no_booking_runs_twice_after_an_agent_fails() {
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
            callers.push(smol::spawn(async move { call(address, "POST", &id).await }));
        }
        wait_until(|| first.endpoint.running_requests() > 0).await;
        let endpoint = first.kill().await;
        for (id, caller) in ids.iter().zip(callers) {
            let resp = caller.await;
            let seen = endpoint.request_count(id) + second.endpoint.request_count(id);
            assert!(seen <= 1, "{id} ran {seen} times");
            assert!(resp.verdict != "not-run" || seen == 0, "{id}: {resp:?}");
            let again = call(entry.address, "POST", id).await;
            let seen = endpoint.request_count(id) + second.endpoint.request_count(id);
            assert!(seen <= 1, "{id} ran {seen} times, then {again:?}");
        }
    });
}

#[test]
fn a_leaving_agent_gets_no_new_requests_when_its_announcement_is_lost() {
    smol::block_on(async {
        let (first, second) = (
            Agent::start("vm-1", "plateau", 8).await,
            Agent::start("vm-2", "medina", 8).await,
        );
        let entry = Entry::start(1).await;
        for agent in [&first, &second] {
            agent.announce(&entry);
        }
        earn_retry_budget(&entry).await;
        first.proxy.leave();
        let before = first.endpoint.total_requests();
        for number in 0..20 {
            let id = format!("lookup-{number}");
            assert!(call(entry.address, "GET", &id).await.is_answer_to(&id));
        }
        assert_eq!(first.endpoint.total_requests(), before);
    });
}

#[test]
fn a_graceful_stop_of_agent_or_entry_interrupts_no_request() {
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
                let resp = call(address, "POST", &id).await;
                (id, resp)
            }));
        }
        wait_until(|| agent.endpoint.running_requests() == 6).await;
        let endpoint = zip(agent.stop(), entry.stop()).await.0;
        for caller in callers {
            let (id, resp) = caller.await;
            assert!(resp.is_answer_to(&id), "{resp:?}");
            assert_eq!(endpoint.request_count(&id), 1);
        }
    });
}

#[test]
fn a_restarted_agent_runs_no_booking_sent_to_its_earlier_incarnation() {
    smol::block_on(async {
        let mut agent = Agent::start("vm-1", "plateau", 8).await;
        agent.info.incarnation.0 = 0;
        let entry = Entry::start(1).await;
        agent.announce(&entry);
        let resp = call(entry.address, "POST", "booking").await;
        assert_eq!(resp.verdict, "may-have-run");
        assert_eq!(agent.endpoint.total_requests(), 0);
        assert!(
            call(entry.address, "GET", "lookup")
                .await
                .is_answer_to("lookup")
        );
    });
}
