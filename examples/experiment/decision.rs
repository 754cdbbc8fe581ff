//! The decisions under comparison and their variants.

use clap::ValueEnum;
use flamingocroft::policy::allocate::Method;

/// A decision under comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Decision {
    Route,
    Home,
    Weights,
    Admit,
    Allocate,
    Retry,
    Place,
}

/// How an instance is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    RoundRobin,
    LeastReported,
    Cost,
}

/// The key whose hash selects the home instance of a conversation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeKey {
    /// The first so many blocks of the prompt.
    Blocks(usize),
    /// The opening of the conversation, up to and including the caller's first message.
    Opening,
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionPolicy {
    AcceptAll,
    DeadlineAndShare,
    /// Like `DeadlineAndShare`, and cancels free requests in progress in favour of paying ones.
    Preempting,
}

/// How failed requests are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    AlwaysAtOnce,
    Budget,
}

/// Where instances run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The site's current number of instances, spread evenly over its zones.
    CurrentFleet,
    OnDemandOnly,
    CheapestOnly,
    Planned,
}

/// The chosen variant of each decision.
#[derive(Clone, Copy, Debug)]
pub struct Policies {
    pub routing: RoutingPolicy,
    pub home: HomeKey,
    pub admission: AdmissionPolicy,
    pub method: Method,
    pub retry: RetryPolicy,
    pub placement: PlacementPolicy,
    /// Overrides the site's cost of a queued request, in milliseconds.
    pub queued_ms: Option<f64>,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            routing: RoutingPolicy::Cost,
            home: HomeKey::Opening,
            admission: AdmissionPolicy::Preempting,
            method: Method::default(),
            retry: RetryPolicy::Budget,
            placement: PlacementPolicy::CurrentFleet,
            queued_ms: None,
        }
    }
}

impl Decision {
    /// All decisions.
    pub const ALL: [Self; 7] = [
        Self::Route,
        Self::Home,
        Self::Weights,
        Self::Admit,
        Self::Allocate,
        Self::Retry,
        Self::Place,
    ];

    /// Returns its name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Home => "home",
            Self::Weights => "weights",
            Self::Admit => "admit",
            Self::Allocate => "allocate",
            Self::Retry => "retry",
            Self::Place => "place",
        }
    }

    /// Returns the variants with their names, the baseline first.
    pub fn variants(self) -> Vec<(&'static str, Policies)> {
        let default = Policies::default();
        let route = |routing| Policies { routing, ..default };
        let home = |blocks| Policies {
            home: HomeKey::Blocks(blocks),
            ..default
        };
        let weigh = |ms| Policies {
            queued_ms: Some(ms),
            ..default
        };
        let admit = |admission| Policies {
            admission,
            ..default
        };
        let allocate = |method| Policies { method, ..default };
        let retry = |retry| Policies { retry, ..default };
        let place = |placement| Policies {
            placement,
            ..default
        };
        match self {
            Self::Route => vec![
                ("round robin", route(RoutingPolicy::RoundRobin)),
                ("least reported", route(RoutingPolicy::LeastReported)),
                ("cost", route(RoutingPolicy::Cost)),
            ],
            Self::Home => vec![
                ("1 block", home(1)),
                ("4 blocks", home(4)),
                ("12 blocks", home(12)),
                (
                    "opening",
                    Policies {
                        home: HomeKey::Opening,
                        ..default
                    },
                ),
            ],
            Self::Weights => vec![
                ("300 ms queued", weigh(300.0)),
                ("100 ms queued", weigh(100.0)),
                ("200 ms queued", weigh(200.0)),
                ("400 ms queued", weigh(400.0)),
            ],
            Self::Admit => vec![
                ("accept all", admit(AdmissionPolicy::AcceptAll)),
                (
                    "deadline and share",
                    admit(AdmissionPolicy::DeadlineAndShare),
                ),
                ("with preemption", admit(AdmissionPolicy::Preempting)),
            ],
            Self::Allocate => vec![
                ("equal", allocate(Method::Equal)),
                ("by demand", allocate(Method::ByDemand)),
                ("headroom", allocate(Method::Headroom)),
            ],
            Self::Retry => vec![
                ("always at once", retry(RetryPolicy::AlwaysAtOnce)),
                ("budget", retry(RetryPolicy::Budget)),
            ],
            Self::Place => vec![
                ("cheapest only", place(PlacementPolicy::CheapestOnly)),
                ("on-demand only", place(PlacementPolicy::OnDemandOnly)),
                ("planned", place(PlacementPolicy::Planned)),
            ],
        }
    }
}
