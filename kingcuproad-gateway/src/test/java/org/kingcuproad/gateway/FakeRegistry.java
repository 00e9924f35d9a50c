package org.kingcuproad.gateway;

import java.net.InetSocketAddress;
import java.util.List;

/** Registry without any other gateway. */
final class FakeRegistry extends FakeDialect<InetSocketAddress> implements RegistryDialect {

    FakeRegistry() {
        super(List.of());
    }

    @Override
    public String createTarget() {
        return "/list";
    }

    @Override
    public String replaceTarget(String name) {
        return "/list";
    }

    @Override
    public byte[] registration(String name, InetSocketAddress address) {
        return new byte[0];
    }
}
