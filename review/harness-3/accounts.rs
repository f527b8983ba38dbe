//! Conversations and budgets when a configuration brings the first tenants.

use {
    crate::{
        conversation::{Conversation, KEY, long_reply, ran, start},
        host::Class,
        operator,
        record::Record,
    },
    std::{io, thread, time::Duration},
};

/// Number of conversations.
const CONVERSATIONS: usize = 10;

/// Bytes of an input.
const INPUT_BYTES: usize = 17_000;

/// `ConfigMs` and as much again, from the acknowledgement to the next turns.
const IN_FORCE: Duration = Duration::from_secs(4);

/// Tokens that an answer hands out: 8 events of 31 tokens, which is also the most of a turn.
const TURN_TOKENS: u64 = 248;

/// Budget of the program whose budget is looked at: two turns.
const BUDGET: (&str, u64) = ("496", 496);

/// Turns of that program before the change, and after it.
const TRIED_TURNS: usize = 4;

pub fn run(trouble: bool, record: &Record) -> io::Result<bool> {
    let (deployment, runs) = start(&long_reply().sheet, 4, record)?;
    let (controls, fronts) = (deployment.ips(Class::Core), deployment.ips(Class::Front));
    let front = |at: usize| fronts[at % fronts.len()].as_str();
    let mut talks: Vec<Conversation> = (0..CONVERSATIONS)
        .map(|at| Conversation::new(&format!("aa{at:02}")))
        .collect();
    for (at, talk) in talks.iter_mut().enumerate() {
        let (answer, id) = talk.send(front(at), INPUT_BYTES);
        record.line(&format!("first turn {id}: {}", answer.describe()));
        if answer.status != 200 || !answer.whole {
            return Err(io::Error::other("a first turn failed"));
        }
    }
    let mut handed_out = 0;
    let mut spend = |when: &str| {
        for at in 0..TRIED_TURNS {
            let mut talk = Conversation::new("bb01");
            talk.budget = BUDGET.0;
            talk.number_from(when, at);
            let (answer, id) = talk.send(front(at), INPUT_BYTES);
            let events = answer.body.windows(5).filter(|it| it == b"data:").count();
            handed_out += events as u64 * TURN_TOKENS / 8;
            record.line(&format!(
                "turn {id} of the program with a budget of {} tokens: {}; {handed_out} tokens handed out",
                BUDGET.1,
                answer.describe()
            ));
        }
    };
    spend("a");
    let tenants = if trouble {
        let key = KEY.trim_start_matches("Bearer ");
        format!("{{\"Name\":\"shop-1\",\"ApiKeys\":[\"{key}\"],\"RatePerS\":0,\"Burst\":0}}")
    } else {
        String::new()
    };
    // Both changes add a route; only one adds the tenant.
    let change = operator::configuration(4, 1, &tenants);
    let status = operator::put(&controls, &change, 0, Duration::from_secs(30));
    record.line(&format!(
        "operator: configuration 4, {}, answered {status}",
        if trouble {
            "with the first tenant"
        } else {
            "without tenants"
        }
    ));
    if status != 200 {
        return Err(io::Error::other("the change was not acknowledged"));
    }
    thread::sleep(IN_FORCE);
    let mut denied = 0;
    for (at, talk) in talks.iter_mut().enumerate() {
        let (answer, id) = talk.send(front(at + 1), 1_000);
        let reached = ran(&runs, &id).map_or("reached no worker".into(), |it| {
            format!("run with {it} bytes")
        });
        record.line(&format!("next turn {id}: {}; {reached}", answer.describe()));
        denied += usize::from(matches!(answer.status, 404 | 410));
    }
    spend("b");
    let beyond = handed_out > BUDGET.1 + TURN_TOKENS;
    record.line(&format!(
        "{denied} of {CONVERSATIONS} next turns were denied with 404 or 410, some 5 s after the turns that they name (RetentionS 60); {handed_out} tokens were handed out of a budget of {}, the most of a turn is {TURN_TOKENS}{}",
        BUDGET.1,
        if beyond { ": BUDGET is broken as well" } else { "" }
    ));
    Ok(denied > 0)
}
