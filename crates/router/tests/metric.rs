//! Metrics sent to a statsd server.

mod common;

use std::collections::BTreeMap;

use common::Answer;
use common::Fleet;
use common::Plan;
use common::TIMEOUT;
use common::chat_body;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Guards against a histogram that is missing, has a wrong count or lacks the tags of workspace and
/// class.
#[actix_rt::test]
async fn histograms_reach_the_server() {
    let server = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let address = server.local_addr().expect("an address");
    let fleet = Fleet::start(Plan {
        settings: Box::new(move |settings| settings.statsd = Some(address)),
        ..Plan::default()
    })
    .await;
    let call = fleet.chat().insert_header(("x-class", "review"));
    let response = call.send_json(&chat_body("A review", true, 10)).await;
    assert!(Answer::read(response.expect("an answer")).await.done);
    // There are ten tokens and the final chunk.
    let expected = [
        ("time_in_queue_us", 1),
        ("time_to_first_token_us", 1),
        ("time_between_tokens_us", 10),
        ("time_whole_us", 1),
    ];
    let expected: BTreeMap<_, _> = expected
        .into_iter()
        .map(|(name, count)| (format!("snipeusher.{name}"), count))
        .collect();
    let mut counts = BTreeMap::new();
    let mut datagram = vec![0; 65_536];
    while counts != expected {
        let length = timeout(TIMEOUT, server.recv(&mut datagram)).await;
        let length = length.expect("a metric").expect("a datagram");
        let text = std::str::from_utf8(&datagram[..length]).expect("text");
        for line in text.lines() {
            let (name, rest) = line.split_once(':').expect("a metric");
            assert!(
                rest.ends_with("|h|#workspace:reading-circle,class:review"),
                "{line}"
            );
            *counts.entry(name.to_owned()).or_insert(0) += 1;
        }
    }
}
