//! `sapphirequay group`: shows and changes the members of a replicated group.

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
    #[options(help = "folder of root and operator keys", meta = "DIR")]
    keys: PathBuf,
    #[options(
        help = "operator whose keys to show; without it operator.pem",
        meta = "NAME"
    )]
    operator: Option<String>,
    #[options(help = "number of the group; 0 is the control group", default = "0")]
    number: u16,
    #[options(command)]
    command: Option<GroupCommand>,
}

/// What to do with a group.
#[derive(Debug, Options)]
enum GroupCommand {
    #[options(help = "tell how the host's replica stands")]
    Status(StatusArgs),
    #[options(help = "add a host without a vote")]
    Add(AddArgs),
    #[options(help = "give a host that has caught up a vote")]
    Promote(NodeArgs),
    #[options(help = "take a host out")]
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
    #[options(free, required, help = "identity of the host, from its log")]
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
    #[options(free, required, help = "identity of the host")]
    node: u64,
}

/// Runs the command that was asked for.
pub fn run(args: GroupArgs) -> Result<(), Box<dyn Error>> {
    let group = GroupId(args.number);
    let req = match args.command {
        Some(GroupCommand::Status(_)) => QuorumRequest::Status(group),
        Some(GroupCommand::Add(add)) => {
            let addr = add.addr.ok_or("the link address of the host is needed")?;
            let member = Member::new(NodeId(add.node), addr, add.data_centre);
            QuorumRequest::Change(group, MembershipChange::AddLearner(member))
        }
        Some(GroupCommand::Promote(of)) => {
            QuorumRequest::Change(group, MembershipChange::Promote(NodeId(of.node)))
        }
        Some(GroupCommand::Remove(of)) => {
            QuorumRequest::Change(group, MembershipChange::Remove(NodeId(of.node)))
        }
        None => return Err("a command is needed; see --help".into()),
    };
    let host = args.host.ok_or("--host ADDR is needed")?;
    let files = match &args.operator {
        Some(name) => KeyFiles::for_operator(&args.keys, name),
        None => KeyFiles::for_role(&args.keys, LinkRole::Operator),
    };
    let links = Links::connect_only(files.load()?)?;
    let reply = links
        .open(host, LinkRole::Ledger, &LinkRequest::Quorum(req))?
        .recv()?;
    tell(group, reply)
}

/// Prints an answer.
fn tell(group: GroupId, reply: QuorumReply) -> Result<(), Box<dyn Error>> {
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
            tell_members(&members);
            Ok(())
        }
        QuorumReply::Changed => {
            println!("group={group} changed");
            Ok(())
        }
        QuorumReply::Unknown => {
            Err("the change was proposed and may yet be committed; ask for the status".into())
        }
        QuorumReply::Refused(text) => Err(format!("refused: {text}").into()),
    }
}

/// Prints members and what speaks against their places.
fn tell_members(members: &Membership) {
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
