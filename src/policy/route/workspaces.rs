//! The workspaces of a route table or a document, found by the digest of a caller's key.

use std::{
    collections::{HashMap, hash_map::Entry},
    sync::Arc,
};

use crate::domain::{KeyDigest, Workspace, WorkspaceName};

/// The workspaces of one configuration.
#[derive(Debug, Default)]
pub struct Workspaces {
    /// In the order of the configuration.
    all: Vec<Arc<Workspace>>,
    /// The index of the workspace that has each key.
    keys: HashMap<KeyDigest, usize>,
    names: HashMap<WorkspaceName, usize>,
    shared_keys: Vec<(WorkspaceName, WorkspaceName)>,
    /// The mean rate of the quotas, in requests per second.
    mean_rate: Option<f64>,
}

impl Workspaces {
    /// Compiles the workspaces of a configuration. A key that two of them state belongs
    /// to the first. Two with one name become one, which has the keys of both and is
    /// otherwise as the first: targets and quotas know a workspace by its name.
    #[must_use]
    pub fn compile(workspaces: Vec<Workspace>) -> Self {
        let mut compiled = Self::default();
        let mut all: Vec<Workspace> = Vec::with_capacity(workspaces.len());
        for mut workspace in workspaces {
            let keys = std::mem::take(&mut workspace.keys);
            let index = *compiled
                .names
                .entry(workspace.name.clone())
                .or_insert(all.len());
            if index == all.len() {
                all.push(workspace);
            }
            for key in keys {
                match compiled.keys.entry(key) {
                    Entry::Vacant(entry) => {
                        entry.insert(index);
                        all[index].keys.push(key);
                    }
                    Entry::Occupied(owner) if *owner.get() != index => {
                        let names = (all[*owner.get()].name.clone(), all[index].name.clone());
                        compiled.shared_keys.push(names);
                    }
                    Entry::Occupied(_) => {}
                }
            }
        }
        compiled.mean_rate = mean_rate(&all);
        compiled.all = all.into_iter().map(Arc::new).collect();
        compiled
    }

    /// Returns all workspaces in the order of the configuration.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.all.iter()
    }

    /// Returns the workspace that has a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.keys.get(key).map(|index| &self.all[*index])
    }

    /// Returns the workspace with a name.
    #[must_use]
    pub fn named(&self, name: &WorkspaceName) -> Option<&Arc<Workspace>> {
        self.names.get(name).map(|index| &self.all[*index])
    }

    /// Returns the part of the room that a workspace gets, relative to others: the rate of
    /// its quota, or the mean rate if it has none.
    #[must_use]
    pub fn weight(&self, workspace: &Workspace) -> f64 {
        let rate = workspace.quota.as_ref().map(|quota| quota.rate.0);
        rate.or(self.mean_rate).unwrap_or(1.0)
    }

    /// Returns the keys that two workspaces state, with their owner first.
    #[must_use]
    pub fn shared_keys(&self) -> &[(WorkspaceName, WorkspaceName)] {
        &self.shared_keys
    }
}

#[expect(clippy::cast_precision_loss)]
fn mean_rate(workspaces: &[Workspace]) -> Option<f64> {
    let quotas = workspaces.iter().filter_map(|w| w.quota.as_ref());
    let rates: Vec<f64> = quotas.map(|quota| quota.rate.0).collect();
    (!rates.is_empty()).then(|| rates.iter().sum::<f64>() / rates.len() as f64)
}
