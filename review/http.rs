//! A minimal HTTP/1.1 server and client for the stand-ins, with threads and blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// A request or a response whose body has been read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, field: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == field).map(|(_, value)| value).next()
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// A connection with a buffer for bytes that were read ahead.
pub struct Connection {
    pub tcp: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(tcp: TcpStream) -> Self {
        let _ = tcp.set_nodelay(true);
        Self { tcp, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 65536];
        let length = self.tcp.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length)
    }

    /// Reads a line without its end. `None` at the end of the connection.
    pub fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a head. `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.read_line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads one chunk of a chunked body; an empty one is the last.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let bytes = self.read_exact(length)?;
        self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok(bytes)
    }

    /// Reads a head and its body, which has a length or comes in chunks.
    pub fn read_message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        let chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
        if chunked {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
            message.body = self.read_exact(length)?;
        }
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.tcp.write_all(bytes)
    }
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    bytes += "\r\n";
    let mut bytes = bytes.into_bytes();
    bytes.extend(body);
    bytes
}

/// Serves each connection to `address` with `handle` on a thread of its own.
pub fn serve(address: SocketAddr, handle: impl Fn(Connection) + Send + Sync + Clone + 'static) {
    let listener = TcpListener::bind(address).unwrap_or_else(|error| {
        eprintln!("cannot listen on {address}: {error}");
        std::process::exit(2);
    });
    thread::spawn(move || {
        for tcp in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || handle(Connection::new(tcp)));
        }
    });
}
