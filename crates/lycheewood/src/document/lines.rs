//! The source line of each field of a document.

use std::fmt;

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;

/// Any YAML value, with the line of each nested value and key.
enum YamlNode {
    Scalar,
    List(Vec<Spanned<YamlNode>>),
    Map(Vec<(Spanned<String>, Spanned<YamlNode>)>),
}

/// The line of each field of a YAML text. JSON is read as well.
pub struct SourceLines(Option<Spanned<YamlNode>>);

impl SourceLines {
    /// The lines of a text; none if it cannot be parsed.
    #[must_use]
    pub fn of(text: &str) -> Self {
        Self(serde_saphyr::from_str(text).ok())
    }

    /// The line of the field at `path`, from 1, or that of its closest ancestor in the text.
    #[must_use]
    pub fn line(&self, path: &str) -> Option<u64> {
        self.0.as_ref().map(|tree| line_of(tree, path))
    }
}

fn line_of(tree: &Spanned<YamlNode>, path: &str) -> u64 {
    let mut line = tree.referenced.line();
    let mut node = &tree.value;
    for segment in path.split(['.', '[']).filter(|segment| !segment.is_empty()) {
        match node {
            YamlNode::List(items) => {
                let index = segment.trim_end_matches(']').parse::<usize>().ok();
                let Some(item) = index.and_then(|index| items.get(index)) else { break };
                line = item.referenced.line();
                node = &item.value;
            }
            YamlNode::Map(fields) => {
                let Some((key, value)) = fields.iter().find(|(key, _)| key.value == segment) else {
                    break;
                };
                line = key.referenced.line();
                node = &value.value;
            }
            YamlNode::Scalar => break,
        }
    }
    line
}

impl<'de> Deserialize<'de> for YamlNode {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(YamlNodeVisitor)
    }
}

struct YamlNodeVisitor;

impl<'de> Visitor<'de> for YamlNodeVisitor {
    type Value = YamlNode;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar)
    }

    fn visit_i64<E>(self, _: i64) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar)
    }

    fn visit_u64<E>(self, _: u64) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar)
    }

    fn visit_f64<E>(self, _: f64) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar)
    }

    fn visit_str<E>(self, _: &str) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar)
    }

    fn visit_unit<E>(self) -> Result<YamlNode, E> {
        Ok(YamlNode::Scalar)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<YamlNode, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(YamlNode::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<YamlNode, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = map.next_entry()? {
            fields.push(field);
        }
        Ok(YamlNode::Map(fields))
    }
}
