package org.quetzalseam.gateway.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;

/** Opens listening sockets. Stateless. */
public final class ListeningSockets {
    private ListeningSockets() {}

    /**
     * Listens on an address; on a port of the system's choice where its port is 0. Blocks until it does.
     *
     * @throws GatewayException if the address can't be listened on
     */
    public static Channel bind(ServerBootstrap bootstrap, InetSocketAddress address) {
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            String why = "can't listen on " + address + ": " + bound.cause().getMessage();
            throw new GatewayException(GatewayException.Code.ADDRESS_UNUSABLE, why, bound.cause());
        }
        return bound.channel();
    }

    /** Returns the address that an opened channel listens on, with the port that it really has. */
    public static InetSocketAddress localAddress(Channel opened) {
        return (InetSocketAddress) opened.localAddress();
    }
}
