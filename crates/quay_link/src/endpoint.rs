//! Configures QUIC endpoints: TLS, time-outs and connection limits.

use {
    crate::{Identity, LinkError, LinkSettings},
    quinn::{
        ClientConfig, Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig,
        TransportConfig, VarInt,
        congestion::CubicConfig,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    quinn_proto::HashedConnectionIdGenerator,
    rustls::{RootCertStore, server::WebPkiClientVerifier},
    std::{net::Ipv4Addr, sync::Arc, time::Duration},
};

/// ALPN protocol identifier of peers that open a stream for each request.
const ALPN: &[u8] = b"sapphirequay/1";

/// ALPN protocol identifier of peers that also take calls. It is negotiated only if
/// both ends know it, so that hosts of the previous version are asked as before.
pub(crate) const ALPN_CALLS: &[u8] = b"sapphirequay/2";

/// Maximum number of replies that a peer sends at the same time on streams of their
/// own; further ones wait.
const MAX_REPLY_STREAMS: u32 = 8;

/// Initial RTT estimate of a new connection. A lost first packet is
/// retransmitted after three times this value.
const INITIAL_RTT: Duration = Duration::from_millis(40);

/// Upper bound of MTU discovery in bytes; fits paths with jumbo frames.
const MAX_DATAGRAM_BYTES: u16 = 8_900;

/// Bytes of a request that arrive while it waits for memory: several times what a link
/// carries in a round trip.
const UNREAD_WINDOW_BYTES: VarInt = VarInt::from_u32(256 << 10);

/// Initial congestion window in bytes: about the bandwidth-delay product of a
/// 600 Mbit/s path between data centres.
const INITIAL_WINDOW_BYTES: u64 = 200_000;

/// Binds the endpoint's socket. The endpoint accepts connections only if the
/// settings contain a listen address.
pub(crate) fn bind(settings: &LinkSettings) -> Result<Endpoint, LinkError> {
    let client = client_config(settings)?;
    let (server, addr) = match settings.listen {
        Some(addr) => (Some(server_config(settings)?), addr),
        None => (None, (Ipv4Addr::UNSPECIFIED, 0).into()),
    };
    let socket = std::net::UdpSocket::bind(addr)?;
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut endpoint = Endpoint::new(endpoint_config(settings)?, server, socket, runtime)?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

/// Settings shared by all connections of an endpoint. The stateless reset key
/// and the key of connection IDs are derived from the private key, so that a
/// restarted process recognises and resets the connections that peers still hold
/// to its predecessor.
fn endpoint_config(settings: &LinkSettings) -> Result<EndpointConfig, LinkError> {
    let secret = settings.identity.key.secret_der();
    let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, secret);
    let cid_key = connection_id_key(&key);
    let mut config = EndpointConfig::new(Arc::new(key));
    config.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(cid_key)));
    config
        .max_udp_payload_size(MAX_DATAGRAM_BYTES)
        .map_err(|err| keys_error(&err))?;
    Ok(config)
}

/// Key with which connection IDs are signed. Packets whose connection ID has another
/// signature are dropped without a reset.
fn connection_id_key(key: &ring::hmac::Key) -> u64 {
    let tag = ring::hmac::sign(key, b"connection ids");
    let bytes = tag.as_ref().iter().take(8);
    bytes.fold(0, |key, byte| key << 8 | u64::from(*byte))
}

/// Time-outs and limits of a connection. Only the end that opened it sends
/// keep-alive packets.
fn transport_config(
    settings: &LinkSettings,
    keep_alive: Option<Duration>,
) -> Result<Arc<TransportConfig>, LinkError> {
    let idle = IdleTimeout::try_from(settings.idle_timeout)
        .map_err(|err| LinkError::Keys(format!("idle timeout: {err}").into()))?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(idle));
    transport.initial_rtt(INITIAL_RTT);
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(MAX_DATAGRAM_BYTES);
    transport.mtu_discovery_config(Some(mtu));
    let mut congestion = CubicConfig::default();
    congestion.initial_window(INITIAL_WINDOW_BYTES);
    transport.congestion_controller_factory(Arc::new(congestion));
    transport.keep_alive_interval(keep_alive);
    if settings.frame_memory.is_some() {
        transport.stream_receive_window(UNREAD_WINDOW_BYTES);
    }
    transport.max_concurrent_bidi_streams(VarInt::from_u32(settings.max_streams));
    let reply_streams = keep_alive.map_or(0, |_| MAX_REPLY_STREAMS);
    transport.max_concurrent_uni_streams(VarInt::from_u32(reply_streams));
    Ok(Arc::new(transport))
}

/// Builds the store of trusted root certificates.
fn root_store(identity: &Identity) -> Result<Arc<RootCertStore>, LinkError> {
    let mut roots = RootCertStore::empty();
    for root in &identity.roots {
        roots.add(root.clone()).map_err(|err| keys_error(&err))?;
    }
    Ok(Arc::new(roots))
}

/// TLS and transport settings of outgoing connections.
pub(crate) fn client_config(settings: &LinkSettings) -> Result<ClientConfig, LinkError> {
    let identity = &settings.identity;
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(
        rustls::crypto::ring::default_provider(),
    ))
    .with_protocol_versions(&[&rustls::version::TLS13])
    .map_err(|err| keys_error(&err))?
    .with_root_certificates(root_store(identity)?)
    .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
    .map_err(|err| keys_error(&err))?;
    tls.alpn_protocols = vec![ALPN_CALLS.to_vec(), ALPN.to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(|err| keys_error(&err))?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(transport_config(settings, Some(settings.keep_alive))?);
    Ok(config)
}

/// TLS and transport settings of incoming connections; peers must present a
/// certificate.
pub(crate) fn server_config(settings: &LinkSettings) -> Result<ServerConfig, LinkError> {
    let identity = &settings.identity;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(root_store(identity)?, provider.clone())
            .build()
            .map_err(|err| keys_error(&err))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|err| keys_error(&err))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|err| keys_error(&err))?;
    let calls = settings.calls.as_ref().map(|_| ALPN_CALLS.to_vec());
    tls.alpn_protocols = calls.into_iter().chain([ALPN.to_vec()]).collect();
    let quic = QuicServerConfig::try_from(tls).map_err(|err| keys_error(&err))?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport_config(settings, None)?);
    Ok(config)
}

/// Converts an error of the TLS or QUIC library.
fn keys_error(err: &dyn std::fmt::Display) -> LinkError {
    LinkError::Keys(err.to_string().into())
}
