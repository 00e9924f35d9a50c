package org.kingcuproad.gateway;

import java.net.InetSocketAddress;

/** Requests and formats by which gateways register themselves in the store. */
public interface RegistryDialect extends StoreDialect<InetSocketAddress> {

    /**
     * Returns the request target that creates a registration.
     *
     * @return a request target
     */
    String createTarget();

    /**
     * Returns the request target that replaces a registration.
     *
     * @param name name of the gateway
     * @return a request target
     */
    String replaceTarget(String name);

    /**
     * Encodes the registration of a gateway.
     *
     * @param name name of the gateway
     * @param address address on which its datagrams are received
     * @return request body
     */
    byte[] registration(String name, InetSocketAddress address);
}
