//! The target stand-in keeps to its protocol, and breaks it as told.

use std::time::Duration;

use rstest::rstest;
use smol::future::FutureExt;
use standin::target::fault::Fault;
use standin::target::ledger::{Executed, Stage};
use standin::target::{Config, Echo, Target};
use trillium_client::{Client, Conn, Error};
use trillium_smol::ClientConfig;
use wire::headers;
use wire::instance::State;

/// Longest that any call here may take.
const BOUND: Duration = Duration::from_secs(10);

fn config() -> Config {
    Config::new("t1", "billing", "s1", "d1")
}

fn client() -> Client {
    Client::new(ClientConfig::default())
}

fn post(target: &Target, body: &str) -> Conn {
    client()
        .post(format!("http://{}/sheets", target.addr()))
        .with_body(body.to_owned())
}

async fn bounded<T>(future: impl Future<Output = T>) -> T {
    let late = async {
        smol::Timer::after(BOUND).await;
        panic!("a call took longer than {BOUND:?}");
    };
    future.or(late).await
}

async fn whole(conn: Conn) -> Result<(u16, Vec<u8>), Error> {
    bounded(async {
        let mut conn = conn.await?;
        let status = conn.status().map_or(0, |status| status as u16);
        Ok((status, conn.response_body().read_bytes().await?))
    })
    .await
}

async fn until(holds: impl Fn() -> bool) {
    bounded(async {
        while !holds() {
            smol::Timer::after(Duration::from_millis(1)).await;
        }
    })
    .await;
}

fn stages(executed: &Executed) -> Vec<Stage> {
    executed.runs.iter().map(|run| run.stage).collect()
}

#[test]
fn answer_echoes_request() {
    smol::block_on(async {
        let target = Target::start(config()).unwrap();
        let request = post(&target, "hello")
            .with_request_header(headers::ATTEMPT_ID, "a7")
            .with_request_header(headers::IDEMPOTENCY_KEY, "k1");
        let (status, body) = whole(request).await.unwrap();
        let echo: Echo = serde_json::from_slice(&body).unwrap();
        assert_eq!(status, 200);
        assert_eq!((&*echo.target, &*echo.body), ("t1", "hello"));
        assert_eq!(echo.attempt.as_deref(), Some("a7"));
        assert_eq!(target.executed().of_key("k1").runs.len(), 1);
        assert_eq!(target.executed().of_key("k2").runs.len(), 0);
    });
}

#[test]
fn headers_tell_load_and_state() {
    smol::block_on(async {
        let target = Target::start(config()).unwrap();
        target.fault(Fault::Drain { refuse: false });
        let conn = bounded(async { post(&target, "").await }).await.unwrap();
        let told = conn.response_headers();
        assert_eq!(told.get_str(headers::TARGET_STATE), Some("leaving"));
        assert_eq!(told.get_str(headers::TARGET_LOAD), Some("0"));
        assert_eq!(target.instance().state, State::Leaving);
    });
}

#[rstest]
#[case::shed(Fault::Shed, "shed")]
#[case::drain(Fault::Drain { refuse: true }, "leaving")]
fn refusal_leaves_no_run(#[case] fault: Fault, #[case] word: &str) {
    smol::block_on(async {
        let target = Target::start(config()).unwrap();
        target.fault(fault);
        let conn = bounded(async { post(&target, "").await }).await.unwrap();
        let told = conn.response_headers().get_str(headers::TARGET_REFUSED);
        assert_eq!(conn.status().map(|s| s as u16), Some(503));
        assert_eq!(told, Some(word));
        assert_eq!(target.executed().runs, []);
    });
}

#[test]
fn slots_full_sheds() {
    // One request holds the only slot and none may wait. The next is refused
    // while the first still runs, and leaves no trace in the ledger.
    smol::block_on(async {
        let slow = Config {
            slots: 1,
            queue: 0,
            work: BOUND,
            ..config()
        };
        let target = Target::start(slow).unwrap();
        let first = smol::spawn(whole(post(&target, "first")));
        until(|| target.running() == 1).await;
        let (status, _) = whole(post(&target, "second")).await.unwrap();
        assert_eq!(status, 503);
        assert_eq!(target.executed().runs.len(), 1);
        first.cancel().await;
    });
}

#[test]
fn cancellation_stops_run() {
    smol::block_on(async {
        let slow = Config {
            work: BOUND,
            ..config()
        };
        let target = Target::start(slow).unwrap();
        let request = post(&target, "").with_request_header(headers::ATTEMPT_ID, "a1");
        let running = smol::spawn(whole(request));
        until(|| target.running() == 1).await;
        let url = format!("http://{}/attempts/a1", target.addr());
        whole(client().delete(url)).await.unwrap();
        let (status, _) = running.await.unwrap();
        assert_eq!(status, 504);
        assert_eq!(stages(&target.executed()), [Stage::Stopped]);
    });
}

#[test]
fn deadline_stops_run() {
    smol::block_on(async {
        let slow = Config {
            work: BOUND,
            ..config()
        };
        let target = Target::start(slow).unwrap();
        let request = post(&target, "").with_request_header(headers::DEADLINE_MS, "20");
        let (status, _) = whole(request).await.unwrap();
        assert_eq!(status, 504);
        assert_eq!(stages(&target.executed()), [Stage::Stopped]);
    });
}

#[rstest]
#[case::half(Fault::HalfAnswer)]
#[case::garbled(Fault::Garbled)]
#[case::cut(Fault::Cut)]
fn broken_answer_yields_no_whole_one(#[case] fault: Fault) {
    // The caller sees an error, never a shorter answer; the request has run.
    smol::block_on(async {
        let target = Target::start(config()).unwrap();
        target.fault(fault);
        let answer = whole(post(&target, "hello")).await;
        assert!(answer.is_err(), "{answer:?}");
        assert_eq!(stages(&target.executed()), [Stage::Done]);
        target.fault(Fault::None);
        assert_eq!(whole(post(&target, "hello")).await.unwrap().0, 200);
    });
}

#[test]
fn second_answer_reaches_next_user_of_connection() {
    // The target answers twice. Whoever uses the connection next, as a pooling
    // client would, reads the answer to another request.
    use futures_lite::{AsyncReadExt, AsyncWriteExt};
    smol::block_on(bounded(async {
        let target = Target::start(config()).unwrap();
        target.fault(Fault::Twice);
        let mut stream = smol::net::TcpStream::connect(target.addr()).await.unwrap();
        let request =
            b"POST /a HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        stream.write_all(request).await.unwrap();
        let mut all = String::new();
        stream.read_to_string(&mut all).await.unwrap();
        assert_eq!(all.matches("HTTP/1.1 200 OK").count(), 2, "{all}");
        assert_eq!(target.executed().runs.len(), 1);
    }));
}

#[test]
fn late_answer_outlives_deadline() {
    smol::block_on(async {
        let target = Target::start(config()).unwrap();
        target.fault(Fault::Late { ms: 50 });
        let request = post(&target, "").with_request_header(headers::DEADLINE_MS, "1");
        let (status, _) = whole(request).await.unwrap();
        assert_eq!(status, 200);
        assert_eq!(stages(&target.executed()), [Stage::Done]);
    });
}

#[test]
fn health_lies() {
    smol::block_on(async {
        let target = Target::start(config()).unwrap();
        target.fault(Fault::Lie {
            load: 99,
            state: State::Leaving,
        });
        let url = format!("http://{}/health", target.addr());
        let (_, body) = whole(client().get(url)).await.unwrap();
        let health: wire::target::Health = serde_json::from_slice(&body).unwrap();
        assert_eq!((health.load, health.state), (99, State::Leaving));
    });
}

#[test]
fn health_lags() {
    // A request runs now, but the probe tells the load of a while ago: none.
    smol::block_on(async {
        let slow = Config {
            work: BOUND,
            ..config()
        };
        let target = Target::start(slow).unwrap();
        target.fault(Fault::Lag { ms: 20_000 });
        let first = smol::spawn(whole(post(&target, "first")));
        until(|| target.running() == 1).await;
        let url = format!("http://{}/health", target.addr());
        let (_, body) = whole(client().get(url)).await.unwrap();
        let health: wire::target::Health = serde_json::from_slice(&body).unwrap();
        assert_eq!(health.load, 0);
        first.cancel().await;
    });
}

#[test]
fn cold_target_takes_longer() {
    // A cold target would need longer than the deadline and gives up; the same
    // request runs in time once it is warm.
    smol::block_on(async {
        let cold = Config {
            cold: Duration::from_millis(300),
            cold_work: BOUND,
            ..config()
        };
        let target = Target::start(cold).unwrap();
        let request = || post(&target, "").with_request_header(headers::DEADLINE_MS, "50");
        assert_eq!(whole(request()).await.unwrap().0, 504);
        bounded(async { while whole(request()).await.unwrap().0 != 200 {} }).await;
    });
}

#[test]
fn crash_drops_all_and_comes_back() {
    // A marked request takes the target down: the other request in flight is
    // cut as well, nothing listens for a while, then the target serves again.
    smol::block_on(async {
        let marked = Config {
            crash: Some("boom".to_owned()),
            away: Duration::from_millis(50),
            ..config()
        };
        let target = Target::start(marked).unwrap();
        target.fault(Fault::Slow { ms: 60_000 });
        let other = smol::spawn(whole(post(&target, "other")));
        until(|| target.running() == 1).await;
        target.fault(Fault::None);
        assert!(whole(post(&target, "boom")).await.is_err());
        assert!(other.await.is_err());
        bounded(async {
            while whole(post(&target, "again")).await.is_err() {
                smol::Timer::after(Duration::from_millis(5)).await;
            }
        })
        .await;
    });
}
