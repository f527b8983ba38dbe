//! `sapphirequay group`: shows and changes the membership of a replicated
//! group.

use {
    gumdrop::Options,
    quay_link::{KeyFiles, LinkRole, Links},
    quay_quorum::{Member, Membership, MembershipChange, placement_advice},
    quay_types::{GroupId, NodeId},
    sapphirequayd::{LinkRequest, QuorumReply, QuorumRequest},
    std::{error::Error, net::SocketAddr, path::PathBuf},
};

/// Arguments of `group`.
#[derive(Debug, Options)]
pub struct GroupArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "link address of a host of the group", meta = "ADDR")]
    host: Option<SocketAddr>,
    #[options(
        help = "folder that holds the root certificate and operator keys",
        meta = "DIR"
    )]
    keys: PathBuf,
    #[options(
        help = "operator whose keys to show to the host; default: operator.pem",
        meta = "NAME"
    )]
    operator: Option<String>,
    #[options(help = "number of the group; 0 is the control group", default = "0")]
    number: u16,
    #[options(command)]
    command: Option<GroupCommand>,
}

/// Subcommands of `group`.
#[derive(Debug, Options)]
enum GroupCommand {
    #[options(help = "print the state of the host's replica")]
    Status(StatusArgs),
    #[options(help = "add a host as a learner, without a vote")]
    Add(AddArgs),
    #[options(help = "make a learner that has caught up a voter")]
    Promote(NodeArgs),
    #[options(help = "remove a host from the group")]
    Remove(NodeArgs),
}

/// Arguments of `group status`.
#[derive(Debug, Options)]
struct StatusArgs {
    #[options(help = "print this help")]
    help: bool,
}

/// Arguments of `group add`.
#[derive(Debug, Options)]
struct AddArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "node identity of the host, from its log")]
    node: u64,
    #[options(free, required, help = "link address of the host")]
    addr: Option<SocketAddr>,
    #[options(free, help = "data centre of the host")]
    data_centre: String,
}

/// Arguments of `group promote` and `group remove`.
#[derive(Debug, Options)]
struct NodeArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "node identity of the host")]
    node: u64,
}

/// Dispatches to the given subcommand.
pub fn run(args: GroupArgs) -> Result<(), Box<dyn Error>> {
    let group = GroupId(args.number);
    let req = match args.command {
        Some(GroupCommand::Status(_)) => QuorumRequest::Status(group),
        Some(GroupCommand::Add(add)) => {
            let addr = add
                .addr
                .ok_or("missing argument: link address of the host")?;
            let member = Member::new(NodeId(add.node), addr, add.data_centre);
            QuorumRequest::Change(group, MembershipChange::AddLearner(member))
        }
        Some(GroupCommand::Promote(of)) => {
            QuorumRequest::Change(group, MembershipChange::Promote(NodeId(of.node)))
        }
        Some(GroupCommand::Remove(of)) => {
            QuorumRequest::Change(group, MembershipChange::Remove(NodeId(of.node)))
        }
        None => return Err("missing subcommand; see --help".into()),
    };
    let host = args.host.ok_or("missing option: --host ADDR")?;
    let files = match &args.operator {
        Some(name) => KeyFiles::for_operator(&args.keys, name),
        None => KeyFiles::for_role(&args.keys, LinkRole::Operator),
    };
    let links = Links::connect_only(files.load()?)?;
    let reply = links
        .open(host, LinkRole::Ledger, &LinkRequest::Quorum(req))?
        .recv()?;
    print_reply(group, reply)
}

/// Prints the reply of a host; fails if the change was not committed.
fn print_reply(group: GroupId, reply: QuorumReply) -> Result<(), Box<dyn Error>> {
    match reply {
        QuorumReply::Status {
            node,
            leader,
            term,
            commit,
            last,
            members,
        } => {
            let leader = leader.map_or("unknown".to_owned(), |leader| leader.to_string());
            println!(
                "group={group} node={node} leader={leader} term={term} commit={commit} last={last}"
            );
            print_members(&members);
            Ok(())
        }
        QuorumReply::Changed => {
            println!("group={group} changed");
            Ok(())
        }
        QuorumReply::Unknown => {
            Err("outcome unknown: the change was proposed and may still be committed; check group status".into())
        }
        QuorumReply::Refused(text) => Err(format!("refused: {text}").into()),
    }
}

/// Prints the members and advice on their placement over data centres.
fn print_members(members: &Membership) {
    for member in members.all() {
        let kind = if members.is_voter(member.node) {
            "voter"
        } else {
            "learner"
        };
        println!(
            "member={} kind={kind} addr={} data_centre={}",
            member.node, member.addr, member.data_centre
        );
    }
    for advice in placement_advice(members) {
        println!("advice=\"{advice}\"");
    }
}
