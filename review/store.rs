//! A stand-in of the platform's metadata store: topics of records, some of them with keys.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::http::{self, Message};

#[derive(Clone, Default)]
pub struct Store {
    topics: Arc<(Mutex<HashMap<String, Vec<Vec<u8>>>>, Condvar)>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let store = Self::default();
        let serving = store.clone();
        http::serve(address, move |mut connection| {
            while let Ok(Some(request)) = connection.read_message() {
                let reply = serving.reply(&request);
                if connection.write(&reply).is_err() {
                    return;
                }
            }
        });
        store
    }

    /// Writes a record with a key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        let mut topics = self.topics.0.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        self.topics.1.notify_all();
    }

    fn reply(&self, request: &Message) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or("").to_owned();
        let number = |field| request.query(field).and_then(|value| value.parse::<u64>().ok());
        match (request.method(), request.path()) {
            ("POST", "/v1/log-append") => self.append(topic, number("at"), &request.body),
            ("GET", "/v1/log-read") => {
                self.read(&topic, number("from").unwrap_or(0), number("wait_ms").unwrap_or(0))
            }
            ("GET", "/v1/log-newest") => self.newest(&topic),
            _ => http::response(404, &[], b""),
        }
    }

    fn append(&self, topic: String, at: Option<u64>, mut body: &[u8]) -> Vec<u8> {
        let mut topics = self.topics.0.lock().unwrap();
        let records = topics.entry(topic).or_default();
        let offset = records.len() as u64;
        if at.is_some_and(|at| at != offset) {
            return http::response(412, &[], format!("{{\"end\":{offset}}}").as_bytes());
        }
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let end = records.len();
        self.topics.1.notify_all();
        http::response(200, &[], format!("{{\"offset\":{offset},\"end\":{end}}}").as_bytes())
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let wait = Duration::from_millis(wait_ms);
        let is_empty = |topics: &mut HashMap<String, Vec<Vec<u8>>>| {
            topics.get(topic).is_none_or(|records| records.len() as u64 <= from)
        };
        let topics = self.topics.1.wait_timeout_while(topics, wait, is_empty).unwrap().0;
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut body = (records.len() as u64).to_be_bytes().to_vec();
        body.extend(0_u64.to_be_bytes());
        for record in records.iter().skip(from as usize) {
            body.extend((record.len() as u32).to_be_bytes());
            body.extend(record);
        }
        http::response(200, &[], &body)
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let topics = self.topics.0.lock().unwrap();
        let empty = Vec::new();
        let records = topics.get(topic).unwrap_or(&empty);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(record[0] as usize);
            newest.insert(key.to_vec(), (offset, value.to_vec()));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items: Vec<String> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let key = String::from_utf8_lossy(key);
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        let body = format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{end}}}");
        http::response(200, &[], body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for digit in 0..4 {
            let is_used = digit <= group.len();
            let index = (word >> (18 - 6 * digit)) as usize & 63;
            text.push(if is_used { DIGITS[index] as char } else { '=' });
        }
    }
    text
}
