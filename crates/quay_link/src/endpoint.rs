//! Sets up an endpoint: TLS, times and limits of its connections.

use {
    crate::{Identity, LinkError, LinkSettings},
    quinn::{
        ClientConfig, Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig,
        TransportConfig, VarInt,
        congestion::CubicConfig,
        crypto::rustls::{QuicClientConfig, QuicServerConfig},
    },
    rustls::{RootCertStore, server::WebPkiClientVerifier},
    std::{net::Ipv4Addr, sync::Arc, time::Duration},
};

/// Protocol name in the TLS handshake.
const ALPN: &[u8] = b"sapphirequay/1";

/// Round trip that is assumed of a new connection: a lost first packet is sent
/// again after three times as long.
const INITIAL_RTT: Duration = Duration::from_millis(40);

/// Largest datagram that is tried, in bytes; paths with jumbo frames take it.
const LARGEST_DATAGRAM: u16 = 8_900;

/// Bytes that may be under way on a new connection: about what a link of
/// 600 Mbit/s carries in a round trip between data centres.
const INITIAL_WINDOW: u64 = 200_000;

/// Binds the endpoint, as a server too if the settings name an address.
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

/// What all connections of an endpoint share. The reset key comes from the
/// private key, so that a process that has restarted can tell its peers that
/// their connections are gone.
fn endpoint_config(settings: &LinkSettings) -> Result<EndpointConfig, LinkError> {
    let secret = settings.identity.key.secret_der();
    let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, secret);
    let mut config = EndpointConfig::new(Arc::new(key));
    config
        .max_udp_payload_size(LARGEST_DATAGRAM)
        .map_err(|err| keys_error(&err))?;
    Ok(config)
}

/// Times and limits of a connection.
fn transport(settings: &LinkSettings) -> Result<Arc<TransportConfig>, LinkError> {
    let idle = IdleTimeout::try_from(settings.idle_timeout)
        .map_err(|err| LinkError::Keys(format!("idle timeout: {err}").into()))?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(idle));
    transport.initial_rtt(INITIAL_RTT);
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(LARGEST_DATAGRAM);
    transport.mtu_discovery_config(Some(mtu));
    let mut congestion = CubicConfig::default();
    congestion.initial_window(INITIAL_WINDOW);
    transport.congestion_controller_factory(Arc::new(congestion));
    transport.keep_alive_interval(Some(settings.keep_alive));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(16_384));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    Ok(Arc::new(transport))
}

/// The trusted root as a store.
fn roots(identity: &Identity) -> Result<Arc<RootCertStore>, LinkError> {
    let mut roots = RootCertStore::empty();
    for root in &identity.roots {
        roots.add(root.clone()).map_err(|err| keys_error(&err))?;
    }
    Ok(Arc::new(roots))
}

/// TLS for links that are opened here.
pub(crate) fn client_config(settings: &LinkSettings) -> Result<ClientConfig, LinkError> {
    let identity = &settings.identity;
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(
        rustls::crypto::ring::default_provider(),
    ))
    .with_protocol_versions(&[&rustls::version::TLS13])
    .map_err(|err| keys_error(&err))?
    .with_root_certificates(roots(identity)?)
    .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
    .map_err(|err| keys_error(&err))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(|err| keys_error(&err))?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(transport(settings)?);
    Ok(config)
}

/// TLS for links that are accepted here; peers must show a certificate.
pub(crate) fn server_config(settings: &LinkSettings) -> Result<ServerConfig, LinkError> {
    let identity = &settings.identity;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots(identity)?, provider.clone())
        .build()
        .map_err(|err| keys_error(&err))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|err| keys_error(&err))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(|err| keys_error(&err))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicServerConfig::try_from(tls).map_err(|err| keys_error(&err))?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport(settings)?);
    Ok(config)
}

/// Wraps an error of the TLS library.
fn keys_error(err: &dyn std::fmt::Display) -> LinkError {
    LinkError::Keys(err.to_string().into())
}
