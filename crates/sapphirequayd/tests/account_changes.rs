//! Tests of turns and budgets of programs whose caller gets another account, or none, while
//! they run: accounts are introduced or removed, and routes become public.

#[path = "common/gateway.rs"]
mod gateway;
#[path = "common/ports.rs"]
mod ports;

use {
    gateway::{Gateway, Response, StubUpstream, send},
    std::{
        cell::Cell,
        thread,
        time::{Duration, Instant},
    },
};

/// Time after which a wait fails. Generous, since no test asserts a speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);

/// Accounts of a configuration.
const TWO: &str = r#"{"Name":"alpha","ApiKeys":["k1"]},{"Name":"beta","ApiKeys":["k2"]}"#;
const NONE: &str = "";

fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    while began.elapsed() < WAIT_TIMEOUT {
        if let Some(got) = poll() {
            return got;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("timed out waiting until {what}");
}

/// Gateway with an upstream whose turns are stored.
struct Site {
    gateway: Gateway,
    llm: StubUpstream,
    version: Cell<u32>,
    sent: Cell<u64>,
}

/// A turn that a caller sends.
#[derive(Clone, Copy)]
struct Turn<'a> {
    key: Option<&'a str>,
    program: &'a str,
    prior: Option<&'a str>,
    input: &'a str,
}

const TURN: Turn<'_> = Turn {
    key: None,
    program: "p",
    prior: None,
    input: "in;",
};

impl Site {
    fn start(accounts: &str) -> Self {
        let site = Self {
            gateway: Gateway::start(3),
            llm: StubUpstream::start(),
            version: Cell::new(1),
            sent: Cell::default(),
        };
        site.configure(accounts, false);
        site
    }

    fn next(&self) -> u64 {
        self.sent.set(self.sent.get() + 1);
        self.sent.get()
    }

    /// Puts accounts into force, and waits until both fronts have them. `public` tells
    /// whether the route of turns is public.
    fn configure(&self, accounts: &str, public: bool) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let document = format!(
            r#"{{"Version":{version},"Routes":[
            {{"Name":"chat","Host":"a.example","PathPrefix":"/chat/","Kind":"streaming","TimeoutMs":90000,"SloMs":250,"Service":"llm","Retain":true,"RetentionS":60.0,"Public":{public}}},
            {{"Name":"v","Host":"a.example","PathPrefix":"/v{version}/","Kind":"safe","TimeoutMs":8000,"SloMs":250,"Service":"llm","MaxAttempts":2,"Public":true}}],
            "Services":[{{"Name":"llm","MaxConns":100,"Engine":{{"Slots":16,"StrideTokens":10}}}}],
            "Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":100000,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}},
            "Tenants":[{accounts}]}}"#
        );
        let put = "POST /sapphirequay/config/put HTTP/1.1\nHost: c";
        wait_for("the configuration is acknowledged", || {
            let got = send(self.gateway.controls[0], put, &document)?;
            (got.status == 200).then_some(())
        });
        for front in &self.gateway.fronts {
            wait_for("the front has the configuration", || {
                self.announce();
                let head = format!(
                    "POST /v{version}/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: v{}",
                    self.next()
                );
                (send(*front, &head, "in")?.status == 200).then_some(())
            });
        }
    }

    fn announce(&self) {
        let head = "POST /sapphirequay/instances/llm-1/heartbeat HTTP/1.1\nHost: c";
        let body = format!(
            r#"{{"Service":"llm","Address":"{}","Zone":"dc-1","Version":"v1","Slots":16,"State":"ready","Seq":{},"born":5}}"#,
            self.llm.addr,
            self.next()
        );
        let _ = send(self.gateway.controls[1], head, &body);
    }

    /// Sends a turn until it is not answered with 503, to the fronts in turn. Returns its id
    /// and the response.
    fn send(&self, turn: Turn<'_>) -> (String, Response) {
        wait_for("the turn is answered", || {
            self.announce();
            let number = self.next();
            let id = format!("t{number}");
            let mut head = format!(
                "POST /chat/1 HTTP/1.1\nHost: a.example\nX-Sapphirequay-Request-Id: {id}\nX-Sapphirequay-Program-Id: {}\n\
                 X-Sapphirequay-Token-Budget: 70\nX-Sapphirequay-Token-Usage: 5,30\nX-Sapphirequay-Deadline-Ms: 90000",
                turn.program
            );
            if let Some(key) = turn.key {
                head = format!("{head}\nAuthorization: Bearer {key}");
            }
            if let Some(prior) = turn.prior {
                head = format!("{head}\nX-Sapphirequay-Previous-Turn: {prior}");
            }
            let fronts = &self.gateway.fronts;
            let got = send(
                fronts[usize::from(number.is_multiple_of(3))],
                &head,
                turn.input,
            )?;
            (got.status != 503).then_some((id, got))
        })
    }

    /// Sends a turn that must be answered whole. Returns its id and the conversation that
    /// the upstream got.
    fn run(&self, turn: Turn<'_>) -> (String, String) {
        let (id, got) = self.send(turn);
        assert_eq!((got.status, got.complete), (200, true), "{}", got.body);
        let ran = self.llm.requests_run();
        (id, ran.last().expect("request").clone())
    }

    fn status(&self, turn: Turn<'_>) -> u16 {
        self.send(turn).1.status
    }
}

/// What the upstream's answer adds to a conversation.
const OUTPUT: &str = "hello\nworld\n";

/// Guards against 404 for turns that were stored before there were accounts, and against
/// giving them to an account that does not hold their key.
#[test]
fn turns_from_before_accounts_are_not_denied_once_there_are_some() {
    let site = Site::start(NONE);
    let keyed = Turn {
        key: Some("k1"),
        input: "keyed;",
        ..TURN
    };
    let (with_key, _) = site.run(keyed);
    let (without_key, _) = site.run(TURN);
    let (unused_key, _) = site.run(Turn {
        key: Some("none"),
        ..TURN
    });
    for (key, prior) in [
        (None, &with_key),
        (Some("k2"), &with_key),
        (Some("k1"), &without_key),
    ] {
        site.run(Turn {
            key,
            program: "r",
            prior: Some(prior),
            ..TURN
        });
    }
    site.configure(TWO, false);
    let next = |key, prior| Turn {
        key: Some(key),
        prior: Some(prior),
        program: "q",
        input: "next;",
    };
    let (_, conversation) = site.run(next("k1", &*with_key));
    assert_eq!(conversation, format!("keyed;{OUTPUT}next;"));
    assert_eq!(site.status(next("k2", &*with_key)), 404);
    for prior in [&*without_key, &*unused_key] {
        let (_, conversation) = site.run(next("k2", prior));
        assert_eq!(conversation, format!("in;{OUTPUT}next;"));
    }
}

/// Guards against 404 for an account's turns after the accounts were removed, against giving
/// them or what goes on from them to callers without the key, and against a chain with links
/// of both kinds that loses some.
#[test]
fn turns_of_an_account_follow_its_key_over_twelve_changes() {
    let site = Site::start(TWO);
    let (mut prior, mut expected) = (None::<String>, String::new());
    for change in 0..=12 {
        let accounts = if change % 2 == 0 { TWO } else { NONE };
        if change > 0 {
            site.configure(accounts, false);
        }
        let input = format!("{change};");
        let turn = Turn {
            key: Some("k1"),
            // Each turn is charged to a program of its own.
            program: &format!("p{change}"),
            prior: prior.as_deref(),
            input: &input,
        };
        if let Some(prior) = &prior {
            for stranger in [Some("k2"), None] {
                if accounts == NONE || stranger.is_some() {
                    let turn = Turn {
                        key: stranger,
                        program: "s",
                        ..turn
                    };
                    assert_eq!(site.status(turn), 404, "{prior} at change {change}");
                }
            }
        }
        let (id, conversation) = site.run(turn);
        expected += &input;
        assert_eq!(conversation, expected);
        expected += OUTPUT;
        prior = Some(id);
    }
}

/// Guards against 404 for an account's turns on a route that has become public, and against
/// giving them to callers without its key.
#[test]
fn turns_of_an_account_follow_its_key_onto_a_public_route() {
    let site = Site::start(TWO);
    let (first, _) = site.run(Turn {
        key: Some("k1"),
        ..TURN
    });
    site.configure(TWO, true);
    let next = |key, prior| Turn {
        key,
        prior: Some(prior),
        program: "q",
        input: "next;",
    };
    let (second, conversation) = site.run(next(Some("k1"), &*first));
    assert_eq!(conversation, format!("in;{OUTPUT}next;"));
    for prior in [&*first, &*second] {
        assert_eq!(site.status(next(None, prior)), 404);
        assert_eq!(site.status(next(Some("k2"), prior)), 404);
    }
    let (open, _) = site.run(TURN);
    site.run(next(None, &*open));
    site.configure(TWO, false);
    site.run(next(Some("k1"), &*second));
    assert_eq!(site.status(next(Some("k2"), &*second)), 404);
    // A turn of a public route is no account's.
    site.run(next(Some("k2"), &*open));
}

/// Guards against a budget that begins anew when its caller gets an account or loses it, and
/// against one that two accounts share because their programs have one name.
#[test]
fn a_budget_does_not_begin_anew_when_accounts_come_and_go() {
    let site = Site::start(NONE);
    let keyed = |key| Turn {
        key: Some(key),
        ..TURN
    };
    // Each turn uses 20 of 70 tokens and reserves 30.
    site.run(keyed("k1"));
    site.run(keyed("k1"));
    site.configure(TWO, false);
    site.run(keyed("k1"));
    assert_eq!(site.status(keyed("k1")), 402);
    let other = |key| Turn {
        program: "other",
        ..keyed(key)
    };
    for key in ["k1", "k2"] {
        site.run(other(key));
        site.run(other(key));
    }
    site.configure(NONE, false);
    assert_eq!(site.status(keyed("k1")), 402);
    assert_eq!(site.status(other("k1")), 402);
    site.configure(TWO, true);
    assert_eq!(site.status(TURN), 402, "a public route");
    site.configure(TWO, false);
    assert_eq!(site.status(keyed("k1")), 402);
    for key in ["k1", "k2"] {
        site.run(other(key));
        assert_eq!(site.status(other(key)), 402);
    }
}
