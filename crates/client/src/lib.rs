//! A client that speaks just enough of the MySQL protocol.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Ok,
    Rows(Vec<Vec<String>>),
    Error(u16, String),
}

pub struct Client {
    pub stream: TcpStream,
    pub connection: u32,
}

pub fn packet(seq: u8, body: &[u8]) -> Vec<u8> {
    let mut packet = (body.len() as u32).to_le_bytes().to_vec();
    packet[3] = seq;
    packet.extend_from_slice(body);
    packet
}

pub fn login_packet(user: &str, password: &[u8], database: &str) -> Vec<u8> {
    // Long password, with a database, protocol 4.1, secure connection.
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

pub fn query_packet(text: &str) -> Vec<u8> {
    packet(0, &[&[3], text.as_bytes()].concat())
}

fn bad(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

impl Client {
    /// Connects and reads the greeting; `before`: bytes written without waiting for it.
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
            .ok_or_else(|| bad("greeting"))?;
        let id = greeting
            .get(version + 2..version + 6)
            .ok_or_else(|| bad("greeting"))?;
        client.connection = u32::from_le_bytes(id.try_into().expect("four bytes"));
        Ok(client)
    }

    pub fn login(address: SocketAddr) -> io::Result<Client> {
        let mut client = Client::open(address, &login_packet("app", b"", "warehouse"))?;
        match client.answer()? {
            Answer::Ok => Ok(client),
            other => Err(bad(&format!("login: {other:?}"))),
        }
    }

    pub fn ask(&mut self, text: &str) -> io::Result<Answer> {
        self.stream.write_all(&query_packet(text))?;
        self.answer()
    }

    pub fn ping(&mut self) -> io::Result<Answer> {
        self.stream.write_all(&packet(0, &[0x0e]))?;
        self.answer()
    }

    pub fn packet(&mut self) -> io::Result<Vec<u8>> {
        let mut head = [0; 4];
        self.stream.read_exact(&mut head)?;
        let mut body = vec![0; u32::from_le_bytes([head[0], head[1], head[2], 0]) as usize];
        self.stream.read_exact(&mut body)?;
        Ok(body)
    }

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
                    return Err(bad("no EOF behind the columns"));
                }
            }
            _ => return Err(bad("unknown answer")),
        }
        let mut rows = Vec::new();
        loop {
            let packet = self.packet()?;
            if is_eof(&packet) {
                return Ok(Answer::Rows(rows));
            }
            rows.push(row(&packet).ok_or_else(|| bad("row"))?);
        }
    }
}

fn is_eof(packet: &[u8]) -> bool {
    packet.first() == Some(&0xfe) && packet.len() < 9
}

fn row(mut rest: &[u8]) -> Option<Vec<String>> {
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
