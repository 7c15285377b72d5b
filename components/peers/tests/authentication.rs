//! A host refuses messages with a wrong seal, of another version or with invalid JSON.

use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::client::Error;
use jsonrpsee::rpc_params;
use jsonrpsee::ws_client::WsClientBuilder;
use wagtailledge_decisions::HostIdentity;
use wagtailledge_decisions::message::MESSAGE_VERSION;
use wagtailledge_decisions::message::PeerEnvelope;
use wagtailledge_decisions::message::PeerMessage;
use wagtailledge_peers::MessageSeal;
use wagtailledge_peers::PeerClient;
use wagtailledge_peers::PeerServer;
use wagtailledge_peers::PeerTraffic;

const SECRET: &str = "the secret of this deployment";

fn envelope(version: u32) -> PeerEnvelope {
    let from = HostIdentity {
        name: "east-1".to_owned(),
        zone: "east".to_owned(),
        scope: "east".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        incarnation: 1,
        capacity: 0,
    };
    PeerEnvelope { version, from, message: PeerMessage::ConfigurationRequest { have: 7 } }
}

/// Sends `text` with `tag` as its seal; returns the host's answer or its error text.
async fn deliver(address: &str, text: &str, tag: &str) -> Result<bool, String> {
    let client = WsClientBuilder::default().build(format!("ws://{address}")).await.unwrap();
    let answer = client.request("deliver", rpc_params![text, tag]).await;
    answer.map_err(|error| match error {
        Error::Call(refusal) => refusal.message().to_owned(),
        other => other.to_string(),
    })
}

#[test]
fn can_accept_only_messages_of_this_deployment() {
    actix_rt::System::new().block_on(async {
        let seal = MessageSeal::new(SECRET);
        let listen = "127.0.0.1:0".parse().unwrap();
        let (server, mut inbox) = PeerServer::start(listen, seal.clone()).await.unwrap();
        let address = server.address().to_string();
        let text = serde_json::to_string(&envelope(MESSAGE_VERSION)).unwrap();

        let wrong_tag = MessageSeal::new("another secret, as long").seal(&text);
        assert!(deliver(&address, &text, &wrong_tag).await.unwrap_err().contains("seal"));
        assert!(deliver(&address, &text, "").await.unwrap_err().contains("seal"));

        let other = serde_json::to_string(&envelope(MESSAGE_VERSION + 1)).unwrap();
        let refusal = deliver(&address, &other, &seal.seal(&other)).await.unwrap_err();
        assert!(refusal.contains("version 2 is not spoken here, only 1"), "{refusal}");

        let truncated = "{\"version\":1";
        assert!(deliver(&address, truncated, &seal.seal(truncated)).await.is_err());
        assert!(inbox.try_recv().is_err(), "a refused message reached the inbox");

        PeerClient::new(seal).send(std::iter::once(address.as_str()), &envelope(MESSAGE_VERSION));
        let Some(PeerTraffic::Message(message)) = inbox.recv().await else {
            panic!("a valid message did not reach the inbox");
        };
        assert_eq!(*message, envelope(MESSAGE_VERSION));
    });
}
