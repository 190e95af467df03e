//! An in-memory configuration store that can fail on request.

use std::sync::{Arc, Mutex};

use lw_console::backend::{
    AuditOutcome, AuditRow, Backend, BackendError, PublishCommand, PublishOutcome, StatusRow,
    StoredDocument,
};
use lw_doc::{Document, SourceMap, changes_between, validate};
use uuid::Uuid;

const GATEWAY: &str = "127.0.0.1:8080";

/// How the store responds to the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum FailureMode {
    #[default]
    Works,
    Down,
    Refuses,
    /// Publishes the next document, but reports an unknown outcome.
    LosesReply,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) revisions: Vec<StoredDocument>,
    pub(crate) rows: Vec<AuditRow>,
    pub(crate) operations: Vec<(Uuid, u64)>,
    pub(crate) failure_mode: FailureMode,
    pub(crate) lowest_stored_revision: u64,
}

#[derive(Default)]
pub(crate) struct Store(Mutex<State>);

impl Store {
    pub(crate) fn new(document: Document) -> Arc<Self> {
        let store = Self::default();
        store
            .state()
            .revisions
            .push(StoredDocument::new(1, document));
        Arc::new(store)
    }

    pub(crate) fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no thread panicked while it held the lock")
    }

    pub(crate) fn head(&self) -> StoredDocument {
        self.state()
            .revisions
            .last()
            .expect("a first revision")
            .clone()
    }

    pub(crate) fn set_failure_mode(&self, failure_mode: FailureMode) {
        self.state().failure_mode = failure_mode;
    }

    pub(crate) fn backend(self: &Arc<Self>) -> Backend {
        let (current, revision, publish, audit) =
            (self.clone(), self.clone(), self.clone(), self.clone());
        Backend {
            current: Arc::new(move || {
                let result = current.read(|state| state.revisions.last().cloned());
                Box::pin(async move { result.map(|found| found.expect("a first revision")) })
            }),
            revision: Arc::new(move |number| {
                let result = revision.read(|state| {
                    let stored = state
                        .revisions
                        .iter()
                        .filter(|r| r.revision >= state.lowest_stored_revision);
                    stored.clone().find(|r| r.revision == number).cloned()
                });
                Box::pin(async move { result })
            }),
            publish: Arc::new(move |command| {
                let outcome = publish.publish(command);
                Box::pin(async move { outcome })
            }),
            audit: Arc::new(move |limit| {
                let result =
                    audit.read(|state| state.rows.iter().rev().take(limit).cloned().collect());
                Box::pin(async move { result })
            }),
            status: Arc::new(|| {
                vec![StatusRow {
                    host: "host-1".into(),
                    region: "gujarat-east".into(),
                    zone: "ahmedabad-1".into(),
                    state: "alive".into(),
                    revision: Some(1),
                }]
            }),
            gateway_addresses: Arc::new(|| vec![GATEWAY.parse().expect("an address")]),
        }
    }

    fn read<T>(&self, read: impl Fn(&State) -> T) -> Result<T, BackendError> {
        let state = self.state();
        if state.failure_mode == FailureMode::Down {
            let message = "the key-value service does not answer".to_owned();
            return Err(BackendError { message });
        }
        Ok(read(&state))
    }

    fn publish(&self, command: PublishCommand) -> PublishOutcome {
        let mut state = self.state();
        let gateway = [GATEWAY.parse().expect("an address")];
        let faults = validate(&command.document, &SourceMap::default(), &gateway);
        assert_eq!(faults, [], "the console published an invalid document");
        let known = state
            .operations
            .iter()
            .find(|(known, _)| *known == command.operation);
        if let Some((_, revision)) = known {
            return PublishOutcome::Published {
                revision: *revision,
            };
        }
        let head = state.revisions.last().expect("a first revision").clone();
        let reason = "the key-value service does not answer".to_owned();
        if state.failure_mode == FailureMode::Refuses {
            return PublishOutcome::Refused { reason, faults };
        }
        if (command.base_revision, command.base_digest) != (head.revision, head.digest) {
            return PublishOutcome::Conflict { head };
        }
        let revision = head.revision + 1;
        let paths = changes_between(&head.document, &command.document);
        state.rows.push(AuditRow {
            at: command.now,
            operator: command.operator,
            base_revision: head.revision,
            outcome: AuditOutcome::Published { revision },
            changed_paths: Some(paths.into_iter().map(|change| change.path).collect()),
        });
        state.operations.push((command.operation, revision));
        state
            .revisions
            .push(StoredDocument::new(revision, command.document));
        if state.failure_mode == FailureMode::LosesReply {
            state.failure_mode = FailureMode::Works;
            return PublishOutcome::Unknown { reason };
        }
        PublishOutcome::Published { revision }
    }
}

impl Store {
    pub(crate) fn add_row(&self, row: AuditRow) {
        self.state().rows.push(row);
    }
}
