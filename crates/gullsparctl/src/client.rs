//! Calls to the operator API of an instance and to a lab's control address.

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;

use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// A file could not be read.
        File(file: String, err: std::io::Error) {
            source(err)
            display("{file}: {err}")
        }
        /// Any other failure, described by `text`.
        Text(text: String) {
            display("{text}")
        }
        /// The HTTP call failed.
        Call(err: cyper::Error) {
            from()
            source(err)
            display("{err}")
        }
        /// The asynchronous runtime or a listener could not start.
        Runtime(err: std::io::Error) {
            source(err)
            display("the runtime could not start: {err}")
        }
        /// The server answered with an error status.
        Refused(status: u16, text: String) {
            display("{status}: {text}")
        }
    }
}

/// Reads a file, or standard input for `-`.
pub(crate) fn read(file: &Path) -> Result<String, CommandError> {
    let failed = |err| CommandError::File(file.display().to_string(), err);
    if file.as_os_str() == "-" {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(failed)?;
        return Ok(text);
    }
    std::fs::read_to_string(file).map_err(failed)
}

/// Sends a GET request for `path` to `address`; returns the body of the answer.
pub(crate) fn get(address: SocketAddr, path: &str) -> Result<String, CommandError> {
    call(async move {
        let client = cyper::Client::new()?;
        let response = client.get(format!("http://{address}{path}"))?.send().await?;
        read_answer(response).await
    })
}

/// Posts the JSON text `body` to `path` at `address`; returns the body of the answer.
pub(crate) fn post(address: SocketAddr, path: &str, body: &str) -> Result<String, CommandError> {
    let body: serde_json::Value = serde_json::from_str(body)
        .map_err(|err| CommandError::Text(format!("the input is not valid JSON: {err}")))?;
    call(async move {
        let client = cyper::Client::new()?;
        let request = client.post(format!("http://{address}{path}"))?.json(&body)?;
        read_answer(request.send().await?).await
    })
}

fn call(fut: impl Future<Output = Result<String, CommandError>>) -> Result<String, CommandError> {
    compio::runtime::Runtime::new().map_err(CommandError::Runtime)?.block_on(fut)
}

async fn read_answer(response: cyper::Response) -> Result<String, CommandError> {
    let status = response.status();
    let text = response.text().await?;
    if status.is_success() { Ok(text) } else { Err(CommandError::Refused(status.as_u16(), text)) }
}
