//! Chats from the caller through the router to engines, over sockets and without faults.

mod common;

use common::Answer;
use common::Fleet;
use common::Plan;
use common::chat_body;
use common::expected_text;

/// Guards against sending a further request of a chat to an engine that has not cached its prefix.
#[actix_rt::test]
async fn chat_returns_to_the_engine_with_its_prefix() {
    let fleet = Fleet::start(Plan {
        engines: 3,
        ..Plan::default()
    })
    .await;
    for number in 0..8 {
        let text = format!("Letter {number}: {}", "a long introduction ".repeat(16));
        let first = fleet
            .chat()
            .send_json(&chat_body(&text, true, 8))
            .await
            .expect("an answer");
        let first = Answer::read(first).await;
        let second = fleet
            .chat()
            .send_json(&chat_body(&text, true, 8))
            .await
            .expect("an answer");
        let second = Answer::read(second).await;
        assert_eq!(first.text, expected_text(&text, 8));
        assert_eq!(second.text, first.text);
        assert!(first.done && second.done);
        assert_eq!(second.upstream, first.upstream);
        assert!(second.cached > first.cached, "{second:?}");
    }
}
