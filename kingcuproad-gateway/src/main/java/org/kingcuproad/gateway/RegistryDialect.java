package org.kingcuproad.gateway;

import java.net.InetSocketAddress;

/** How gateways register themselves in the store. */
public interface RegistryDialect extends StoreDialect<InetSocketAddress> {

    /**
     * Returns the request target that creates an object.
     *
     * @return a request target
     */
    String createTarget();

    /**
     * Returns the request target that replaces an object.
     *
     * @param name name of the object
     * @return a request target
     */
    String replaceTarget(String name);

    /**
     * Writes the object of a gateway.
     *
     * @param name name of the gateway
     * @param address where its datagrams arrive
     * @return body of the call
     */
    byte[] registration(String name, InetSocketAddress address);
}
