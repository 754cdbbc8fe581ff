//! Stand-ins of the platform's API, with its list of servers and the calls of duty holders, and of a plain server. Both
//! behave soundly.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use crate::{http, world::Record};

/// A plain server and its entry in the list.
#[derive(Clone)]
pub struct Server {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
}

impl Server {
    fn entry(&self) -> String {
        format!(
            r#"{{"Id":"{}","Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":6,"State":"ready","ColdLeftMs":0}}"#,
            self.id, self.service, self.address, self.zone
        )
    }

    /// Serves requests until the program ends.
    pub fn start(&self, record: &Record) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let (server, record) = (self.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (server.clone(), record.clone());
                thread::spawn(move || server.answer(stream, &record));
            }
        });
        Ok(())
    }

    fn answer(&self, stream: TcpStream, record: &Record) {
        respond(stream, |req| {
            let id = req.header("X-Flamingocroft-Request-Id").unwrap_or_default();
            let expected = req.header("X-Flamingocroft-Expect-Instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let head = format!(
                    "X-Flamingocroft-Request-Id: {id}\r\nX-Flamingocroft-Not-Executed: 1\r\n"
                );
                return (421, head, String::new());
            }
            record.note(&format!("server {} runs {} {}", self.id, req.start, id));
            let head = format!(
                "X-Flamingocroft-Request-Id: {id}\r\nX-Flamingocroft-Response-Seal: {id}.seal\r\nX-Flamingocroft-Instance-Id: {}\r\n",
                self.id
            );
            (200, head, "done".to_owned())
        });
    }
}

/// Serves the platform's API, with these servers in its list, until the program ends.
pub fn start(address: SocketAddr, servers: &[Server], record: &Record) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let entries: Vec<String> = servers.iter().map(Server::entry).collect();
    let list = format!(r#"{{"Instances":[{}],"Next":null}}"#, entries.join(","));
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (list, record) = (list.clone(), record.clone());
            thread::spawn(move || serve(stream, &list, &record));
        }
    });
    Ok(())
}

fn serve(stream: TcpStream, list: &str, record: &Record) {
    respond(stream, |req| {
        if req.target().split('?').next() == Some("/instances") {
            return (200, String::new(), list.to_owned());
        }
        record.note(&format!(
            "platform: {} by {} with fence {}: {}",
            req.start,
            req.header("X-Flamingocroft-Duty-Holder").unwrap_or("-"),
            req.header("X-Flamingocroft-Fencing-Token").unwrap_or("-"),
            String::from_utf8_lossy(&req.body),
        ));
        (200, String::new(), "{}".to_owned())
    });
}

/// Answers the requests of a connection with a status, further headers and a body each.
fn respond(stream: TcpStream, answer: impl Fn(&http::Message) -> (u16, String, String)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(req)) = http::read_message(&mut reader) {
        let (status, headers, body) = answer(&req);
        let length = body.len();
        let head = format!("HTTP/1.1 {status} Answer\r\n{headers}Content-Length: {length}\r\n\r\n");
        if write.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}
