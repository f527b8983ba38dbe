//! The policies that are compared, one type each.

use {
    super::{scenario::Scenario, stats::Stats, world::World},
    quay_policy::{
        AdaptiveLimit, AdmissionSettings, ExpectedTime, FixedLimit, LeastLoad, LongestPrefix,
        Policy, PolicySettings, RetentionSettings, RetrySettings, RouteSettings,
    },
    std::time::Duration,
};

/// Declares policies, and the table of their names.
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

        /// Names of all policies, in the order of reports.
        pub const POLICY_NAMES: &[&str] = &[ $( $policy::NAME, )* ];

        /// Runs the policy of that name; `None` if there is none.
        #[must_use]
        pub fn run_policy(name: &str, scenario: &Scenario, seed: u64) -> Option<Stats> {
            match name {
                $( $name => Some(World::<$policy>::new(scenario, seed).run()), )*
                _ => None,
            }
        }
    };
}

policies! {
    /// The baseline.
    ArrivalLeastLoad => "arrival order + least load", LeastLoad, FixedLimit, baseline();
    /// The baseline with the usual cure for wasted cache.
    ArrivalLongestPrefix => "arrival order + prefix affinity", LongestPrefix, FixedLimit, baseline();
    /// Every part.
    Full => "the policy", ExpectedTime, AdaptiveLimit, PolicySettings::default();
    /// Upstreams are chosen with no regard to what they hold.
    NoPrefix => "less prefix", ExpectedTime, AdaptiveLimit, route(RouteSettings {
        prefix_weight: 0,
        prefix_per_running: 0,
        home_weight: 0,
        ..RouteSettings::default()
    });
    /// Programs have no home that entries agree on.
    NoHome => "less home", ExpectedTime, AdaptiveLimit, route(RouteSettings {
        home_weight: 0,
        ..RouteSettings::default()
    });
    /// Load is taken as reported.
    NoCorrection => "less load correction", ExpectedTime, AdaptiveLimit, route(RouteSettings {
        correct_load: false,
        ..RouteSettings::default()
    });
    /// The best upstream is always taken, however small its lead.
    NoSpread => "less spread", ExpectedTime, AdaptiveLimit, route(RouteSettings {
        spread: Duration::ZERO,
        ..RouteSettings::default()
    });
    /// Sub-agents wait like others.
    NoLead => "less sub-agent lead", ExpectedTime, AdaptiveLimit, admit(AdmissionSettings {
        sub_agent_lead: Duration::ZERO,
        ..AdmissionSettings::default()
    });
    /// Accounts have no share.
    NoShare => "less account share", ExpectedTime, AdaptiveLimit, admit(AdmissionSettings {
        account_share_permille: 0,
        ..AdmissionSettings::default()
    });
    /// Accounts may have any number of calls in progress.
    NoSlices => "less account slices", ExpectedTime, AdaptiveLimit, PolicySettings {
        account_calls: 0,
        ..PolicySettings::default()
    };
    /// Nothing is refused while the queue has room.
    NoShedding => "less shedding", ExpectedTime, AdaptiveLimit, admit(AdmissionSettings {
        shed_new_after: Duration::ZERO,
        ..AdmissionSettings::default()
    });
    /// The engine is given all that comes.
    NoLimit => "less learned limit", ExpectedTime, FixedLimit, PolicySettings::default();
    /// KV memory stays with ended programs until it is evicted.
    NoRelease => "less release", ExpectedTime, AdaptiveLimit, retain(RetentionSettings {
        release: false,
        ..RetentionSettings::default()
    });
    /// KV memory stays with paused programs until it is evicted.
    NoExport => "less export", ExpectedTime, AdaptiveLimit, retain(RetentionSettings {
        export_after: Duration::ZERO,
        ..RetentionSettings::default()
    });
    /// Requests that crash upstreams are not told apart.
    NoQuarantine => "less quarantine", ExpectedTime, AdaptiveLimit, PolicySettings {
        quarantine: false,
        ..PolicySettings::default()
    };
    /// Each lost call is sent again at once.
    NoRetryBudget => "less retry budget", ExpectedTime, AdaptiveLimit, PolicySettings {
        retry: unlimited_retries(),
        ..PolicySettings::default()
    };
}

/// Arrival order with nothing else.
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

/// A budget that never runs out.
const fn unlimited_retries() -> RetrySettings {
    RetrySettings {
        share_permille: 1_000_000,
        burst: 1_000_000,
    }
}

fn route(route: RouteSettings) -> PolicySettings {
    PolicySettings {
        route,
        ..PolicySettings::default()
    }
}

fn admit(admit: AdmissionSettings) -> PolicySettings {
    PolicySettings {
        admit,
        ..PolicySettings::default()
    }
}

fn retain(retain: RetentionSettings) -> PolicySettings {
    PolicySettings {
        retain,
        ..PolicySettings::default()
    }
}
