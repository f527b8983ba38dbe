//! The compared policies, with one type for each.

use {
    super::{scenario::Scenario, simulation::Simulation, stats::Stats},
    quay_policy::{
        AdaptiveLimit, AdmissionSettings, ExpectedTime, FixedLimit, LeastLoad, LongestPrefix,
        Policy, PolicySettings, RetentionSettings, RetrySettings, RouteSettings,
    },
    std::time::Duration,
};

/// Declares the policy types, the list of their names and the dispatch by name.
macro_rules! policies {
    ($( $(#[$doc:meta])* $policy:ident => $name:literal, $score:ty, $limit:ty, $settings:expr; )*) => {
        $(
            $(#[$doc])*
            struct $policy;

            impl Policy for $policy {
                type Score = $score;
                type Limit = $limit;

                const NAME: &'static str = $name;

                fn settings() -> PolicySettings {
                    $settings
                }
            }
        )*

        /// Names of all policies, in the order in which reports list them.
        pub const POLICY_NAMES: &[&str] = &[ $( $policy::NAME, )* ];

        /// Simulates the scenario with the named policy; returns `None` if no
        /// policy has this name.
        #[must_use]
        pub fn run_policy(name: &str, scenario: &Scenario, seed: u64) -> Option<Stats> {
            match name {
                $( $name => Some(Simulation::<$policy>::new(scenario, seed).run()), )*
                _ => None,
            }
        }
    };
}

policies! {
    /// Baseline: arrival order, and the upstream with the least load.
    ArrivalLeastLoad => "arrival order + least load", LeastLoad, FixedLimit, baseline();
    /// Baseline with prefix-aware routing, the usual way to avoid recomputing
    /// cached prompts.
    ArrivalLongestPrefix => "arrival order + prefix affinity", LongestPrefix, FixedLimit, baseline();
    /// The full policy with all mechanisms enabled.
    Full => "the policy", ExpectedTime, AdaptiveLimit, PolicySettings::default();
    /// Routing ignores the prefix caches of the upstreams.
    NoPrefix => "less prefix", ExpectedTime, AdaptiveLimit, with_route(RouteSettings {
        prefix_weight: 0,
        prefix_per_running: 0,
        home_weight: 0,
        ..RouteSettings::default()
    });
    /// Programs have no preferred upstream that all entries agree on.
    NoHomeUpstream => "less home", ExpectedTime, AdaptiveLimit, with_route(RouteSettings {
        home_weight: 0,
        ..RouteSettings::default()
    });
    /// Routing uses the reported load without corrections for its age.
    NoCorrection => "less load correction", ExpectedTime, AdaptiveLimit, with_route(RouteSettings {
        correct_load: false,
        ..RouteSettings::default()
    });
    /// The best upstream is always chosen, even if others score almost as well.
    NoSpread => "less spread", ExpectedTime, AdaptiveLimit, with_route(RouteSettings {
        spread: Duration::ZERO,
        ..RouteSettings::default()
    });
    /// Sub-agents have no priority over root programs in the queue.
    NoSubAgentLead => "less sub-agent lead", ExpectedTime, AdaptiveLimit, with_admission(AdmissionSettings {
        sub_agent_lead: Duration::ZERO,
        ..AdmissionSettings::default()
    });
    /// Accounts have no share that limits their use of an upstream.
    NoAccountShare => "less account share", ExpectedTime, AdaptiveLimit, with_admission(AdmissionSettings {
        account_share_permille: 0,
        ..AdmissionSettings::default()
    });
    /// The number of calls in progress of an account is unlimited.
    NoAccountQuota => "less account slices", ExpectedTime, AdaptiveLimit, PolicySettings {
        account_calls: 0,
        ..PolicySettings::default()
    };
    /// Calls are refused only when the queue is full.
    NoShedding => "less shedding", ExpectedTime, AdaptiveLimit, with_admission(AdmissionSettings {
        shed_new_after: Duration::ZERO,
        ..AdmissionSettings::default()
    });
    /// The concurrency limit of an engine stays at its maximum.
    NoAdaptiveLimit => "less learned limit", ExpectedTime, FixedLimit, PolicySettings::default();
    /// KV blocks of ended programs remain in memory until they are evicted.
    NoRelease => "less release", ExpectedTime, AdaptiveLimit, with_retention(RetentionSettings {
        release: false,
        ..RetentionSettings::default()
    });
    /// KV blocks of paused programs remain in memory until they are evicted.
    NoExport => "less export", ExpectedTime, AdaptiveLimit, with_retention(RetentionSettings {
        export_after: Duration::ZERO,
        ..RetentionSettings::default()
    });
    /// Requests suspected of crashing upstreams are not quarantined.
    NoQuarantine => "less quarantine", ExpectedTime, AdaptiveLimit, PolicySettings {
        quarantine: false,
        ..PolicySettings::default()
    };
    /// Every lost call is retried immediately.
    NoRetryBudget => "less retry budget", ExpectedTime, AdaptiveLimit, PolicySettings {
        retry: unlimited_retries(),
        ..PolicySettings::default()
    };
}

/// Returns settings that disable every optional mechanism.
fn baseline() -> PolicySettings {
    PolicySettings {
        route: RouteSettings {
            spread: Duration::ZERO,
            home_weight: 0,
            ..RouteSettings::default()
        },
        admit: AdmissionSettings {
            max_limit: 100_000,
            max_queued: 100_000,
            sub_agent_lead: Duration::ZERO,
            account_share_permille: 0,
            shed_new_after: Duration::ZERO,
            ..AdmissionSettings::default()
        },
        retain: RetentionSettings {
            export_after: Duration::ZERO,
            release: false,
            ..RetentionSettings::default()
        },
        retry: unlimited_retries(),
        account_calls: 0,
        quarantine: false,
    }
}

/// Returns a retry budget that is never exhausted.
const fn unlimited_retries() -> RetrySettings {
    RetrySettings {
        share_permille: 1_000_000,
        burst: 1_000_000,
    }
}

fn with_route(route: RouteSettings) -> PolicySettings {
    PolicySettings {
        route,
        ..PolicySettings::default()
    }
}

fn with_admission(admit: AdmissionSettings) -> PolicySettings {
    PolicySettings {
        admit,
        ..PolicySettings::default()
    }
}

fn with_retention(retain: RetentionSettings) -> PolicySettings {
    PolicySettings {
        retain,
        ..PolicySettings::default()
    }
}
