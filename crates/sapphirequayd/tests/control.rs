//! Tests of the control group over real sockets: authorization by role, drains,
//! stale configurations and quarantines.

mod common;

use {
    common::{
        Daemons, KEY, WAIT_TIMEOUT, completion, engine, post, post_once, sidecar_for_engine,
        wait_for,
    },
    quay_config::{Action, ChangeId, Poll, SectionRevision},
    quay_link::{LinkError, LinkRole, Links},
    quay_members::{Heartbeat, MembersRequest},
    quay_standin::{Engine, EngineSettings},
    quay_types::{
        AccountId, ConfigIndex, ContentDigest, Incarnation, LedgerReply, LedgerRequest, Load,
        PermitId, ProgramId, RequestKey, SidecarRequest, UpstreamId, UpstreamState,
    },
    sapphirequayd::{
        ControlReply, ControlRequest, Daemon, EntrySettings, LinkRequest, OperatorCommand,
    },
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
};

fn start(settings: EngineSettings) -> (Daemons, Engine) {
    let engine = engine(settings);
    let running = Daemons::start(sidecar_for_engine(engine.addr()), EntrySettings::default());
    (running, engine)
}

fn links(running: &Daemons, role: LinkRole) -> Links {
    Links::connect_only(running.keys.identity(role).expect("identity")).expect("links")
}

/// Whether the peer answered the request instead of closing the stream.
fn is_answered(links: &Links, addr: SocketAddr, role: LinkRole, req: &LinkRequest) -> bool {
    let mut stream = links.open(addr, role, req).expect("stream");
    // The content of the reply does not matter: a reply of another type, which
    // fails to decode, counts as an answer.
    !matches!(stream.recv::<u8>(), Err(LinkError::Finished))
}

fn control(links: &Links, ledger: SocketAddr, req: ControlRequest) -> ControlReply {
    let req = LinkRequest::Control(req);
    let mut stream = links.open(ledger, LinkRole::Ledger, &req).expect("stream");
    stream.recv().expect("reply")
}

fn order(id: &str, action: Action) -> ControlRequest {
    ControlRequest::Command(Box::new(OperatorCommand {
        id: ChangeId(id.into()),
        cause: "test".into(),
        action,
        dry_run: false,
    }))
}

#[test]
fn a_key_is_accepted_only_in_its_own_role() {
    use LinkRole::{Entry, Ledger, Operator, Sidecar};
    let (running, _engine) = start(EngineSettings::default());
    let ledger = running.ledger.link_addr().expect("address");
    let sidecar = running.sidecar.link_addr().expect("address");
    let program = ProgramId::root(1);
    let heartbeat = Heartbeat {
        upstream: UpstreamId::of("engine-1"),
        incarnation: Incarnation(1),
        sequence: 1,
        acked: 0,
        state: UpstreamState::Serving,
        load: Load::default(),
    };
    let poll = ControlRequest::Poll {
        daemon: "x".into(),
        poll: Poll::default(),
    };
    let quarantine = ControlRequest::Quarantine {
        id: ChangeId("q".into()),
        digest: ContentDigest::of(&[b"x"]),
        until_ms: 0,
        cause: "x".into(),
    };
    let query_permit = SidecarRequest::QueryPermit(PermitId::default(), Incarnation(1));
    let show = LedgerRequest::Show(program, AccountId::of("a"));
    let cases = [
        (
            ledger,
            Ledger,
            LinkRequest::Ledger(show),
            vec![Entry, Sidecar],
        ),
        (
            ledger,
            Ledger,
            LinkRequest::Members(MembersRequest::Heartbeat(heartbeat)),
            vec![Sidecar],
        ),
        (
            ledger,
            Ledger,
            LinkRequest::Control(poll),
            vec![Entry, Sidecar, Ledger],
        ),
        (
            ledger,
            Ledger,
            LinkRequest::Control(quarantine),
            vec![Entry, Ledger],
        ),
        (
            ledger,
            Ledger,
            LinkRequest::Control(ControlRequest::Image),
            vec![Operator],
        ),
        (
            ledger,
            Ledger,
            LinkRequest::Control(ControlRequest::Status),
            vec![Operator],
        ),
        (
            ledger,
            Ledger,
            LinkRequest::Control(ControlRequest::Members),
            vec![Operator],
        ),
        (
            ledger,
            Ledger,
            LinkRequest::Control(order("d", Action::Drain("x".into()))),
            vec![Operator],
        ),
        (
            sidecar,
            Sidecar,
            LinkRequest::Sidecar(query_permit),
            vec![Entry],
        ),
    ];
    for role in LinkRole::ALL {
        let links = links(&running, role);
        for (addr, server, req, allowed) in &cases {
            let answered = is_answered(&links, *addr, *server, req);
            assert_eq!(answered, allowed.contains(&role), "{role} asks {req:?}");
        }
    }
}

#[test]
fn a_drained_upstream_refuses_new_calls_and_finishes_running_ones() {
    // A slow engine, so that the call still runs during the drain.
    let (running, engine) = start(EngineSettings {
        token_gap: Duration::from_millis(200),
        ..EngineSettings::default()
    });
    let (addr, ledger) = (running.addr(), running.ledger.link_addr().expect("address"));
    let operator = links(&running, LinkRole::Operator);
    let running_call = thread::spawn(move || post(addr, KEY, &completion(false)));
    wait_for("the engine runs the call", || engine.counts().running == 1);

    let drained = control(
        &operator,
        ledger,
        order("d-1", Action::Drain("engine-1".into())),
    );
    assert!(
        matches!(drained, ControlReply::Command(Ok(_))),
        "{drained:?}"
    );
    wait_for("the sidecar has the configuration with the drain", || {
        running.sidecar.config_index() >= ConfigIndex(3)
    });
    let started = engine.counts().started;
    let (status, text) = post_once(addr, KEY, &completion(false));
    assert_eq!(status, 503, "{text}");
    assert!(text.contains(r#""not_run":true"#), "{text}");
    let (status, text) = running_call.join().expect("call");
    assert_eq!(status, 200, "{text}");
    assert_eq!(engine.counts().started, started);

    let undrained = control(
        &operator,
        ledger,
        order("d-2", Action::Undrain("engine-1".into())),
    );
    assert!(
        matches!(undrained, ControlReply::Command(Ok(_))),
        "{undrained:?}"
    );
    let began = Instant::now();
    while post_once(addr, KEY, &completion(false)).0 != 200 {
        assert!(
            began.elapsed() < WAIT_TIMEOUT,
            "the upstream still refuses calls after the undrain"
        );
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn the_directory_shows_a_draining_upstream() {
    let (running, _engine) = start(EngineSettings::default());
    let ledger = running.ledger.link_addr().expect("address");
    let operator = links(&running, LinkRole::Operator);
    control(
        &operator,
        ledger,
        order("d-1", Action::Drain("engine-1".into())),
    );
    wait_for("the directory shows the upstream as draining", || {
        let reply = control(&operator, ledger, ControlRequest::Members);
        let ControlReply::Members(rows) = reply else {
            panic!("{reply:?}");
        };
        rows.iter().any(|row| row.state == UpstreamState::Draining)
    });
}

#[test]
fn an_entry_without_a_configuration_reports_the_reason() {
    let keys = quay_link::DevelopmentKeys::generate().expect("keys");
    // A socket that never replies stands for a ledger behind a network partition.
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("socket");
    let settings = sapphirequayd::Settings {
        entry: Some(EntrySettings::default()),
        ..common::settings("entry-1", &[silent.local_addr().expect("address")])
    };
    let identity = keys.identity(LinkRole::Entry).expect("identity");
    let entry = Daemon::start(&settings, identity).expect("entry");
    let addr = entry.callers_addr().expect("address");
    wait_for("the entry reports the unreachable control group", || {
        let (status, text) = post_once(addr, KEY, &completion(false));
        assert_eq!(status, 503, "{text}");
        assert!(text.contains(r#""kind":"config_stale""#), "{text}");
        assert!(text.contains(r#""not_run":true"#), "{text}");
        text.contains("no host of the control group answers")
    });
    assert_eq!(common::get(addr, "/healthz").0, 503);
}

#[test]
fn requests_under_an_old_configuration_are_refused_after_the_grace_period() {
    let (running, _engine) = start(EngineSettings::default());
    let ledger = running.ledger.link_addr().expect("address");
    let operator = links(&running, LinkRole::Operator);
    let entry = links(&running, LinkRole::Entry);
    let ControlReply::Image(image) = control(&operator, ledger, ControlRequest::Image) else {
        panic!("no image");
    };
    let platform = &image.sections["platform"];
    let change = Action::Change {
        section: "platform".into(),
        base: SectionRevision {
            version: platform.version,
            digest: platform.digest,
        },
        text: platform
            .text
            .replacen(
                "[platform.owners]",
                "[platform]\ngrace_s = 1\n[platform.owners]",
                1,
            )
            .into(),
    };
    let changed = control(&operator, ledger, order("c-1", change));
    assert!(
        matches!(changed, ControlReply::Command(Ok(_))),
        "{changed:?}"
    );
    let begin = |n: u64, config| quay_types::Begin {
        program: ProgramId::root(n),
        account: AccountId::of("a"),
        implicit: Some(quay_types::ProgramLimits::default()),
        number: None,
        key: RequestKey(u128::from(n)),
        digest: ContentDigest::of(&[b"x"]),
        reserve: quay_types::Tokens(1),
        idempotent: true,
        upstream: (UpstreamId::of("engine-1"), Incarnation(1)),
        config,
        prompt: Box::default(),
    };
    let ask = |n, config| -> LedgerReply {
        let req = LinkRequest::Ledger(LedgerRequest::Begin(begin(n, config)));
        let mut stream = entry.open(ledger, LinkRole::Ledger, &req).expect("stream");
        stream.recv().expect("reply")
    };
    let mut n = 0;
    wait_for("the old configuration index is refused", || {
        n += 1;
        format!("{:?}", ask(n, ConfigIndex(1))).contains("ConfigStale")
    });
    let fresh = format!("{:?}", ask(1_000, changed_index(&changed)));
    assert!(fresh.contains("Granted"), "{fresh}");
}

fn changed_index(reply: &ControlReply) -> ConfigIndex {
    match reply {
        ControlReply::Command(Ok(accepted)) => accepted.index,
        other => panic!("{other:?}"),
    }
}

#[test]
fn quarantined_content_is_refused_until_it_is_cleared() {
    let (running, _engine) = start(EngineSettings::default());
    let (addr, ledger) = (running.addr(), running.ledger.link_addr().expect("address"));
    let operator = links(&running, LinkRole::Operator);
    let entry = links(&running, LinkRole::Entry);
    let body = completion(false);
    assert_eq!(post(addr, KEY, &body).0, 200);
    let model = quay_types::ModelId::of("m").0.to_le_bytes();
    let digest = ContentDigest::of(&[&model, body.as_bytes()]);
    let quarantine = ControlRequest::Quarantine {
        id: ChangeId("q-1".into()),
        digest,
        until_ms: u64::MAX,
        cause: "two crashes".into(),
    };
    control(&entry, ledger, quarantine);
    wait_for("the entry refuses the content", || {
        post_once(addr, KEY, &body).0 == 422
    });
    control(
        &operator,
        ledger,
        order("q-2", Action::ClearQuarantine(Some(digest))),
    );
    wait_for("the content is accepted again", || {
        post_once(addr, KEY, &body).0 == 200
    });
}
