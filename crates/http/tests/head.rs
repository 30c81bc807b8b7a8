//! Heads of responses that are valid, incomplete and invalid.

use rstest::rstest;
use snipeusher_http::head;
use snipeusher_http::head::Head;

const SOUND: &str = "HTTP/1.1 200 OK\r\nX-A: 1\r\nX-Empty:\r\nX-Tab:\ta\tb \r\n\r\n";

/// Guards against a head that is taken for complete too early, or with bytes of the body.
#[rstest]
fn a_head_is_complete_at_its_empty_line() {
    for length in 0..SOUND.len() {
        let part = head::check(&SOUND.as_bytes()[..length]);
        assert_eq!(part.expect("it is valid so far"), None, "{length}");
    }
    let bytes = format!("{SOUND}body : of the response\r\n");
    let checked = head::check(bytes.as_bytes()).expect("it is valid");
    let length = SOUND.len();
    let expected = Head {
        length,
        status: 200,
        states_end: false,
    };
    assert_eq!(checked, Some(expected));
}

/// Guards against a line that passes although another recipient may read it as another field.
#[rstest]
#[case::blank_before_the_colon("X-A : 1")]
#[case::tab_before_the_colon("X-A\t: 1")]
#[case::blank_within("X A: 1")]
#[case::blank_before(" X-A: 1")]
#[case::control("X-\u{1}A: 1")]
#[case::nul("X-\0A: 1")]
#[case::delete("X-\u{7f}A: 1")]
#[case::not_ascii("X-\u{e9}: 1")]
#[case::no_name(": 1")]
#[case::no_colon("X-A")]
#[case::folded("X-A: 1\r\n 2")]
#[case::control_in_the_value("X-A: \u{1}")]
#[case::nul_in_the_value("X-A: \0")]
#[case::bare_carriage_return("X-A: 1\r2")]
fn a_line_that_is_no_field_is_invalid(#[case] line: &str) {
    for text in [
        format!("HTTP/1.1 200 OK\r\n{line}\r\n\r\n"),
        format!("HTTP/1.1 200 OK\r\nX-B: 1\r\n{line}\r\nX-C: 1\r\n\r\n"),
    ] {
        let checked = head::check(text.as_bytes());
        assert!(checked.is_err(), "{text:?}: {checked:?}");
    }
}

/// Guards against a name for which the codec panics.
#[rstest]
fn a_name_has_a_limit() {
    let text = |length| format!("HTTP/1.1 200 OK\r\n{}: 1\r\n\r\n", "x".repeat(length));
    let checked = head::check(text(head::NAME_BYTES_MAX).as_bytes());
    assert!(checked.is_ok_and(|head| head.is_some()));
    let checked = head::check(text(head::NAME_BYTES_MAX + 1).as_bytes());
    assert!(matches!(checked, Err(head::Error::Name { length: 65_536 })));
}

/// Guards against a status that is passed on although it is not valid.
#[rstest]
fn a_status_has_a_range() {
    let is_valid = |status: &u16| {
        let text = format!("HTTP/1.1 {status:03} Text\r\n\r\n");
        head::check(text.as_bytes()).is_ok_and(|head| head.is_some())
    };
    let valid: Vec<u16> = (0..=999).filter(is_valid).collect();
    let expected: Vec<u16> = (100..=599).filter(|status| *status != 101).collect();
    assert_eq!(valid, expected);
}

/// Guards against a body whose end two recipients may see at different places.
#[rstest]
#[case::length("HTTP/1.1 200 OK", "Content-Length: 4", true)]
#[case::chunks("HTTP/1.1 200 OK", "Transfer-Encoding: chunked", true)]
#[case::both(
    "HTTP/1.1 200 OK",
    "Content-Length: 4\r\nTransfer-Encoding: chunked",
    false
)]
#[case::other_case(
    "HTTP/1.1 404 No",
    "TRANSFER-ENCODING: chunked\r\ncontent-length: 4",
    false
)]
#[case::old_length("HTTP/1.0 200 OK", "Content-Length: 4", true)]
#[case::old_chunks("HTTP/1.0 200 OK", "Transfer-Encoding: chunked", false)]
#[case::informational("HTTP/1.1 103 Early Hints", "Link: a", true)]
#[case::informational_length("HTTP/1.1 103 Early Hints", "Content-Length: 4", false)]
#[case::informational_chunks("HTTP/1.1 100 Continue", "Transfer-Encoding: chunked", false)]
fn the_end_of_a_body_is_stated_once(
    #[case] start: &str,
    #[case] fields: &str,
    #[case] is_valid: bool,
) {
    let text = format!("{start}\r\n{fields}\r\n\r\n");
    assert_eq!(head::check(text.as_bytes()).is_ok(), is_valid);
}
