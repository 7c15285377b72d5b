//! HTTP calls to an entry host, as a caller makes them.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

/// Result of a call.
#[derive(Debug, Clone)]
pub struct CallerOutcome {
    /// HTTP status; 0 without a complete answer.
    pub status: u16,
    /// Value of the header `x-outcome`, which marks refusals; empty when it is missing.
    pub outcome: String,
    /// Response body; empty when it did not arrive completely.
    pub body: String,
    /// Time from the start of the call to the end of the response.
    pub elapsed: Duration,
}

impl CallerOutcome {
    /// Response body as JSON; null when it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

/// Posts a JSON body to `path` on the host at `address`.
pub async fn post(
    address: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> CallerOutcome {
    let started = Instant::now();
    let client = awc::Client::builder().timeout(Duration::from_secs(120)).finish();
    let mut request = client.post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let (mut status, mut outcome, mut text) = (0, String::new(), String::new());
    if let Ok(mut response) = request.send_json(body).await {
        status = response.status().as_u16();
        let header = response.headers().get("x-outcome").and_then(|value| value.to_str().ok());
        outcome = header.unwrap_or("").to_owned();
        match response.body().limit(64 << 20).await {
            Ok(bytes) => text = String::from_utf8_lossy(&bytes).into_owned(),
            Err(_cut) => status = 0,
        }
    }
    CallerOutcome { status, outcome, body: text, elapsed: started.elapsed() }
}

/// Requests a completion from `model`, with `deadline` in the header `x-deadline-ms`.
pub async fn complete(
    address: &str,
    model: &str,
    prompt: &str,
    deadline: Duration,
) -> CallerOutcome {
    let millis = deadline.as_millis().to_string();
    let body = json!({ "model": model, "prompt": prompt });
    post(address, "/v1/completions", &[("x-deadline-ms", &millis)], &body).await
}
