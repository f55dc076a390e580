//! Compares the outcomes of forwarded requests with the requests that the endpoint
//! received.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{sync::Arc, time::Duration};

use agent::{LocalEndpoint, Proxy};
use fakes::endpoint::{Behaviour, Endpoint};
use futures_lite::future::zip;
use kernel::{
    Clock, Incarnation, ObjectSet,
    object::{AvailabilityZone, ZoneState},
};
use proto::messages::{
    EndpointResponse, Forward, ForwardOutcome, ForwardReply, RecordMode, Refusal,
};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(100);

async fn start(slots: u32, connections: u32) -> (Endpoint, Arc<Proxy>) {
    let endpoint = Endpoint::start().await.unwrap();
    let local = LocalEndpoint {
        service: "directory".parse().unwrap(),
        address: endpoint.address(),
        slots,
        connections,
    };
    let proxy = Proxy::new(
        "vm-1".parse().unwrap(),
        Incarnation(1),
        "plateau".parse().unwrap(),
        vec![local],
        Clock::start(),
    );
    (endpoint, Arc::new(proxy))
}

fn forward(id: &str, remaining: Duration) -> Forward {
    Forward {
        id: id.parse().unwrap(),
        attempt: 1,
        service: "directory".parse().unwrap(),
        idempotent: false,
        remaining_micros: remaining.as_micros() as u64,
        record: RecordMode::Off,
        incarnation: Incarnation(1),
        method: "POST".to_owned(),
        path: "/players".to_owned(),
        headers: Vec::new(),
        body: b"kora".to_vec(),
    }
}

fn recorded(id: &str, record: RecordMode) -> Forward {
    Forward {
        record,
        ..forward(id, TIMEOUT)
    }
}

fn answer(reply: ForwardReply) -> EndpointResponse {
    match reply.outcome {
        ForwardOutcome::Answered(answer) => answer,
        other => panic!("expected an answer, got {other:?}"),
    }
}

fn refusal(reply: ForwardReply) -> Refusal {
    match reply.outcome {
        ForwardOutcome::NotRun(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Sends many requests with short deadlines to an endpoint with few slots and
/// compares each verdict with the endpoint's own count.
#[rstest]
#[case::slow(Behaviour::Slow(Duration::from_millis(15)))]
#[case::half(Behaviour::Truncated)]
#[case::closing(Behaviour::Close)]
#[case::hanging(Behaviour::Hang)]
fn a_request_reported_as_not_run_never_reaches_the_endpoint(#[case] behaviour: Behaviour) {
    smol::block_on(async {
        let (endpoint, proxy) = start(2, 3).await;
        endpoint.set_behaviour(behaviour);
        let mut callers = Vec::new();
        for number in 0..120 {
            let proxy = proxy.clone();
            callers.push(smol::spawn(async move {
                let id = format!("flood-{number}");
                let reply = proxy.forward(forward(&id, SHORT)).await;
                (id, reply)
            }));
        }
        let mut refused = 0;
        for caller in callers {
            let (id, reply) = caller.await;
            assert_eq!(reply.id.as_str(), id);
            match reply.outcome {
                ForwardOutcome::NotRun(_) => {
                    assert_eq!(
                        endpoint.request_count(&id),
                        0,
                        "{id} was refused but reached the endpoint"
                    );
                    refused += 1;
                }
                ForwardOutcome::Answered(answer) => {
                    assert_eq!(endpoint.request_count(&id), 1);
                    assert!(answer.body.starts_with(format!("{id} ").as_bytes()));
                }
                ForwardOutcome::MayHaveRun(_) => assert!(endpoint.request_count(&id) <= 1),
            }
        }
        assert!(refused > 0, "the requests must exceed slots and queue");
        proxy.wait_idle().await;
        let load = proxy.load();
        assert_eq!((load[0].in_flight, load[0].queued), (0, 0));
    });
}

#[test]
fn the_endpoint_never_gets_more_requests_than_it_has_slots() {
    smol::block_on(async {
        let (endpoint, proxy) = start(3, 64).await;
        endpoint.set_behaviour(Behaviour::Slow(Duration::from_millis(5)));
        let mut callers = Vec::new();
        for number in 0..40 {
            let proxy = proxy.clone();
            let id = format!("many-{number}");
            callers.push(smol::spawn(async move {
                proxy.forward(forward(&id, TIMEOUT)).await
            }));
        }
        for caller in callers {
            answer(caller.await);
        }
        assert_eq!(endpoint.max_running_requests(), 3);
    });
}

#[test]
fn a_kept_connection_that_was_closed_is_replaced() {
    smol::block_on(async {
        let (endpoint, proxy) = start(8, 8).await;
        for number in 0..20 {
            let id = format!("again-{number}");
            let reply = proxy.forward(forward(&id, TIMEOUT)).await;
            match reply.outcome {
                ForwardOutcome::Answered(_) => assert_eq!(endpoint.request_count(&id), 1),
                ForwardOutcome::NotRun(_) => assert_eq!(endpoint.request_count(&id), 0),
                ForwardOutcome::MayHaveRun(_) => {}
            }
            endpoint.close_connections();
        }
        answer(proxy.forward(forward("last", TIMEOUT)).await);
    });
}

#[test]
fn a_request_to_an_unreachable_endpoint_is_refused() {
    smol::block_on(async {
        let (endpoint, proxy) = start(8, 8).await;
        drop(endpoint);
        let reply = proxy.forward(forward("nobody", TIMEOUT)).await;
        assert_eq!(refusal(reply), Refusal::NoEndpoint);
        let mut other = forward("other", TIMEOUT);
        other.service = "unknown".parse().unwrap();
        assert_eq!(refusal(proxy.forward(other).await), Refusal::NoEndpoint);
    });
}

#[test]
fn a_request_that_is_not_valid_http_is_refused() {
    smol::block_on(async {
        let (endpoint, proxy) = start(8, 8).await;
        let mut bad = forward("bad", TIMEOUT);
        bad.method = "NO SUCH METHOD".to_owned();
        assert_eq!(refusal(proxy.forward(bad).await), Refusal::Invalid);
        assert_eq!(endpoint.total_requests(), 0);
    });
}

#[test]
fn an_agent_that_is_leaving_or_in_a_zone_out_refuses_work_but_returns_records() {
    smol::block_on(async {
        let (endpoint, proxy) = start(8, 8).await;
        let first = answer(proxy.forward(recorded("booking", RecordMode::Run)).await);
        let mut objects = ObjectSet::default();
        let out = AvailabilityZone {
            state: ZoneState::Out,
            ..AvailabilityZone::default()
        };
        objects.zones.insert("plateau".parse().unwrap(), out);
        proxy.set_objects(Arc::new(objects));
        let reply = proxy.forward(forward("new", TIMEOUT)).await;
        assert_eq!(refusal(reply), Refusal::ZoneOut);
        proxy.leave();
        let reply = proxy.forward(recorded("new", RecordMode::Run)).await;
        assert_eq!(refusal(reply), Refusal::Leaving);
        let probe = proxy.forward(recorded("booking", RecordMode::Probe)).await;
        assert_eq!(answer(probe), first);
        let probe = proxy.forward(recorded("new", RecordMode::Probe)).await;
        assert_eq!(refusal(probe), Refusal::NotHere);
        assert_eq!(endpoint.total_requests(), 1);
    });
}

#[test]
fn a_probed_id_never_runs_at_the_probed_agent() {
    smol::block_on(async {
        let (endpoint, proxy) = start(8, 8).await;
        let probe = proxy.forward(recorded("moved", RecordMode::Probe)).await;
        assert_eq!(refusal(probe), Refusal::NotHere);
        let late = proxy.forward(recorded("moved", RecordMode::Run)).await;
        assert_eq!(refusal(late), Refusal::NotHere);
        assert_eq!(endpoint.total_requests(), 0);
    });
}

#[test]
fn a_repeat_does_not_run_while_the_first_request_runs() {
    smol::block_on(async {
        let (endpoint, proxy) = start(8, 8).await;
        endpoint.set_behaviour(Behaviour::Slow(Duration::from_millis(100)));
        let first = proxy.forward(recorded("twice", RecordMode::Run));
        let second = async {
            while endpoint.running_requests() == 0 {
                smol::Timer::after(Duration::from_millis(1)).await;
            }
            proxy.forward(recorded("twice", RecordMode::Run)).await
        };
        let (first, second) = zip(first, second).await;
        let first = answer(first);
        assert!(matches!(second.outcome, ForwardOutcome::MayHaveRun(_)));
        let third = proxy.forward(recorded("twice", RecordMode::Run)).await;
        assert_eq!(answer(third), first);
        assert_eq!(endpoint.request_count("twice"), 1);
    });
}

#[test]
fn a_disconnected_caller_withdraws_a_waiting_but_not_a_running_request() {
    smol::block_on(async {
        let (endpoint, proxy) = start(1, 8).await;
        endpoint.set_behaviour(Behaviour::Slow(Duration::from_millis(100)));
        let spawn = |id: &'static str| {
            let proxy = proxy.clone();
            smol::spawn(async move { proxy.forward(recorded(id, RecordMode::Run)).await })
        };
        let running = spawn("running");
        while endpoint.running_requests() == 0 {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        let waiting = spawn("waiting");
        while proxy.load()[0].queued == 0 {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
        waiting.cancel().await;
        running.cancel().await;
        assert_eq!(proxy.load()[0].queued, 0);
        proxy.wait_idle().await;
        assert_eq!(endpoint.request_count("waiting"), 0);
        assert_eq!(endpoint.request_count("running"), 1);
        let record = proxy.forward(recorded("running", RecordMode::Run)).await;
        answer(record);
        assert_eq!(endpoint.request_count("running"), 1);
    });
}
