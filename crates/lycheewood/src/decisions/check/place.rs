//! Where a finding is.

/// The path of a field, once with indices as in the text and once with names.
#[derive(Clone, Debug, Default)]
pub(super) struct Place {
    pub(super) path: String,
    pub(super) key: String,
}

impl Place {
    /// The whole text.
    pub(super) fn root() -> Self {
        Self::default()
    }

    pub(super) fn field(&self, name: &str) -> Self {
        Self { path: join(&self.path, name), key: join(&self.key, name) }
    }

    pub(super) fn element(&self, list: &str, index: usize, name: &str) -> Self {
        let list = self.field(list);
        Self { path: format!("{}[{index}]", list.path), key: join(&list.key, name) }
    }
}

fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() { name.to_owned() } else { format!("{parent}.{name}") }
}
