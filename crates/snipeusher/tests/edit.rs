//! Operators' edits against an in-memory store, with failed calls and concurrent operators.

use rstest::rstest;
use snipeusher::config::Author;
use snipeusher::config::Change;
use snipeusher::config::Edit;
use snipeusher::config::EditId;
use snipeusher::config::History;
use snipeusher::config::Name;
use snipeusher::config::Outcome;
use snipeusher::config::PREFIX;
use snipeusher::config::Refusal;
use snipeusher::config::Snapshot;
use snipeusher::config::Step;
use snipeusher::kv::Call;
use snipeusher::kv::Fault;
use snipeusher::kv::Reply;
use snipeusher::kv::Revision;
use snipeusher::kv::Txn;
use snipeusher::time::Time;
use snipeusher_fakes::kv::Memory;

const DEADLINE: Time = Time::from_millis(10_000);

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    Deliver,
    LoseRequest,
    LoseReply,
    NotSent,
}

fn template(name: &str) -> Name {
    Name::Template(name.into())
}

fn workspace(name: &str) -> Name {
    Name::Workspace(name.into())
}

/// The text of a template with one parameter; different notes give different texts.
fn template_text(name: &str, parameter: &str, note: u32) -> String {
    format!(
        "name = {name:?}\n[parameters]\n{parameter} = {{ default = 2, min = 1 }}\n\
         [body]\ndefault_class = \"chat\"\n[body.classes.chat]\nweight = \"${parameter}\"\n\
         deadline_ms = {}\n",
        1_000 + note
    )
}

fn binding_text(name: &str, template: &str, parameter: &str) -> String {
    let digit = name.len() % 10;
    let key = digit.to_string().repeat(64);
    format!(
        "workspace = {name:?}\ntemplate = {template:?}\nkeys = [{key:?}]\n\
         [parameters]\n{parameter} = 5\n"
    )
}

fn put(name: Name, text: String) -> Change {
    Change::Put { name, text }
}

fn new_edit(id: u128, change: Change) -> Edit {
    let author = Author {
        name: format!("operator-{id}"),
        at_ms: 0,
    };
    Edit::new(change, author, EditId(id), None, Time(0), DEADLINE)
}

/// Runs an edit to its end; `execute_write` executes its writes.
fn run(
    edit: &mut Edit,
    memory: &mut Memory,
    mut execute_write: impl FnMut(&mut Memory, &Call) -> Result<Reply, Fault>,
) -> Outcome {
    let mut now = Time(0);
    edit.handle(now, None);
    loop {
        let steps: Vec<_> = edit.drain().collect();
        if steps.is_empty() {
            now = edit.next_wake();
            edit.handle(now, None);
        }
        for step in steps {
            let (id, call) = match step {
                Step::Done(outcome) => return outcome,
                Step::Call { id, call } => (id, call),
            };
            let reply = if is_write(&call) {
                execute_write(memory, &call)
            } else {
                memory.call(now, &call)
            };
            edit.handle(now, Some((id, reply)));
        }
    }
}

fn send(memory: &mut Memory, call: &Call, delivery: Delivery) -> Result<Reply, Fault> {
    match delivery {
        Delivery::Deliver => memory.call(Time(0), call),
        Delivery::LoseRequest => Err(Fault::Lost),
        Delivery::NotSent => Err(Fault::NotSent),
        Delivery::LoseReply => memory.call(Time(0), call).and(Err(Fault::Lost)),
    }
}

fn is_write(call: &Call) -> bool {
    matches!(call, Call::Txn(Txn { compare, .. }) if !compare.is_empty())
}

fn apply(memory: &mut Memory, id: u128, change: Change) -> Outcome {
    run(&mut new_edit(id, change), memory, |memory, call| {
        send(memory, call, Delivery::Deliver)
    })
}

fn snapshot(memory: &Memory) -> Snapshot {
    let entries: Vec<_> = memory.entries().cloned().collect();
    Snapshot::from_entries(memory.revision(), &entries)
}

/// Guards against an edit that overwrites a concurrent one, and against a conflict that does not
/// name the other edit.
#[test]
fn concurrent_edits_conflict() {
    let mut memory = Memory::default();
    let mut first = new_edit(1, put(template("a"), template_text("a", "p", 1)));
    let outcome = run(&mut first, &mut memory, |memory, call| {
        apply(memory, 2, put(template("a"), template_text("a", "p", 2)));
        send(memory, call, Delivery::Deliver)
    });
    let Outcome::Refused(refusal @ Refusal::Conflict { found, edit, .. }) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!((found, edit), (memory.revision(), EditId(2)));
    assert_eq!(
        refusal.to_string(),
        "template \"a\" was changed by \"operator-2\" in revision 1, this change expected revision 0"
    );
}

/// Guards against a wrong outcome after a lost request or reply, also if another operator has
/// changed the document in the meantime.
#[rstest]
#[case(Delivery::LoseReply, 0, true)]
#[case(Delivery::LoseReply, 3, true)]
#[case(Delivery::LoseRequest, 0, true)]
#[case(Delivery::LoseRequest, 3, false)]
#[case(Delivery::NotSent, 0, true)]
#[case(Delivery::NotSent, 3, false)]
fn edit_resolves_lost_calls(
    #[case] delivery: Delivery,
    #[case] others: u32,
    #[case] applied: bool,
) {
    let mut memory = Memory::default();
    apply(
        &mut memory,
        1,
        put(template("a"), template_text("a", "p", 0)),
    );
    let mut edit = new_edit(2, put(template("a"), template_text("a", "p", 100)));
    let mut is_first_write = true;
    let outcome = run(&mut edit, &mut memory, |memory, call| {
        if !std::mem::take(&mut is_first_write) {
            return send(memory, call, Delivery::Deliver);
        }
        let reply = send(memory, call, delivery);
        for other in 0..others {
            let change = put(template("a"), template_text("a", "p", other + 1));
            apply(memory, 10 + u128::from(other), change);
        }
        reply
    });
    if applied {
        assert_eq!(outcome, Outcome::Applied(Revision::new(2)));
    } else {
        assert!(
            matches!(outcome, Outcome::Refused(Refusal::Conflict { .. })),
            "{outcome:?}"
        );
    }
}

/// Guards against concurrent edits that remove a template's parameter and bind a workspace that
/// uses it, in either order.
#[test]
fn concurrent_edits_never_break_a_binding() {
    let mut memory = Memory::default();
    apply(
        &mut memory,
        1,
        put(template("a"), template_text("a", "p", 0)),
    );
    let mut edit = new_edit(2, put(template("a"), template_text("a", "q", 0)));
    let outcome = run(&mut edit, &mut memory, |memory, call| {
        apply(memory, 3, put(workspace("w"), binding_text("w", "a", "p")));
        send(memory, call, Delivery::Deliver)
    });
    assert!(
        matches!(outcome, Outcome::Refused(Refusal::Breaks { .. })),
        "{outcome:?}"
    );

    let mut memory = Memory::default();
    apply(
        &mut memory,
        1,
        put(template("a"), template_text("a", "p", 0)),
    );
    let mut edit = new_edit(2, put(workspace("w"), binding_text("w", "a", "p")));
    let outcome = run(&mut edit, &mut memory, |memory, call| {
        apply(memory, 3, put(template("a"), template_text("a", "q", 0)));
        send(memory, call, Delivery::Deliver)
    });
    let Outcome::Refused(Refusal::Invalid { text }) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(text, "template \"a\" has no parameter \"p\"");
}

/// Guards against conflicts between edits of different documents.
#[test]
fn edits_of_different_templates_do_not_conflict() {
    let mut memory = Memory::default();
    let mut first = new_edit(1, put(template("a"), template_text("a", "p", 0)));
    let outcome = run(&mut first, &mut memory, |memory, call| {
        apply(memory, 2, put(template("b"), template_text("b", "p", 0)));
        send(memory, call, Delivery::Deliver)
    });
    assert_eq!(outcome, Outcome::Applied(Revision::new(2)));
    assert_eq!(snapshot(&memory).documents.len(), 2);
}

/// Guards against invalid changes, and changes that leave a workspace without a policy.
#[rstest]
#[case(Change::Delete(template("a")), "would break workspace \"w\"")]
#[case(Change::Delete(template("z")), "there is no template \"z\"")]
#[case(
    put(template("a"), template_text("a", "q", 0)),
    "would break workspace \"w\""
)]
#[case(
    put(template("b"), template_text("a", "p", 0)),
    "cannot hold the text of template \"a\""
)]
#[case(
    put(workspace("v"), binding_text("v", "z", "p")),
    "template \"z\", which does not exist"
)]
#[case(
    put(workspace("v"), binding_text("v", "a", "p")),
    "has a bearer key of workspace \"w\""
)]
#[case(
    put(workspace("vv"), binding_text("vv", "a", "q")),
    "has no parameter \"q\""
)]
#[case(put(template("a"), format!("{}#{}", template_text("a", "p", 0), "x".repeat(300_000))), "at most 204800")]
#[case(Change::Rollback { name: template("a"), to: Revision::new(99) }, "has no revision 99")]
#[case(Change::Set { name: workspace("w"), parameter: "p".into(), value: 0.into() }, "must be at least 1")]
#[case(Change::Set { name: template("a"), parameter: "q".into(), value: 0.into() }, "no parameter \"q\"")]
fn invalid_and_breaking_changes_are_rejected(#[case] change: Change, #[case] reason: &str) {
    let mut memory = Memory::default();
    apply(
        &mut memory,
        1,
        put(template("a"), template_text("a", "p", 0)),
    );
    apply(
        &mut memory,
        2,
        put(workspace("w"), binding_text("w", "a", "p")),
    );
    let before = memory.revision();
    let outcome = apply(&mut memory, 3, change);
    let Outcome::Refused(refusal) = outcome else {
        panic!("{outcome:?}");
    };
    assert!(refusal.to_string().contains(reason), "{refusal}");
    assert_eq!(memory.revision(), before);
}

/// Guards against a parameter change, rollback or deletion that writes a wrong text or history.
#[test]
fn set_rollback_and_delete_write_expected_texts() {
    let mut memory = Memory::default();
    let original = template_text("a", "p", 0);
    apply(&mut memory, 1, put(template("a"), original.clone()));
    apply(
        &mut memory,
        2,
        put(workspace("w"), binding_text("w", "a", "p")),
    );
    let set = Change::Set {
        name: template("a"),
        parameter: "p".into(),
        value: 9.into(),
    };
    assert_eq!(
        apply(&mut memory, 3, set.clone()),
        Outcome::Applied(Revision::new(3))
    );
    assert_eq!(
        apply(&mut memory, 4, set),
        Outcome::Unchanged(Revision::new(3))
    );
    let changed = snapshot(&memory).template(&"a".into()).unwrap();
    assert_eq!(changed.parameters["p"].default, 9.into());
    let rollback = Change::Rollback {
        name: template("a"),
        to: Revision::new(1),
    };
    assert_eq!(
        apply(&mut memory, 5, rollback),
        Outcome::Applied(Revision::new(4))
    );
    assert_eq!(
        snapshot(&memory).text(&template("a")),
        Some(original.as_str())
    );
    assert_eq!(
        apply(&mut memory, 6, Change::Delete(workspace("w"))),
        Outcome::Applied(Revision::new(5))
    );
    assert_eq!(
        apply(&mut memory, 7, Change::Delete(template("a"))),
        Outcome::Applied(Revision::new(6))
    );
    assert_eq!(snapshot(&memory).text(&template("a")), None);
    let history = &memory.get(&template("a").history_key()).unwrap().value;
    let revisions: Vec<_> = History::decode(history).unwrap().versions;
    let revisions: Vec<_> = revisions
        .iter()
        .map(|version| version.revision.number)
        .collect();
    assert_eq!(revisions, [4, 3, 1]);
}

/// Guards against values above the store's size limit after many edits of a large document.
#[test]
fn values_stay_below_one_megabyte() {
    let mut memory = Memory::default();
    for note in 0..8 {
        let padding = "\"".repeat(190_000);
        let change = put(
            template("a"),
            format!("{}#{padding}", template_text("a", "p", note)),
        );
        let outcome = apply(&mut memory, u128::from(note), change);
        assert!(matches!(outcome, Outcome::Applied(_)), "{outcome:?}");
    }
    let largest = memory
        .entries()
        .map(|entry| entry.value.len())
        .max()
        .unwrap();
    assert!(largest < 1_000_000, "{largest}");
}

/// Guards against an edit that reports success or failure although the store did not answer.
#[rstest]
#[case(Delivery::NotSent, Outcome::Unavailable)]
#[case(Delivery::LoseRequest, Outcome::Unresolved(EditId(1)))]
fn edit_during_outage_reports_unavailable_or_unresolved(
    #[case] delivery: Delivery,
    #[case] expected: Outcome,
) {
    let mut memory = Memory::default();
    let mut edit = new_edit(1, put(template("a"), template_text("a", "p", 0)));
    assert_eq!(
        run(&mut edit, &mut memory, |memory, call| send(
            memory, call, delivery
        )),
        expected
    );
    assert!(memory.get(&format!("{PREFIX}template/a")).is_none());
}
