//! Tests of client accounts and their keys.

use {
    quay_routes::{Account, AccountTable, KeyDigest, RoutingTable, TableError},
    std::iter,
};

fn account(name: &str, keys: &[&str]) -> Account {
    Account {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key)).collect(),
        ..Account::default()
    }
}

/// Guards against requests that run for an account that does not hold their key.
#[test]
fn a_key_belongs_to_the_account_that_holds_it() {
    let table = AccountTable::new([account("a", &["one", "two"]), account("b", &["three"])]);
    assert_eq!(table.check(), Ok(()));
    let holder = |key: &str| table.find(&KeyDigest::of(key)).map(|it| &*it.name);
    assert_eq!(holder("two"), Some("a"));
    assert_eq!(holder("three"), Some("b"));
    for unknown in ["", "on", "one ", "four"] {
        assert_eq!(holder(unknown), None, "{unknown:?}");
    }
}

/// Guards against configurations in which a key does not tell the account, and
/// against errors and debug output that show a key.
#[test]
fn accounts_that_share_a_key_or_a_name_are_invalid() {
    let check = |accounts: [Account; 2]| {
        let table = RoutingTable {
            accounts: AccountTable::new(accounts),
            ..RoutingTable::default()
        };
        assert!(!format!("{table:?}").contains("secret"));
        table.check().map_err(|err| err.to_string())
    };
    let shared = check([account("a", &["secret"]), account("b", &["x", "secret"])]);
    assert_eq!(shared, Err(r#"accounts "a" and "b" share a key"#.into()));
    let twice = check([account("a", &["one"]), account("a", &["two"])]);
    assert_eq!(twice, Err(r#"two accounts have the name "a""#.into()));
    let unnamed = check([account("", &["one"]), account("b", &[])]);
    assert_eq!(unnamed, Err("an account has no name".into()));
    assert_eq!(
        check([account("a", &["one", "one"]), account("b", &[])]),
        Ok(())
    );
}

/// Guards against a check that takes longer than the time for an acknowledgement.
#[test]
fn a_table_of_thousands_of_accounts_is_checked_key_by_key() {
    let names: Vec<String> = (0..3_600)
        .map(|number| format!("account-{number}"))
        .collect();
    let mut accounts: Vec<Account> = names
        .iter()
        .map(|name| account(name, &[&format!("{name}-1"), &format!("{name}-2")]))
        .collect();
    assert_eq!(AccountTable::new(accounts.clone()).check(), Ok(()));
    accounts.extend(iter::once(account("last", &["account-1800-2"])));
    let shared = AccountTable::new(accounts).check();
    let accounts = ["account-1800".into(), "last".into()];
    assert_eq!(shared, Err(TableError::SharedKey { accounts }));
}
