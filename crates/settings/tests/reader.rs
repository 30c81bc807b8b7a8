//! Reading of settings and reports of mistakes.

use rstest::rstest;
use snipeusher_settings::Mistake;
use snipeusher_settings::Reader;

fn read<T>(text: &str, read: impl FnOnce(&mut Reader<'_>) -> T) -> (T, Vec<String>) {
    let table = toml::from_str(text).expect("it is TOML");
    let mut mistakes: Vec<Mistake> = Vec::new();
    let mut reader = Reader::new("part.", table, &mut mistakes);
    let value = read(&mut reader);
    (value, mistakes.iter().map(Mistake::to_string).collect())
}

/// Guards against a message without the key, the value or the expected value.
#[rstest]
#[case("", "part.n is missing: expected a number that is not negative")]
#[case("n = -1", "part.n = -1: expected a number that is not negative")]
#[case("n = nan", "part.n = nan: expected a number that is not negative")]
#[case("n = \"1\"", "part.n = \"1\": expected a number that is not negative")]
fn wrong_number_is_reported(#[case] text: &str, #[case] message: &str) {
    let (value, mistakes) = read(text, |reader| reader.required_number("n"));
    assert_eq!((value, mistakes), (None, vec![message.to_owned()]));
}

#[rstest]
#[case("n = 8", 8.0)]
#[case("n = 0.25", 0.25)]
fn number_is_read(#[case] text: &str, #[case] number: f64) {
    let (value, mistakes) = read(text, |reader| reader.required_number("n"));
    assert_eq!((value, mistakes.len()), (Some(number), 0));
}

/// Guards against a duration that is too long and silently becomes zero.
#[rstest]
#[case("t = 8", Some(8_000), 0)]
#[case("t = 0.25", Some(250), 0)]
#[case("t = 1e30", None, 1)]
#[case("t = -1", None, 1)]
fn duration_is_read_or_reported(
    #[case] text: &str,
    #[case] ms: Option<u64>,
    #[case] mistake_count: usize,
) {
    let (duration, mistakes) = read(text, |reader| reader.required_seconds("t"));
    let expected = ms.map(std::time::Duration::from_millis);
    assert_eq!((duration, mistakes.len()), (expected, mistake_count));
}

/// Guards against a partly valid list that is read without its invalid items.
#[rstest]
#[case("a = [\"127.0.0.1:1\", \"[::1]:2\"]", 2, 0)]
#[case("a = [\"127.0.0.1:1\", \"nowhere\"]", 0, 1)]
#[case("", 0, 0)]
fn addresses_are_read_all_or_none(
    #[case] text: &str,
    #[case] count: usize,
    #[case] mistake_count: usize,
) {
    let (addresses, mistakes) = read(text, |reader| reader.addresses("a"));
    assert_eq!((addresses.len(), mistakes.len()), (count, mistake_count));
}
