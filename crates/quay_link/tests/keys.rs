//! Tests of certificates: roles, holders' names, key reload and root rotation.

use {
    quay_link::{DevelopmentKeys, Incoming, KeyFiles, LinkError, LinkRole, LinkSettings, Links},
    std::{net::SocketAddr, thread},
};

/// Starts a ledger that replies to each text with the certificate name of the
/// sender, its number of roles and the text.
fn start_server(keys: &DevelopmentKeys) -> (Links, SocketAddr) {
    let settings = LinkSettings {
        listen: Some(SocketAddr::from(([127, 0, 0, 1], 0))),
        ..LinkSettings::new(keys.identity(LinkRole::Ledger).expect("identity"))
    };
    let links = Links::start(settings, |incoming| {
        thread::spawn(move || echo(incoming));
    });
    let links = links.expect("server");
    let addr = links.local_addr().expect("address");
    (links, addr)
}

fn echo(mut incoming: Incoming) {
    let mut text: String = incoming.first.decode().expect("text");
    loop {
        let holder = incoming.holder.clone();
        let reply = (holder, incoming.roles.len(), text);
        if incoming.stream.send(&reply).is_err() {
            return;
        }
        match incoming.stream.recv() {
            Ok(next) => text = next,
            Err(_) => return,
        }
    }
}

/// Holder's name, number of roles, text.
type Echo = (Option<Box<str>>, usize, String);

fn request_echo(links: &Links, addr: SocketAddr, text: &str) -> Result<Echo, LinkError> {
    links.open(addr, LinkRole::Ledger, &text)?.recv()
}

#[test]
fn a_certificate_contains_role_and_name() {
    let keys = DevelopmentKeys::generate().expect("keys");
    let (_server, addr) = start_server(&keys);
    let ada = keys.named_identity(LinkRole::Operator, "ada");
    let ada = Links::connect_only(ada.expect("identity")).expect("client");
    let (holder, roles, _) = request_echo(&ada, addr, "hi").expect("reply");
    assert_eq!((holder.as_deref(), roles), (Some("ada"), 1));
    // The server's certificate does not contain the sidecar role.
    let wrong = ada.open(addr, LinkRole::Sidecar, &"hi");
    assert!(matches!(wrong, Err(LinkError::Connect(_))), "{wrong:?}");
    for name in ["", "Ada", "a.b", "a b", "ä"] {
        assert!(keys.named_identity(LinkRole::Operator, name).is_err());
    }
}

#[test]
fn keys_are_reloaded_without_a_restart() {
    let old = DevelopmentKeys::generate().expect("keys");
    let new = DevelopmentKeys::generate().expect("keys");
    let (server, addr) = start_server(&old);
    let identity = |keys: &DevelopmentKeys| keys.identity(LinkRole::Entry).expect("identity");
    let client = Links::connect_only(identity(&old)).expect("client");
    let mut running = client.open(addr, LinkRole::Ledger, &"one").expect("stream");
    running.recv::<Echo>().expect("reply");

    server
        .reload(new.identity(LinkRole::Ledger).expect("identity"))
        .expect("reload");
    // Streams in progress continue; new connections need the new keys.
    running.send(&"two").expect("send");
    assert_eq!(running.recv::<Echo>().expect("reply").2, "two");
    let stale = Links::connect_only(identity(&old)).expect("client");
    assert!(request_echo(&stale, addr, "hi").is_err());
    stale.reload(identity(&new)).expect("reload");
    assert_eq!(request_echo(&stale, addr, "hi").expect("reply").2, "hi");
    client.reload(identity(&new)).expect("reload");
    assert_eq!(request_echo(&client, addr, "hi").expect("reply").2, "hi");
    running.send(&"three").expect("send");
    assert_eq!(running.recv::<Echo>().expect("reply").2, "three");
}

#[test]
fn two_roots_are_trusted_while_one_replaces_the_other() {
    let dir = tempfile::tempdir().expect("folder");
    let (old, new) = (dir.path().join("old"), dir.path().join("new"));
    for folder in [&old, &new] {
        let keys = DevelopmentKeys::generate().expect("keys");
        keys.write(folder, &["ada"]).expect("files");
    }
    let read = |path| std::fs::read_to_string(path).expect("file");
    let combined = read(old.join("root.pem")) + &read(new.join("root.pem"));
    std::fs::write(old.join("root.pem"), combined).expect("file");

    let files = KeyFiles::for_role(&old, LinkRole::Ledger);
    let settings = LinkSettings {
        listen: Some(SocketAddr::from(([127, 0, 0, 1], 0))),
        ..LinkSettings::new(files.load().expect("identity"))
    };
    let links = Links::start(settings, |incoming| {
        thread::spawn(move || echo(incoming));
    });
    let links = links.expect("server");
    let addr = links.local_addr().expect("address");
    // The client must trust the old root, which issued the server's
    // certificate.
    std::fs::copy(old.join("root.pem"), new.join("root.pem")).expect("file");
    let client = KeyFiles::for_operator(&new, "ada")
        .load()
        .expect("identity");
    let client = Links::connect_only(client).expect("client");
    let (holder, ..) = request_echo(&client, addr, "hi").expect("reply");
    assert_eq!(holder.as_deref(), Some("ada"));
}
