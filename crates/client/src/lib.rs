//! A minimal blocking MySQL client for tests and load programs. It supports login without a
//! password exchange, text queries and pings.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A server's response to one command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An OK packet.
    Ok,
    /// The rows of a text result set, with each value as text.
    Rows(Vec<Vec<String>>),
    /// An ERR packet: the error code and the message, without the SQL state.
    Error(u16, String),
}

/// One connection to a MySQL server.
pub struct Client {
    /// The TCP connection.
    pub stream: TcpStream,
    /// The connection ID from the server's greeting.
    pub connection: u32,
}

/// Encodes a packet with its header: the body length in three bytes, then the sequence number.
pub fn packet(seq: u8, body: &[u8]) -> Vec<u8> {
    let mut packet = (body.len() as u32).to_le_bytes().to_vec();
    packet[3] = seq;
    packet.extend_from_slice(body);
    packet
}

/// Encodes the handshake response that logs in `user` with `database` as the default schema.
pub fn login_packet(user: &str, password: &[u8], database: &str) -> Vec<u8> {
    // CLIENT_LONG_PASSWORD, CLIENT_CONNECT_WITH_DB, CLIENT_PROTOCOL_41 and
    // CLIENT_SECURE_CONNECTION.
    let capabilities: u32 = 0x1 | 0x8 | 0x200 | 0x8000;
    let mut body = capabilities.to_le_bytes().to_vec();
    body.extend((1u32 << 24).to_le_bytes());
    body.push(33);
    body.extend([0; 23]);
    body.extend(user.as_bytes());
    body.push(0);
    body.push(password.len() as u8);
    body.extend(password);
    body.extend(database.as_bytes());
    body.push(0);
    packet(1, &body)
}

/// Encodes a `COM_QUERY` packet.
pub fn query_packet(text: &str) -> Vec<u8> {
    packet(0, &[&[3], text.as_bytes()].concat())
}

fn invalid_data(message: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.to_owned())
}

impl Client {
    /// Connects and reads the server's greeting. The bytes in `before` are sent before the greeting
    /// is read.
    ///
    /// # Errors
    /// The connection fails, or the greeting is malformed.
    pub fn open(address: SocketAddr, before: &[u8]) -> io::Result<Client> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        stream.write_all(before)?;
        let mut client = Client {
            stream,
            connection: 0,
        };
        let greeting = client.packet()?;
        let version = greeting
            .iter()
            .skip(1)
            .position(|byte| *byte == 0)
            .ok_or_else(|| invalid_data("malformed greeting"))?;
        let id = greeting
            .get(version + 2..version + 6)
            .ok_or_else(|| invalid_data("malformed greeting"))?;
        client.connection = u32::from_le_bytes(id.try_into().expect("four bytes"));
        Ok(client)
    }

    /// Connects and logs in as user `app` with the database `warehouse`.
    ///
    /// # Errors
    /// The connection fails, or the server does not accept the login.
    pub fn login(address: SocketAddr) -> io::Result<Client> {
        let mut client = Client::open(address, &login_packet("app", b"", "warehouse"))?;
        match client.answer()? {
            Answer::Ok => Ok(client),
            other => Err(invalid_data(&format!("login failed: {other:?}"))),
        }
    }

    /// Sends a statement and reads its response.
    ///
    /// # Errors
    /// The connection fails, or the response is malformed.
    pub fn ask(&mut self, text: &str) -> io::Result<Answer> {
        self.stream.write_all(&query_packet(text))?;
        self.answer()
    }

    /// Sends `COM_PING` and reads its response.
    ///
    /// # Errors
    /// The connection fails, or the response is malformed.
    pub fn ping(&mut self) -> io::Result<Answer> {
        self.stream.write_all(&packet(0, &[0x0e]))?;
        self.answer()
    }

    /// Reads one packet and returns its body.
    ///
    /// # Errors
    /// The connection fails, or no complete packet arrives within the read timeout.
    pub fn packet(&mut self) -> io::Result<Vec<u8>> {
        let mut header = [0; 4];
        self.stream.read_exact(&mut header)?;
        let mut body = vec![0; u32::from_le_bytes([header[0], header[1], header[2], 0]) as usize];
        self.stream.read_exact(&mut body)?;
        Ok(body)
    }

    /// Reads the response to one command.
    ///
    /// # Errors
    /// The connection fails, or the response is malformed.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let first = self.packet()?;
        match first[..] {
            [0, ..] => return Ok(Answer::Ok),
            [0xff, low, high, _, _, _, _, _, _, ref text @ ..] => {
                let text = String::from_utf8_lossy(text).into_owned();
                return Ok(Answer::Error(u16::from_le_bytes([low, high]), text));
            }
            [columns] => {
                for _ in 0..columns {
                    self.packet()?;
                }
                if !is_eof(&self.packet()?) {
                    return Err(invalid_data(
                        "EOF packet missing after the column definitions",
                    ));
                }
            }
            _ => return Err(invalid_data("unknown response packet")),
        }
        let mut rows = Vec::new();
        loop {
            let packet = self.packet()?;
            if is_eof(&packet) {
                return Ok(Answer::Rows(rows));
            }
            rows.push(decode_row(&packet).ok_or_else(|| invalid_data("malformed row"))?);
        }
    }
}

/// Tells an EOF packet from a row whose first value has an eight-byte length.
fn is_eof(packet: &[u8]) -> bool {
    packet.first() == Some(&0xfe) && packet.len() < 9
}

/// Decodes a text row of length-encoded strings. It returns `None` if a value is cut off.
fn decode_row(mut rest: &[u8]) -> Option<Vec<String>> {
    let mut values = Vec::new();
    while let [first, after @ ..] = rest {
        let (length, after) = match first {
            0xfc => (
                usize::from(u16::from_le_bytes([*after.first()?, *after.get(1)?])),
                after.get(2..)?,
            ),
            0xfd => {
                let bytes = after.get(..3)?;
                (
                    bytes
                        .iter()
                        .rev()
                        .fold(0, |sum, byte| sum << 8 | usize::from(*byte)),
                    after.get(3..)?,
                )
            }
            small => (usize::from(*small), after),
        };
        values.push(String::from_utf8_lossy(after.get(..length)?).into_owned());
        rest = &after[length..];
    }
    Some(values)
}
